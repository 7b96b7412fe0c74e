package ragwortbarrow.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onSuccess
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import ragwortbarrow.core.error.Execution
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.fleet.FleetConnector
import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.fleet.FleetPeer
import ragwortbarrow.core.fleet.ItemBody
import ragwortbarrow.core.fleet.JobPage
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.jobs.BatchItem
import ragwortbarrow.core.jobs.BatchJob
import ragwortbarrow.core.jobs.ItemResult
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.jobs.JobState
import ragwortbarrow.core.jobs.JobStore
import ragwortbarrow.core.jobs.ResultLog
import ragwortbarrow.core.jobs.takeEncoded
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.pause
import ragwortbarrow.core.traffic.CustomerAccount
import ragwortbarrow.core.traffic.Route
import ragwortbarrow.http.HttpReply
import ragwortbarrow.http.HttpRequestMessage
import java.util.Base64

/**
 * Handles callers' requests for batch jobs, on any node. A job is acknowledged once it is stored. Results are read from
 * the node that runs the job, or from the store if that node cannot be reached. A job counts as unknown only if the
 * store does not have it.
 */
class BatchJobHandler(
    private val runner: JobRunner,
    private val jobStore: JobStore,
    private val members: FleetMembers,
    private val connector: FleetConnector,
    private val cancelledJobs: CancelledJobs,
    private val protocol: EntryProtocol,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val log: DecisionLog,
) {
    /** Called with a job that may have no running holder; this node then takes it over unless another one runs it. */
    var onJobWithoutHolder: suspend (job: String) -> Unit = {}

    /** The last known state of a job that another node runs. */
    private class RemoteJob(val holder: JobHolder) {
        /** The job itself, if it has been read from the store. */
        var job: BatchJob? = null
        var results: ResultLog? = null

        /** Time of the last read of the state and of the results from the store. */
        var stateAtNanos = Long.MIN_VALUE
        var resultsAtNanos = Long.MIN_VALUE

        /** The holder was unreachable or replied that it does not run the job. */
        var isHolderUnconfirmed = false

        fun movedTo(newHolder: JobHolder) = RemoteJob(newHolder).also {
            it.job = job
            it.results = results
            it.resultsAtNanos = resultsAtNanos
        }
    }

    private val remoteJobs = object : LinkedHashMap<String, RemoteJob>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, RemoteJob>) = size > MAX_REMOTE_JOBS
    }
    private val acceptedAtNanos = LinkedHashMap<String, Long>()

    /** Announces to peers that this node now runs [job]. */
    fun announce(job: String) {
        acceptedAtNanos[job] = timer.nanoTime()
    }

    /** Jobs that this node accepted or took over a moment ago, to be announced to peers. */
    fun recentlyAcceptedJobs(): Map<String, JobHolder> {
        val nowNanos = timer.nanoTime()
        acceptedAtNanos.values.removeIf { nowNanos - it > ANNOUNCE_NANOS }
        val self = JobHolder(members.self.vm.value, members.self.incarnation)
        return acceptedAtNanos.mapValues { self }
    }

    /** Records that other nodes run [jobs], so that requests for them do not need the store. */
    fun addRemoteJobs(jobs: Map<String, JobHolder>) {
        for ((job, holder) in jobs) {
            val known = remoteJobs[job]
            when {
                known == null -> remoteJobs[job] = RemoteJob(holder)
                known.holder == holder -> known.isHolderUnconfirmed = false
                known.isHolderUnconfirmed || !members.mayRun(known.holder) -> remoteJobs[job] = known.movedTo(holder)
            }
        }
    }

    suspend fun submit(
        message: HttpRequestMessage,
        head: CallerRequestHead,
        route: Route,
        configurationVersion: Long,
        customer: CustomerAccount?,
        startNanos: Long,
        reply: HttpReply,
    ) {
        if (!reply.tryHold(parsedJobBytes(message.body))) {
            return reject(head, reply, ResultCode.QUEUE_FULL, "no memory for the items of the job")
        }
        val items = protocol.parseBatchItems(message.body)
            ?: return reject(head, reply, ResultCode.MALFORMED_BODY, "the body is not a list of items")
        val self = members.self
        val job = BatchJob(
            id = head.requestId,
            host = head.host,
            path = head.path,
            customer = customer?.id?.value.orEmpty(),
            submittedWallMillis = timer.wallMillis(),
            items = items,
            holder = JobHolder(self.vm.value, self.incarnation),
            configurationVersion = configurationVersion,
        )
        jobStore.create(job).fold(
            {
                runner.startJob(job, ResultLog(items.size))
                announce(job.id)
                acknowledge(head, reply, route, items.size, "stored", startNanos)
            },
            { error ->
                when (error) {
                    is StoreError.AlreadyExists -> {
                        acknowledge(head, reply, route, items.size, "known", startNanos)
                        // Callers close the connection after the acknowledgement, which cancels their request.
                        scope.launch { ensureRunning(job.id) }
                    }
                    is StoreError.OutcomeUnknown -> reply.sendError(
                        ServingError.BackendFailed(
                            ResultCode.BACKEND_TIMEOUT,
                            error.message,
                            Execution.UNKNOWN,
                        ),
                    )
                    is StoreError.Rejected -> {
                        val reason = "a job of ${message.body.size} bytes is not accepted: ${error.message}"
                        reject(head, reply, ResultCode.BODY_TOO_LARGE, reason)
                    }
                    else -> reject(head, reply, ResultCode.PLATFORM_UNAVAILABLE, error.message)
                }
            },
        )
    }

    /**
     * Notifies the holder of [job], which an earlier request has stored. The node that stored it may have failed, or
     * may have given up on a write that took effect later, so the job may not be running.
     */
    private suspend fun ensureRunning(job: String) {
        if (runner.activeJob(job) != null) return
        val remote = findRemoteJob(job).getOrElse {
            log.record("job_holder_unknown", "job" to job, "reason" to it)
            null
        }
        val reply = remote?.let { callHolder(job, it.holder) { peer -> peer.checkJobs(listOf(job)) } }
        if (reply == null) onJobWithoutHolder(job)
    }

    suspend fun readResults(
        operation: CallerOperation.ReadResults,
        head: CallerRequestHead,
        customer: String,
        reply: HttpReply,
    ) {
        val page = readPage(operation.job, customer, operation.after, operation.waitMillis.coerceIn(0, MAX_WAIT_MILLIS))
        page.fold(
            {
                if (it == null) {
                    reject(head, reply, ResultCode.NOT_FOUND, "no job ${operation.job}")
                } else {
                    reply.whole(200, JSON, protocol.encodeResultsPage(it.total, operation.after, it.results.takePage()))
                }
            },
            { reject(head, reply, ResultCode.PLATFORM_UNAVAILABLE, it.message) },
        )
    }

    suspend fun readItem(
        operation: CallerOperation.ReadItem,
        head: CallerRequestHead,
        customer: String,
        reply: HttpReply,
    ) {
        val found = readItemBody(operation.job, customer, operation.item)
        found.fold(
            { body ->
                if (body == null) {
                    reject(head, reply, ResultCode.NOT_FOUND, "no item ${operation.item} in job ${operation.job}")
                } else {
                    reply.whole(200, DefaultHttpHeaders(), body)
                }
            },
            { reject(head, reply, ResultCode.PLATFORM_UNAVAILABLE, it.message) },
        )
    }

    suspend fun cancel(
        operation: CallerOperation.CancelJob,
        head: CallerRequestHead,
        customer: String,
        reply: HttpReply,
    ) {
        val job = runner.activeJob(operation.job)?.job
            ?: readStoredJob(operation.job, remoteJobs[operation.job]).getOrElse {
                return reject(head, reply, ResultCode.PLATFORM_UNAVAILABLE, it.message)
            }
        if (job == null || job.customer != customer) {
            return reject(head, reply, ResultCode.NOT_FOUND, "no job ${operation.job}")
        }
        // A caller that leaves meanwhile cancels its request, but the holder must learn of an end that is stored.
        scope.async { storeCancellation(job) }.await().fold(
            {
                log.record("job_end_acknowledged", "request_id" to head.requestId, "job" to operation.job)
                reply.whole(200, JSON, EMPTY_OBJECT)
            },
            { reject(head, reply, ResultCode.PLATFORM_UNAVAILABLE, it.message) },
        )
    }

    private suspend fun storeCancellation(job: BatchJob): Result<JobState, StoreError> =
        jobStore.updateState(job.id) { it.copy(isCancelled = true) }.onSuccess { state ->
            cancelledJobs.add(job.id)
            cancelAtHolder(job.id, state.holder ?: job.holder)
        }

    /** Results of a job that this node runs; null if it does not run the job. */
    internal suspend fun localPage(job: String, customer: String, after: Int, waitMillis: Long): JobPage? {
        val activeJob = runner.activeJob(job) ?: return null
        if (activeJob.job.customer != customer) return null
        if (activeJob.log.size <= after && !activeJob.log.isComplete) runner.rereadResults(activeJob)
        val mayGrow = !activeJob.log.isComplete && !activeJob.isStopped
        if (activeJob.log.size <= after && mayGrow && waitMillis > 0) {
            withTimeoutOrNull(waitMillis) {
                while (activeJob.log.size <= after && !activeJob.isStopped) activeJob.awaitChange()
            }
        }
        return JobPage(activeJob.job.items.size, activeJob.log.resultsFrom(after).takePage())
    }

    /** The body of an item of a job that this node runs. */
    internal fun localItem(job: String, customer: String, item: String): ItemBody {
        val activeJob = runner.activeJob(job)
        if (activeJob == null || activeJob.job.customer != customer) return ItemBody(isJobFound = false)
        return ItemBody(isJobFound = true, body = activeJob.job.body(item))
    }

    private suspend fun readPage(
        job: String,
        customer: String,
        after: Int,
        waitMillis: Long,
    ): Result<JobPage?, StoreError> {
        localPage(job, customer, after, waitMillis)?.let { return Ok(it) }
        val remote = findRemoteJob(job).getOrElse { return Err(it) } ?: return Ok(null)
        val known = remote.results
        if (known == null || !known.isComplete) {
            val fromPeer = callHolder(job, remote.holder) { it.readResults(job, customer, after, waitMillis) }
            if (fromPeer != null) return Ok(fromPeer)
            remote.isHolderUnconfirmed = true
        }
        val page = readStoredPage(job, remote, customer, after).getOrElse { return Err(it) }
        val mayGrow = page != null && page.results.isEmpty() && remote.results?.isComplete != true
        if (!mayGrow || waitMillis <= 0) return Ok(page)
        // The results that were read before the pause may be too old after it.
        return awaitHolder(job, customer, after, waitMillis)?.let { Ok(it) }
            ?: readStoredPage(job, remote, customer, after)
    }

    /** Waits as the holder would: a caller that got an empty page immediately would repeat its request immediately. */
    private suspend fun awaitHolder(job: String, customer: String, after: Int, waitMillis: Long): JobPage? {
        timer.pause(waitMillis)
        localPage(job, customer, after, waitMillis = 0)?.let { return it }
        val remote = remoteJobs[job]?.takeIf { isCurrent(it) } ?: return null
        return callHolder(job, remote.holder) { it.readResults(job, customer, after, 0) }
    }

    /** Reads results from the store, for a job whose holder does not respond. */
    private suspend fun readStoredPage(
        job: String,
        remote: RemoteJob,
        customer: String,
        after: Int,
    ): Result<JobPage?, StoreError> {
        val stored = readStoredJob(job, remote).getOrElse { return Err(it) }
        if (stored == null || stored.customer != customer) return Ok(null)
        val results = remote.results ?: ResultLog(stored.items.size).also { remote.results = it }
        if (!results.isComplete && isStale(remote.resultsAtNanos)) {
            jobStore.readResults(job, results).getOrElse { return Err(it) }
            remote.resultsAtNanos = timer.nanoTime()
        }
        return Ok(JobPage(stored.items.size, results.resultsFrom(after).takePage()))
    }

    private suspend fun readItemBody(job: String, customer: String, item: String): Result<ByteArray?, StoreError> {
        val local = localItem(job, customer, item)
        if (local.isJobFound) return Ok(local.body)
        val remote = findRemoteJob(job).getOrElse { return Err(it) } ?: return Ok(null)
        val fromPeer = callHolder(job, remote.holder) { it.readItem(job, customer, item) }
        if (fromPeer != null && fromPeer.isJobFound) return Ok(fromPeer.body)
        remote.isHolderUnconfirmed = true
        val stored = readStoredJob(job, remote).getOrElse { return Err(it) }
        return Ok(if (stored?.customer == customer) stored.body(item) else null)
    }

    /** Whether data read at [readAtNanos] may be too old for a caller that has seen newer results on another node. */
    private fun isStale(readAtNanos: Long) =
        readAtNanos == Long.MIN_VALUE || timer.nanoTime() - readAtNanos >= REREAD_INTERVAL_NANOS

    /** Reads the job from the store; null if there is no such job. */
    private suspend fun readStoredJob(id: String, remote: RemoteJob?): Result<BatchJob?, StoreError> {
        remote?.job?.let { return Ok(it) }
        val job = jobStore.job(id).getOrElse { return if (it is StoreError.NotFound) Ok(null) else Err(it) }
        remote?.job = job
        return Ok(job)
    }

    /** Finds the holder of a job that this node does not run; null if there is no such job. */
    private suspend fun findRemoteJob(id: String): Result<RemoteJob?, StoreError> {
        val known = remoteJobs[id]
        if (known != null && isCurrent(known)) return Ok(known)
        val job = readStoredJob(id, known).getOrElse { return Err(it) } ?: return Ok(null)
        var holder = job.holder
        if (known != null || !members.mayRun(holder)) {
            holder = jobStore.state(id).getOrElse { return Err(it) }.holder ?: holder
        }
        val remote = known?.movedTo(holder) ?: RemoteJob(holder)
        remote.job = job
        remote.stateAtNanos = timer.nanoTime()
        remoteJobs[id] = remote
        return Ok(remote)
    }

    /** Whether [job] can be used without reading its state again: nothing changes once all results are known. */
    private fun isCurrent(job: RemoteJob): Boolean {
        if (job.results?.isComplete == true) return true
        val isHolderUsable = members.mayRun(job.holder) && !job.isHolderUnconfirmed
        return isHolderUsable || !isStale(job.stateAtNanos)
    }

    private suspend fun <T> callHolder(
        job: String,
        holder: JobHolder,
        operation: suspend (FleetPeer) -> Result<T?, PeerError>,
    ): T? {
        val node = node(holder) ?: return null
        return operation(connector.connect(node.address)).fold(
            { it },
            {
                log.record("holder_not_reached", "job" to job, "vm" to node.vm, "reason" to it)
                null
            },
        )
    }

    private suspend fun cancelAtHolder(job: String, holder: JobHolder) {
        if (!runner.cancelJob(job)) callHolder(job, holder) { it.cancelJob(job) }
    }

    private fun node(holder: JobHolder): FleetNode? =
        if (members.mayRun(holder)) members.others().firstOrNull { it.vm.value == holder.vm } else null

    private fun acknowledge(
        head: CallerRequestHead,
        reply: HttpReply,
        route: Route,
        items: Int,
        outcome: String,
        startNanos: Long,
    ) {
        log.record(
            "job_accepted",
            "request_id" to head.requestId,
            "route" to route.name,
            "items" to items,
            "how" to outcome,
            "total_ms" to (timer.nanoTime() - startNanos) / NANOS_PER_MILLI,
        )
        reply.whole(202, JSON, EMPTY_OBJECT)
    }

    private fun reject(head: CallerRequestHead, reply: HttpReply, code: ResultCode, message: String) {
        log.record(
            "refused",
            "request_id" to head.requestId,
            "path" to head.path,
            "code" to code.number,
            "reason" to message,
        )
        val retryAfterMillis = if (code in RETRIED_CODES) RETRY_AFTER_MILLIS else null
        reply.sendError(ServingError.Unavailable(code, message, retryAfterMillis))
    }

    private companion object {
        val JSON = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        val EMPTY_OBJECT = "{}".encodeToByteArray()

        /** Cached jobs of other nodes, with bodies of about 15 KB each. */
        const val MAX_REMOTE_JOBS = 200

        /** How long a new job, or a new holder, is announced to peers: several exchanges. */
        const val ANNOUNCE_NANOS = 1_000_000_000L

        /** Below one second: a result that a caller has read from one node must be on all nodes a second later. */
        const val REREAD_INTERVAL_NANOS = 400_000_000L

        /** Maximum wait for results; callers allow for a second. */
        const val MAX_WAIT_MILLIS = 1_000L

        const val RETRY_AFTER_MILLIS = 1_000L
        val RETRIED_CODES = setOf(ResultCode.PLATFORM_UNAVAILABLE, ResultCode.QUEUE_FULL)
    }
}

/** Estimates the memory that a job takes beside its [body] while it is parsed and stored. */
private fun parsedJobBytes(body: ByteArray): Long =
    body.size * JOB_COPIES + body.count { it == COMMA || it == COLON } * JSON_ELEMENT_BYTES

/** The text of a job as it is parsed, and as it is written to the store. */
private const val JOB_COPIES = 2L

/** An element of a JSON tree with its entry in the list or map that holds it. */
private const val JSON_ELEMENT_BYTES = 96L
private const val COMMA = ','.code.toByte()
private const val COLON = ':'.code.toByte()

/** The results that fit into one page of the callers' API, which has up to 1 MB. */
private fun List<ItemResult>.takePage(): List<ItemResult> = takeEncoded(MAX_PAGE_BYTES)

private fun BatchJob.body(item: String): ByteArray? =
    items.firstOrNull { it.id == item }?.let(BatchItem::bodyBase64)?.let { Base64.getDecoder().decode(it) }

internal fun FleetMembers.hasFailed(holder: JobHolder): Boolean = hasFailed(VmId(holder.vm), holder.incarnation)

internal fun FleetMembers.mayRun(holder: JobHolder): Boolean = mayRun(VmId(holder.vm), holder.incarnation)

private const val MAX_PAGE_BYTES = 900_000
