package ragwortbarrow.soak

import ragwortbarrow.standins.operators.RunnerRequest

/** Finds requests that reached the servers of a failure domain long after its evacuation was requested. */
internal class EvacuationVerifier(
    private val records: SoakRecords,
    private val disturbances: Disturbances,
    private val answers: PassedAnswers,
    private val received: List<Pair<String, RunnerRequest>>,
    private val size: SoakSize,
) {
    fun violations(): List<String> = received.mapNotNull { (server, request) ->
        val atMillis = request.atNanos / 1_000_000
        records.evacuations
            .firstOrNull {
                it.failureDomain == failureDomainOf(server, size) &&
                    atMillis in it.fromMillis + APPLY_LIMIT_MILLIS..it.untilMillis
            }
            ?.let { violationOf(server, request, it) }
    }

    private fun violationOf(server: String, request: RunnerRequest, evacuation: Evacuation): String? {
        val id = request.header("X-Request-Id").orEmpty()
        val atMillis = request.atNanos / 1_000_000
        val sinceMillis = evacuation.fromMillis - CONTACT_MILLIS
        val senders = answers.possibleSenders(id)
        val isBound = disturbances.isUndisturbed(SoakFault.STORE, sinceMillis, atMillis) &&
            // A faulty link delivers late what was sent in time.
            records.linkFaults.isUndisturbed(serverLink(serverNumber(server)), sinceMillis, atMillis) &&
            senders.all {
                disturbances.isUndisturbed(it, sinceMillis, atMillis) &&
                    records.interruptions.isUndisturbed(it, sinceMillis, atMillis)
            }
        val sinceEvacuationMillis = atMillis - evacuation.fromMillis
        return "EVAC $id of $senders reached $server $sinceEvacuationMillis ms after its failure domain was evacuated"
            .takeIf { isBound }
    }

    /** The figures are bounds that the operators' platform sets. */
    private companion object {
        const val CONTACT_MILLIS = 3_000L
        const val APPLY_LIMIT_MILLIS = 5_000L
    }
}
