package ragwortbarrow.soak

import ragwortbarrow.standins.operators.RunnerRequest

/** Finds cold servers that got more requests in one second than all nodes together may send them. */
internal fun coldStartViolations(
    coldStarts: Collection<ColdStart>,
    received: List<Pair<String, RunnerRequest>>,
): List<String> {
    val requestsByServer = received.groupBy({ it.first }, { it.second })
    return coldStarts.mapNotNull { cold ->
        val arrivals = requestsByServer[cold.server].orEmpty().map { it.atNanos / 1_000_000 }
            .filter { it in cold.fromMillis..cold.untilMillis }
        val maxCount = arrivals.maxOfOrNull { last -> arrivals.count { it > last - WINDOW_MILLIS && it <= last } } ?: 0
        "FAILBACK ${cold.server} got $maxCount requests within $WINDOW_MILLIS ms while it was cold, $ALLOWED allowed"
            .takeIf { maxCount > ALLOWED }
    }
}

/** The figures are bounds that the operators' platform sets. */
private const val WINDOW_MILLIS = 1_000L
private const val TOLERANCE = 1.5
private const val SLACK = 5
private const val ALLOWED = COLD_REQUESTS_PER_SECOND * TOLERANCE + SLACK
