package ragwortbarrow.soak

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.IOException
import java.net.URI
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.Base64
import kotlin.random.Random

/** Batch clients that submit a job until it is accepted, read its results from any node and cancel some jobs. */
internal class SoakJobCallers(
    private val fleet: SoakFleet,
    private val records: SoakRecords,
    private val seed: Long,
    count: Int,
) {
    private val threads = CallerThreads("jobs", count, ::submitAll)
    private val client = soakClient()

    fun start() = threads.start()

    fun stop() = threads.stop()

    /** Reads the results of all unfinished jobs until they are complete or [timeoutMillis] is over. */
    fun awaitCompletion(timeoutMillis: Long) {
        val untilMillis = nowMillis() + timeoutMillis
        val random = Random(seed)
        while (nowMillis() < untilMillis && unfinishedJobs().isNotEmpty()) {
            for (job in unfinishedJobs()) read(job, random)
            pause(READ_PAUSE_MILLIS)
        }
    }

    fun unfinishedJobs(): List<SoakJob> =
        records.jobs.filter { it.acceptedMillis != null && it.cancelledMillis == null && !it.isComplete }

    private fun submitAll(number: Int) {
        val random = Random(seed * PRIME + number)
        var jobs = 0
        while (!threads.isStopRequested) {
            val id = "j$number-${++jobs}"
            val items = (1..random.nextInt(1, MAX_ITEMS)).map { item ->
                if (random.nextInt(15) == 0) "$id-$item-$POISON_MARK" else "$id-$item"
            }
            val job = SoakJob(id, items).also { records.jobs += it }
            submit(job, random)
            readResults(job, random)
        }
    }

    private fun submit(job: SoakJob, random: Random) {
        repeat(SUBMIT_ATTEMPTS) {
            if (threads.isStopRequested) return
            val status = send("POST", "/quote/${job.id}", job.id, random, submissionBody(job)).first
            job.statuses += status
            if (status == ACCEPTED) {
                job.acceptedMillis = nowMillis()
                return
            }
            pause(random.nextLong(SUBMIT_PAUSE_MILLIS))
        }
    }

    private fun readResults(job: SoakJob, random: Random) {
        if (job.acceptedMillis == null) return
        val shouldCancel = random.nextInt(6) == 0
        val reads = random.nextInt(2, 12)
        repeat(reads) {
            if (threads.isStopRequested || job.isComplete) return
            read(job, random)
            pause(READ_PAUSE_MILLIS)
        }
        if (shouldCancel) cancel(job, random)
    }

    private fun cancel(job: SoakJob, random: Random) {
        repeat(SUBMIT_ATTEMPTS) {
            val node = node(random)
            if (send("DELETE", "/lots/${job.id}", "${job.id}-end", random, node = node).first == OK) {
                job.cancelledAtNode = node
                job.cancelledMillis = nowMillis()
                return
            }
            pause(SUBMIT_PAUSE_MILLIS)
        }
    }

    private fun read(job: SoakJob, random: Random) {
        // Sometimes reads from the start again: results that were read before must not have changed.
        val readCount = (0 until job.items.size).takeWhile { job.results.containsKey(it) }.size
        val after = if (random.nextInt(4) == 0) 0 else readCount
        val (status, body) = send("GET", "/lots/${job.id}?after=$after", "${job.id}-read", random)
        if (status != OK) {
            val isLost = status == NOT_FOUND && nowMillis() - checkNotNull(job.acceptedMillis) > PROPAGATION_MILLIS
            if (isLost) records.violations += "LOST job ${job.id}: answered $status after it was accepted"
            return
        }
        val page = Json.parseToJsonElement(body).jsonObject
        val total = page.getValue("total").jsonPrimitive.int
        if (total != job.items.size) records.violations += "MIXED job ${job.id}: total $total of ${job.items.size}"
        page.getValue("results").jsonArray.forEachIndexed { index, element ->
            val result = element.jsonObject.result()
            val before = job.results.putIfAbsent(after + index, result)
            if (before != null && before != result) {
                records.violations += "TWICE job ${job.id} position ${after + index}: $before became $result"
            }
        }
    }

    private fun JsonObject.result() = SoakResult(
        getValue("id").jsonPrimitive.content,
        getValue("state").jsonPrimitive.content,
        get("output")?.jsonPrimitive?.content.orEmpty(),
    )

    private fun submissionBody(job: SoakJob) = job.items.joinToString(",", """{"items":[""", "]}") { item ->
        val path = ServerScript.ITEM_PREFIX + if (item.endsWith(POISON_MARK)) ServerScript.POISON_SUFFIX else "item"
        val body = Base64.getEncoder().encodeToString("input of $item".toByteArray())
        val headers = """{"X-Model":"m","X-Prompt-Prefix":"subject-of-${job.id}:300,$item:40"}"""
        """{"id":"$item","path":"$path","headers":$headers,"body":"$body","tokens":10}"""
    }

    private fun node(random: Random) = fleet.readyNodes.ifEmpty { fleet.nodes }.random(random)

    /** Returns status and body; status 0 means that there was no response. */
    private fun send(
        method: String,
        path: String,
        id: String,
        random: Random,
        body: String = "",
        node: String = node(random),
    ): Pair<Int, String> {
        val request = HttpRequest.newBuilder(URI("http://${fleet.callerAddress(node)}$path"))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .header("Host", HOST).header("X-Request-Id", id).header("X-Credential", STEADY_KEY)
            .header("X-Wait-Ms", "500").timeout(Duration.ofSeconds(3)).build()
        return try {
            client.send(request, HttpResponse.BodyHandlers.ofString()).let { it.statusCode() to it.body() }
        } catch (failure: IOException) {
            0 to failure.toString()
        }
    }

    companion object {
        const val POISON_MARK = "poison"
        private const val PRIME = 7_919L
        private const val MAX_ITEMS = 9
        private const val SUBMIT_ATTEMPTS = 8
        private const val SUBMIT_PAUSE_MILLIS = 400L
        private const val READ_PAUSE_MILLIS = 400L

        /** Every node knows a job this long after it was accepted. */
        private const val PROPAGATION_MILLIS = 1_000L
        private const val OK = 200
        private const val ACCEPTED = 202
        private const val NOT_FOUND = 404
    }
}
