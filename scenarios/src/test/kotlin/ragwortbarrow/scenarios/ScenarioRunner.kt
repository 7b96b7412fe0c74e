package ragwortbarrow.scenarios

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import java.nio.file.Path

/** Runs the steps of a scenario and throws at the first expectation that is not met. */
internal class ScenarioRunner(private val scenario: Scenario, folder: Path) : AutoCloseable {
    private val fleet = ScenarioFleet(scenario.fleet, folder)
    private val generators = HashMap<String, LoadGenerator>()
    private val resultsByName = HashMap<String, List<CallResult>>()
    private val jobs = HashMap<String, SubmittedJob>()
    private var faults = emptyMap<String, String>()

    private class SubmittedJob(val id: String, val client: JobClient, val items: Int)

    fun run() {
        fleet.startServers()
        scenario.steps.forEachIndexed { index, step ->
            try {
                run(step)
            } catch (failure: IllegalStateException) {
                throw AssertionError("step ${index + 1} ($step): ${failure.message}\n${fleet.logs()}", failure)
            }
        }
    }

    private fun run(step: Step) {
        step.start?.forEach(fleet::startProcess)
        step.stop?.forEach { check(fleet.process(it).stop()) { "$it did not stop on SIGTERM" } }
        step.kill?.forEach { fleet.process(it).kill() }
        step.freeze?.forEach { fleet.process(it).freeze() }
        step.thaw?.forEach { fleet.process(it).thaw() }
        step.cut?.let(fleet::cutLinks)
        step.heal?.let { fleet.restoreLinks() }
        step.outage?.let { setFaults("outage" to it.toString()) }
        step.loseReplies?.let { setFaults("loseWriteReplies" to it.toString()) }
        step.apply?.let(fleet::applyManifest)
        step.grant?.let(fleet::grantKey)
        step.withdraw?.let {
            val confirmed = fleet.withdrawKey(it.key)
            check(confirmed == it.confirmed) { "withdrawal of ${it.key}: confirmed=$confirmed" }
        }
        step.fault?.let { fleet.setServerFaults(it.server, json(it.settings)) }
        step.send?.let(::send)
        step.submit?.let(::submit)
        step.cancel?.let { name -> jobs.getValue(name).let { it.client.cancel(it.id, anyUrl()) } }
        step.expect?.let { Expectations(it).check() }
    }

    private fun setFaults(change: Pair<String, String>) {
        faults = faults + change
        fleet.setPlatformFaults(json(faults))
    }

    /** Builds a JSON object from values that scenarios write as text. */
    private fun json(fields: Map<String, String>): String = buildJsonObject {
        fields.forEach { (name, text) -> put(name, literal(text)) }
    }.toString()

    private fun literal(text: String) = runCatching { Json.parseToJsonElement(text) }.getOrElse { JsonPrimitive(text) }

    private fun send(step: Send) {
        val generator = loadGenerator(step)
        generators[step.name] = generator
        generator.start()
        if (!step.background) resultsByName[step.name] = generator.await()
    }

    private fun loadGenerator(step: Send) = LoadGenerator(
        step,
        fleet.key(step.key),
        step.nodes.map(fleet::url),
    ) { index, urls ->
        val ready = if (step.balanced) urls.filter(fleet.readyUrls::contains).ifEmpty { urls } else urls
        ready[index % ready.size]
    }

    private fun submit(step: Submit) {
        val client = JobClient(checkNotNull(fleet.key(step.key)))
        val id = client.submit(step.job, step.items, step.poisonEvery, fleet.url(step.node))
        val resentId = client.submit(step.job, step.items, step.poisonEvery, fleet.url(step.node))
        check(id == resentId) { "a resent job got another id: $id and $resentId" }
        jobs[step.job] = SubmittedJob(id, client, step.items)
    }

    private fun anyUrl(): String = fleet.url(scenario.fleet.nodes.map { it.vm }.first(fleet::isReady))

    private fun results(name: String) = resultsByName.getOrPut(name) { generators.getValue(name).await() }

    override fun close() = fleet.close()

    private inner class Expectations(private val expected: Expectation) {
        fun check() {
            expected.ready?.forEach { vm -> awaitCondition("$vm ready") { fleet.isReady(vm) } }
            expected.exited?.forEach { name -> awaitCondition("$name exited") { !fleet.process(name).isAlive } }
            expected.version?.let { version ->
                scenario.fleet.nodes.map { it.vm }.filter { fleet.process(it).isAlive }.forEach { vm ->
                    awaitCondition("version $version on $vm") { fleet.appliedVersion(vm) == version }
                }
            }
            expected.sent?.let(::checkSent)
            expected.job?.let(::checkJob)
            expected.keyAnswers?.let { answers ->
                answers.nodes.forEach { vm ->
                    awaitCondition("status ${answers.status} for key ${answers.key} on $vm") {
                        val probe = Send("probe", answers.key, 1, 1.0, listOf(vm))
                        loadGenerator(probe).run {
                            start()
                            await().single().status == answers.status
                        }
                    }
                }
            }
            expected.runsAtMostOnce?.forEach { id ->
                val twice = fleet.runs(id).first.filterValues { it > 1 }
                check(twice.isEmpty()) { "requests that ran more than once on $id: $twice" }
            }
            expected.noKeySeen?.let { fleet.serverIds.forEach { check(!fleet.runs(it).second) { "$it saw a key" } } }
            expected.noNewWork?.let(::checkNoNewRequests)
        }

        private fun awaitCondition(what: String, condition: () -> Boolean) =
            waitFor(expected.withinSeconds, what, condition)

        private fun checkSent(expectation: SentExpectation) {
            val results = results(expectation.name)
            results.firstOrNull { it.mismatch != null }
                ?.let { error("wrong response to ${it.requestId}: ${it.mismatch}") }
            checkNotRunRefusals(results)
            val share = results.count { it.isComplete }.toDouble() / results.size
            val others = results.filter { !it.isComplete }.groupingBy { it.code to it.execution }.eachCount()
            check(share >= expectation.answeredShare) { "only $share answered; others by code and execution: $others" }
            val unexpected =
                results.filter { !it.isComplete && expectation.codes != null && it.code !in expectation.codes }
            check(unexpected.isEmpty()) { "refusals with unexpected codes: $others" }
            expectation.withinRateOf?.let { checkRate(it, results) }
        }

        private fun checkNotRunRefusals(results: List<CallResult>) {
            val ran = fleet.serverIds.filter { fleet.process(it).isAlive }.flatMap { fleet.runs(it).first.keys }.toSet()
            val executed = results.filter { it.execution == "not-run" && it.requestId in ran }
            check(executed.isEmpty()) { "refused as not-run, but ran: $executed" }
        }

        /**
         * Checks the rate over intervals that begin when a request is sent and end with a response. A request is
         * admitted between its sending and its response, so each interval contains all admissions counted in it.
         */
        private fun checkRate(customerId: String, results: List<CallResult>) {
            val customer = fleet.customers.first { it.id == customerId }
            val admitted = results.filter { it.status == 200 }
            val sends = admitted.map { it.sentNanos }.sorted()
            val ends = admitted.map { it.doneNanos }.sorted()
            for (from in sends.indices step RATE_CHECK_STEP) {
                val later = ends.indices.reversed().filter { it > from }
                for (until in later.filterIndexed { i, _ -> i % RATE_CHECK_STEP == 0 }) {
                    val count = admitted.count { it.sentNanos >= sends[from] && it.doneNanos <= ends[until] }
                    val seconds = (ends[until] - sends[from]) / 1e9
                    val allowed = customer.burst + customer.ratePerSecond * seconds
                    check(count <= allowed) { "$count requests of $customerId in $seconds s; allowed are $allowed" }
                }
            }
        }

        private fun checkJob(expectation: JobExpectation) {
            val job = jobs.getValue(expectation.name)
            awaitCondition("job ${expectation.name} ${expectation.state}") {
                runCatching {
                    job.client.status(job.id, anyUrl())?.text("status") == expectation.state
                }.getOrDefault(false)
            }
            val status = checkNotNull(job.client.status(job.id, anyUrl()))
            expectation.completed?.let { check(status.requestCount("completed") == it) { "$status" } }
            expectation.failed?.let { check(status.requestCount("failed") == it) { "$status" } }
            val results = job.client.results(job.id, anyUrl()).orEmpty().map { it.first }
            check(results.size == results.toSet().size) { "items with two results" }
            if (expectation.state == "completed") {
                check(results.toSet() == (0 until job.items).map { "item-$it" }.toSet()) { "results are missing" }
            }
        }

        private fun checkNoNewRequests(id: String) {
            var before = -1
            awaitCondition("no new requests on $id") {
                val now = fleet.runs(id).first.size
                (now == before).also { before = now }
            }
            val probe = Send("after-leaving", scenario.steps.firstNotNullOf { it.grant?.key }, 50, 50.0, readyNodes())
            send(probe)
            check(fleet.runs(id).first.size == before) { "$id got new requests" }
        }

        private fun readyNodes() = scenario.fleet.nodes.map { it.vm }.filter(fleet::isReady)
    }

    private companion object {
        /** Checks only every tenth interval bound: the number of checks grows with the square of the bounds. */
        const val RATE_CHECK_STEP = 10
    }
}
