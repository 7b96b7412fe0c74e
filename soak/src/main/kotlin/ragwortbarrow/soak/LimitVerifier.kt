package ragwortbarrow.soak

import ragwortbarrow.standins.operators.RunnerRequest

/** Finds servers that got more requests than the limit allows that they named in their responses. */
internal class LimitVerifier(
    private val records: SoakRecords,
    private val disturbances: Disturbances,
    private val answers: PassedAnswers,
    received: List<Pair<String, RunnerRequest>>,
) {
    private val requestsByServer = received.groupBy({ it.first }, { it.second })

    fun violations(): List<String> = records.limits.mapNotNull { violationOf(it) }

    private fun violationOf(limit: ServerLimit): String? {
        val perSecond = limit.requestsPerSecond ?: return null
        val namedMillis = answers.of(limit.server).filter { limit.isNamedBy(it) }.minOfOrNull { it.atMillis }
            ?: return null
        val checkedMillis = namedMillis + CONTACT_MILLIS..limit.untilMillis
        val arrivals = requestsByServer[limit.server].orEmpty()
            .filter { it.atMillis in checkedMillis && counts(it, limit) }
            .map { it.atMillis }
        val maxCount = arrivals.maxOfOrNull { last -> arrivals.count { it > last - WINDOW_MILLIS && it <= last } } ?: 0
        val allowed = perSecond * WINDOW_MILLIS / 1_000 * TOLERANCE + SLACK
        return "LIMIT ${limit.server} got $maxCount requests within $WINDOW_MILLIS ms, $allowed allowed"
            .takeIf { maxCount > allowed }
    }

    private val RunnerRequest.atMillis get() = atNanos / 1_000_000

    /** Whether all nodes that may have sent [request] knew the limit and were in touch. */
    private fun counts(request: RunnerRequest, limit: ServerLimit): Boolean {
        val senders = answers.possibleSenders(request.header("X-Request-Id").orEmpty())
        // A faulty link delivers late what was sent in time.
        return records.linkFaults.isUndisturbed(limit.link, request.atMillis - CONTACT_MILLIS, request.atMillis) &&
            senders.all { isBound(it, request.atMillis, limit) }
    }

    private fun isBound(node: String, atMillis: Long, limit: ServerLimit) =
        answers.of(limit.server, node).any { answer ->
            val sinceMillis = minOf(answer.atMillis, atMillis - CONTACT_MILLIS)
            limit.isNamedBy(answer) &&
                answer.atMillis <= atMillis - NOTICE_MILLIS &&
                disturbances.isUndisturbed(node, sinceMillis, atMillis) &&
                records.interruptions.isUndisturbed(node, sinceMillis, atMillis)
        }

    private fun ServerLimit.isNamedBy(answer: ServerAnswer) =
        answer.requestLimit == limit && answer.atMillis in fromMillis..untilMillis

    /** The figures are bounds that the operators' platform sets. */
    private companion object {
        const val CONTACT_MILLIS = 3_000L
        const val NOTICE_MILLIS = 500L
        const val WINDOW_MILLIS = 4_000L
        const val TOLERANCE = 1.5
        const val SLACK = 5
    }
}
