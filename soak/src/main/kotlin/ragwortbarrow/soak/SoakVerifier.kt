package ragwortbarrow.soak

import ragwortbarrow.standins.operators.RunnerRequest

/** Compares what callers observed with what backend servers ran. [violations] lists each broken guarantee. */
internal class SoakVerifier(
    private val records: SoakRecords,
    private val disturbances: Disturbances,
    /** Requests that ran, each with the id of its server. */
    private val runs: List<Pair<String, RunnerRequest>>,
    /** Number of responses with status 500 by item. */
    private val itemFailures: Map<String, Int>,
    /** Statuses with which servers responded to each request. */
    private val serverStatuses: Map<String, Set<Int>>,
    /** Requests that reached a server, each with the id of that server. */
    private val received: List<Pair<String, RunnerRequest>> = runs,
    nodes: List<String> = emptyList(),
    size: SoakSize = SoakSize(),
) {
    private val answers = PassedAnswers(records, nodes)
    private val leaving = LeavingVerifier(records, answers, received)
    private val limits = LimitVerifier(records, disturbances, answers, received)
    private val evacuations = EvacuationVerifier(records, disturbances, answers, received, size)
    private val runsById = runs.groupBy { it.second.header("X-Request-Id").orEmpty() }
    private val callsById = records.calls.associateBy { it.id }

    fun violations(): List<String> = records.violations +
        records.calls.flatMap { violationsOf(it) } +
        records.jobs.flatMap { violationsOf(it) } +
        runs.flatMap { (server, request) -> violationsOf(server, request) } +
        rateViolations() +
        leaving.violations() +
        limits.violations() +
        coldStartViolations(records.coldStarts, received) +
        evacuations.violations()

    private fun violationsOf(call: SoakCall): List<String> = buildList {
        val runCount = runsById[call.id].orEmpty().size
        val tookMillis = call.endedMillis - call.sentMillis
        val label = "${call.kind} ${call.id} at ${call.node} (${call.status} after $tookMillis ms)"
        if (!call.kind.isRepeatable && runCount > 1) add("TWICE $label ran $runCount times")
        if (!call.kind.isRepeatable && call.status in NOT_RUN && runCount > 0) add("REFUSED $label ran")
        if (call.status in DENIALS && call.key != ROTATED_KEY) add("DENIED $label")
        addAll(statusViolations(call, label))
        if (call.status in SUCCESSES) {
            if (!call.isStamped) add("MIXED $label has no server stamp")
            if (call.kind.isStream) addAll(eventViolations(call, label)) else addAll(bodyViolations(call, label))
        }
        if (call.status == 0 && wasCutByRestart(call)) add("LOST $label was cut by a graceful stop: ${call.failure}")
    }

    private fun statusViolations(call: SoakCall, label: String): List<String> {
        val answered = serverStatuses[call.id].orEmpty()
        return when {
            call.isStamped && call.status !in answered -> listOf("MIXED $label: its servers answered $answered")
            call.status in SUCCESSES && call.body.startsWith(ServerScript.failureOf(call.id)) ->
                listOf("MIXED $label got the body of a failure")
            else -> emptyList()
        }
    }

    private fun bodyViolations(call: SoakCall, label: String): List<String> =
        if (call.isComplete && call.body != ServerScript.bodyOf(call.id)) {
            listOf("MIXED $label got '${call.body}'")
        } else {
            emptyList()
        }

    private fun eventViolations(call: SoakCall, label: String): List<String> {
        val ids = call.body.lines().filter { it.startsWith("id: ") }
            .mapNotNull { it.removePrefix("id: ").toIntOrNull() }
        val expected = (1..ids.size).toList()
        return when {
            ids != expected -> listOf("ORDER $label got events $ids")
            call.isComplete && ids.size != ServerScript.EVENTS -> listOf("ORDER $label ended after ${ids.size} events")
            else -> emptyList()
        }
    }

    /** A graceful stop must not cut a request that was read, unless a fault is active at the same time. */
    private fun wasCutByRestart(call: SoakCall): Boolean {
        val wasRead = call.endedMillis - call.sentMillis > MAX_UNREAD_MILLIS || call.id in runsById
        return wasRead &&
            disturbances.isEverythingUndisturbed(call.sentMillis - RECOVERY_MILLIS, call.endedMillis) &&
            records.restarts.any {
                it.node == call.node &&
                    call.sentMillis <= it.untilMillis &&
                    call.endedMillis in it.fromMillis..it.untilMillis
            }
    }

    private fun violationsOf(server: String, request: RunnerRequest): List<String> = buildList {
        val id = request.header("X-Request-Id").orEmpty()
        val atMillis = request.atNanos / 1_000_000
        if (request.header("X-Credential") != null) add("UNASKED $id reached $server with its key")
        val call = callsById[id] ?: return@buildList
        if (request.header("X-Tenant") != CUSTOMERS.getValue(call.key)) {
            add("UNASKED $id ran for ${request.header("X-Tenant")} instead of ${CUSTOMERS[call.key]}")
        }
        val isUnimpaired = disturbances.isUndisturbed(call.node, call.sentMillis - RECOVERY_MILLIS, atMillis) &&
            disturbances.isUndisturbed(SoakFault.STORE, call.sentMillis - RECOVERY_MILLIS, atMillis)
        if (!isUnimpaired) return@buildList
        val withdrawal = records.withdrawals.firstOrNull {
            it.key == call.key &&
                call.sentMillis > it.atMillis + applyLimitMillis(it.atMillis, call) &&
                atMillis < it.untilMillis
        }
        if (withdrawal != null) {
            add("CONFIG $id ran with a key withdrawn ${call.sentMillis - withdrawal.atMillis} ms before")
        }
        val drain = records.drains.firstOrNull { it.server == server }
        if (drain != null && call.sentMillis > drain.atMillis + applyLimitMillis(drain.atMillis, call)) {
            add("DRAIN $id reached $server ${atMillis - drain.atMillis} ms after it was draining")
        }
    }

    /** How long the node of [call] may take to apply a change; longer if the store failed or the node restarted. */
    private fun applyLimitMillis(fromMillis: Long, call: SoakCall): Long {
        val wasStoreAvailable =
            disturbances.isUndisturbed(SoakFault.STORE, fromMillis - RECOVERY_MILLIS, call.sentMillis)
        val hasNotRestarted =
            records.restarts.none { it.node == call.node && it.untilMillis in fromMillis..call.sentMillis }
        return if (wasStoreAvailable && hasNotRestarted) APPLY_LIMIT_MILLIS else APPLY_LIMIT_MILLIS + EXTRA_APPLY_MILLIS
    }

    private fun violationsOf(job: SoakJob): List<String> = buildList {
        val ranItems = job.items.filter { it in runsById }
        val wasEverAccepted = job.statuses.any { it !in NOT_RUN }
        if (!wasEverAccepted && ranItems.isNotEmpty()) {
            add("REFUSED job ${job.id} was refused each time and ran $ranItems")
        }
        if (job.acceptedMillis == null) return@buildList
        if (job.cancelledMillis == null && !job.isComplete) {
            add("LOST job ${job.id}: ${job.results.size} of ${job.items.size} results at the end")
        }
        val listed = job.results.values.map { it.item }
        if (listed.toSet().size != listed.size) add("TWICE job ${job.id} lists an item twice: $listed")
        if (!job.items.containsAll(listed)) add("MIXED job ${job.id} lists items of others: $listed")
        for (result in job.results.values) violationOf(job, result)?.let { add(it) }
    }

    private fun violationOf(job: SoakJob, result: SoakResult): String? = when (result.state) {
        "completed" ->
            "ORDER item ${result.item} has the output '${result.output}'"
                .takeIf { result.output != ServerScript.ITEM_OUTPUT }
        "dead_letter" -> {
            val mayFail = result.item.endsWith(SoakJobCallers.POISON_MARK) ||
                (itemFailures[result.item] ?: 0) >= MAX_ATTEMPTS
            "MIXED item ${result.item} failed before its last attempt"
                .takeIf { !mayFail && job.cancelledMillis == null }
        }
        else -> "MIXED item ${result.item} has the state ${result.state}"
    }

    private fun rateViolations(): List<String> {
        val atMillis = runs.filter { it.second.header("X-Tenant") == CUSTOMERS[LIMITED_KEY] }
            .map { it.second.atNanos / 1_000_000 }.sorted()
        val maxCount = atMillis.indices.maxOfOrNull { last ->
            last - atMillis.indexOfFirst { it > atMillis[last] - RATE_WINDOW_MILLIS } + 1
        } ?: 0
        val allowed =
            (LIMITED_RATE_PER_SECOND * RATE_WINDOW_MILLIS / 1_000 + LIMITED_BURST) * RATE_TOLERANCE + RATE_SLACK
        return if (maxCount > allowed) {
            listOf("QUOTA $maxCount requests ran within $RATE_WINDOW_MILLIS ms, $allowed allowed")
        } else {
            emptyList()
        }
    }

    /** The figures are bounds that the operators' platform sets. */
    private companion object {
        val SUCCESSES = 200..299
        val NOT_RUN = setOf(408, 421, 429, 503)
        val DENIALS = setOf(401, 403, 404)
        const val MAX_ATTEMPTS = 3
        const val RECOVERY_MILLIS = 3_000L
        const val APPLY_LIMIT_MILLIS = 2_000L
        const val EXTRA_APPLY_MILLIS = 5_000L

        /** A request that ended sooner and did not run may not have been read by the node. */
        const val MAX_UNREAD_MILLIS = 200L
        const val RATE_WINDOW_MILLIS = 5_000L
        const val RATE_TOLERANCE = 1.1
        const val RATE_SLACK = 20
    }
}
