package ragwortbarrow.soak

import ragwortbarrow.standins.operators.RunnerRequest

/** Finds requests that a node sent to a server after it had passed on a response in which the server said it leaves. */
internal class LeavingVerifier(
    private val records: SoakRecords,
    private val answers: PassedAnswers,
    private val received: List<Pair<String, RunnerRequest>>,
) {
    fun violations(): List<String> = received.mapNotNull { (server, request) -> violationOf(server, request) }

    private fun violationOf(server: String, request: RunnerRequest): String? {
        val id = request.header("X-Request-Id").orEmpty()
        val sentMillis = answers.sentMillis(id) ?: return null
        val atMillis = request.atNanos / 1_000_000
        val senders = answers.possibleSenders(id)
        val knewAll = senders.all { node ->
            answers.of(server, node).any { answer ->
                answer.isLeaving &&
                    sentMillis > answer.atMillis + APPLY_LIMIT_MILLIS &&
                    records.interruptions.isUndisturbed(node, answer.atMillis, atMillis)
            }
        }
        return "DRAIN $id of $senders reached $server, which had said that it leaves".takeIf { knewAll }
    }

    /** The figure is a bound that the operators' platform sets. */
    private companion object {
        const val APPLY_LIMIT_MILLIS = 2_000L
    }
}
