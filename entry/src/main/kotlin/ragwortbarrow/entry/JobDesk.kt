package ragwortbarrow.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
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
import ragwortbarrow.core.jobs.JobStore
import ragwortbarrow.core.jobs.ResultLog
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.traffic.CustomerAccount
import ragwortbarrow.core.traffic.Route
import ragwortbarrow.http.HttpReply
import ragwortbarrow.http.HttpRequestMessage
import java.util.Base64

/**
 * Takes callers' calls for batch jobs at any node. A job is acknowledged once it is stored. Results are read at the
 * node that runs the job, and from the store when that node cannot be reached; only the store's word makes a job
 * unknown.
 */
class JobDesk(
    private val runner: JobRunner,
    private val records: JobStore,
    private val members: FleetMembers,
    private val connector: FleetConnector,
    private val cancelledJobs: EndedJobs,
    private val protocol: EntryProtocol,
    private val timer: TimerService,
    private val log: DecisionLog,
) {
    /** Called with a job that perhaps nobody runs, so that this node takes it over unless another one does. */
    var checkHere: suspend (job: String) -> Unit = {}

    /** A job that another node runs, as this node last knew it. */
    private class Remote(val holder: JobHolder) {
        /** The job itself, once it had to be read from the store. */
        var job: BatchJob? = null
        var results: ResultLog? = null

        /** When the store was last asked for the state and for results. */
        var stateAtNanos = Long.MIN_VALUE
        var resultsAtNanos = Long.MIN_VALUE

        /** The holder could not be asked or said that it does not run the job. */
        var isHolderDoubtful = false
    }

    private val remotes = object : LinkedHashMap<String, Remote>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Remote>) = size > MAX_REMOTES
    }
    private val acceptedAtNanos = LinkedHashMap<String, Long>()

    /** Jobs that this node accepted within the last second, for the other nodes. */
    fun acceptedLately(): Map<String, JobHolder> {
        val nowNanos = timer.nanoTime()
        acceptedAtNanos.values.removeIf { nowNanos - it > ACCEPTED_NANOS }
        val self = JobHolder(members.self.vm.value, members.self.incarnation)
        return acceptedAtNanos.mapValues { self }
    }

    /** Other nodes run [jobs]; callers that ask here need no word of the store. */
    fun othersAccepted(jobs: Map<String, JobHolder>) {
        for ((job, holder) in jobs) if (job !in remotes) remotes[job] = Remote(holder)
    }

    suspend fun submit(
        message: HttpRequestMessage,
        head: CallerRequestHead,
        route: Route,
        customer: CustomerAccount?,
        arrivedNanos: Long,
        reply: HttpReply,
    ) {
        val items = protocol.parseBatchItems(message.body)
            ?: return refuse(head, reply, ResultCode.MALFORMED_BODY, "the body is not a list of items")
        val self = members.self
        val job = BatchJob(
            id = head.requestId,
            host = head.host,
            path = head.path,
            customer = customer?.id?.value.orEmpty(),
            submittedWallMillis = timer.wallMillis(),
            items = items,
            holder = JobHolder(self.vm.value, self.incarnation),
        )
        records.create(job).fold(
            {
                runner.hold(job, ResultLog(items.size))
                acceptedAtNanos[job.id] = timer.nanoTime()
                accepted(head, reply, route, items.size, "stored", arrivedNanos)
            },
            { error ->
                when (error) {
                    is StoreError.AlreadyExists -> {
                        accepted(head, reply, route, items.size, "known", arrivedNanos)
                        ensureHeld(job.id)
                    }
                    is StoreError.OutcomeUnknown -> reply.refuse(
                        ServingError.BackendFailed(
                            ResultCode.BACKEND_TIMEOUT,
                            error.message,
                            Execution.UNKNOWN,
                        ),
                    )
                    else -> refuse(head, reply, ResultCode.PLATFORM_UNAVAILABLE, error.message)
                }
            },
        )
    }

    /**
     * An earlier attempt has stored [job]. Its node may have given up on the write, which took effect later, or may be
     * gone, so the node that should run the job is told.
     */
    private suspend fun ensureHeld(job: String) {
        if (runner.held(job) != null) return
        val remote = remote(job).getOrElse {
            log.record("job_holder_unknown", "job" to job, "reason" to it)
            null
        }
        val told = remote?.let { askHolder(job, it) { peer -> peer.checkJobs(listOf(job)) } }
        if (told == null) checkHere(job)
    }

    suspend fun readResults(
        call: CallerOperation.ReadResults,
        head: CallerRequestHead,
        customer: String,
        reply: HttpReply,
    ) {
        val page = page(call.job, customer, call.after, call.waitMillis.coerceIn(0, MAX_WAIT_MILLIS))
        page.fold(
            {
                if (it == null) {
                    refuse(head, reply, ResultCode.NOT_FOUND, "no job ${call.job}")
                } else {
                    reply.whole(200, JSON, protocol.encodeResultsPage(it.total, call.after, it.results.limited()))
                }
            },
            { refuse(head, reply, ResultCode.PLATFORM_UNAVAILABLE, it.message) },
        )
    }

    suspend fun readItem(call: CallerOperation.ReadItem, head: CallerRequestHead, customer: String, reply: HttpReply) {
        val found = item(call.job, customer, call.item)
        found.fold(
            { body ->
                if (body == null) {
                    refuse(head, reply, ResultCode.NOT_FOUND, "no item ${call.item} in job ${call.job}")
                } else {
                    reply.whole(200, DefaultHttpHeaders(), body)
                }
            },
            { refuse(head, reply, ResultCode.PLATFORM_UNAVAILABLE, it.message) },
        )
    }

    suspend fun end(call: CallerOperation.CancelJob, head: CallerRequestHead, customer: String, reply: HttpReply) {
        val job = runner.held(call.job)?.job ?: storedJob(call.job, remotes[call.job]).getOrElse {
            return refuse(head, reply, ResultCode.PLATFORM_UNAVAILABLE, it.message)
        }
        if (job == null || job.customer != customer) {
            return refuse(head, reply, ResultCode.NOT_FOUND, "no job ${call.job}")
        }
        records.updateState(call.job) { it.copy(isCancelled = true) }.fold(
            {
                cancelledJobs.add(call.job)
                tellHolder(call.job)
                log.record("job_end_acknowledged", "request_id" to head.requestId, "job" to call.job)
                reply.whole(200, JSON, EMPTY_OBJECT)
            },
            { refuse(head, reply, ResultCode.PLATFORM_UNAVAILABLE, it.message) },
        )
    }

    /** Results at this node for a peer; null if it does not run the job. */
    internal suspend fun heldPage(job: String, customer: String, after: Int, waitMillis: Long): JobPage? {
        val held = runner.held(job) ?: return null
        if (held.job.customer != customer) return null
        if (held.log.size <= after && !held.log.isComplete) runner.readAgain(held)
        val mayGrow = !held.log.isComplete && !held.isEnded
        if (held.log.size <= after && mayGrow && waitMillis > 0) {
            withTimeoutOrNull(waitMillis) { while (held.log.size <= after && !held.isEnded) held.changed() }
        }
        return JobPage(held.job.items.size, held.log.resultsFrom(after).limited())
    }

    /** The body of an item for a peer. */
    internal fun heldItem(job: String, customer: String, item: String): ItemBody {
        val held = runner.held(job)
        if (held == null || held.job.customer != customer) return ItemBody(isJobFound = false)
        return ItemBody(isJobFound = true, body = held.job.body(item))
    }

    private suspend fun page(
        job: String,
        customer: String,
        after: Int,
        waitMillis: Long,
    ): Result<JobPage?, StoreError> {
        heldPage(job, customer, after, waitMillis)?.let { return Ok(it) }
        val remote = remote(job).getOrElse { return Err(it) } ?: return Ok(null)
        val known = remote.results
        if (known == null || !known.isComplete) {
            val fromPeer = askHolder(job, remote) { it.readResults(job, customer, after, waitMillis) }
            if (fromPeer != null) return Ok(fromPeer)
            remote.isHolderDoubtful = true
        }
        return storedPage(job, remote, customer, after)
    }

    /** Results as the store has them, when the node that runs the job does not answer. */
    private suspend fun storedPage(
        job: String,
        remote: Remote,
        customer: String,
        after: Int,
    ): Result<JobPage?, StoreError> {
        val stored = storedJob(job, remote).getOrElse { return Err(it) }
        if (stored == null || stored.customer != customer) return Ok(null)
        val results = remote.results ?: ResultLog(stored.items.size).also { remote.results = it }
        if (!results.isComplete && isDue(remote.resultsAtNanos)) {
            records.readResults(job, results).getOrElse { return Err(it) }
            remote.resultsAtNanos = timer.nanoTime()
        }
        return Ok(JobPage(stored.items.size, results.resultsFrom(after).limited()))
    }

    private suspend fun item(job: String, customer: String, item: String): Result<ByteArray?, StoreError> {
        val held = heldItem(job, customer, item)
        if (held.isJobFound) return Ok(held.body)
        val remote = remote(job).getOrElse { return Err(it) } ?: return Ok(null)
        val fromPeer = askHolder(job, remote) { it.readItem(job, customer, item) }
        if (fromPeer != null && fromPeer.isJobFound) return Ok(fromPeer.body)
        remote.isHolderDoubtful = true
        val stored = storedJob(job, remote).getOrElse { return Err(it) }
        return Ok(if (stored?.customer == customer) stored.body(item) else null)
    }

    /** Whether what the store said at [readAtNanos] is too old for a caller that has seen more elsewhere. */
    private fun isDue(readAtNanos: Long) =
        readAtNanos == Long.MIN_VALUE || timer.nanoTime() - readAtNanos >= READ_AGAIN_NANOS

    /** The job as the store has it; null if there is no such job. */
    private suspend fun storedJob(id: String, remote: Remote?): Result<BatchJob?, StoreError> {
        remote?.job?.let { return Ok(it) }
        val job = records.job(id).getOrElse { return if (it is StoreError.NotFound) Ok(null) else Err(it) }
        remote?.job = job
        return Ok(job)
    }

    /** Which node runs a job that this one does not run; null if there is no such job. */
    private suspend fun remote(id: String): Result<Remote?, StoreError> {
        val known = remotes[id]
        val isHolderFine = known != null && members.mayRun(known.holder) && !known.isHolderDoubtful
        if (known != null && (isHolderFine || !isDue(known.stateAtNanos))) return Ok(known)
        val job = storedJob(id, known).getOrElse { return Err(it) } ?: return Ok(null)
        var holder = job.holder
        if (known != null || !members.mayRun(holder)) {
            holder = records.state(id).getOrElse { return Err(it) }.holder ?: holder
        }
        val remote = Remote(holder)
        remote.job = job
        remote.results = known?.results
        remote.stateAtNanos = timer.nanoTime()
        remote.resultsAtNanos = known?.resultsAtNanos ?: Long.MIN_VALUE
        remotes[id] = remote
        return Ok(remote)
    }

    private suspend fun <T> askHolder(
        job: String,
        remote: Remote,
        ask: suspend (FleetPeer) -> Result<T?, PeerError>,
    ): T? {
        val node = node(remote.holder) ?: return null
        return ask(connector.connect(node.address)).fold(
            { it },
            {
                log.record("holder_not_reached", "job" to job, "vm" to node.vm, "reason" to it)
                null
            },
        )
    }

    private suspend fun tellHolder(job: String) {
        if (runner.end(job)) return
        val remote = remotes[job] ?: return
        askHolder(job, remote) { it.cancelJob(job) }
    }

    private fun node(holder: JobHolder): FleetNode? =
        if (members.mayRun(holder)) members.others().firstOrNull { it.vm.value == holder.vm } else null

    private fun accepted(
        head: CallerRequestHead,
        reply: HttpReply,
        route: Route,
        items: Int,
        how: String,
        arrivedNanos: Long,
    ) {
        log.record(
            "job_accepted",
            "request_id" to head.requestId,
            "route" to route.name,
            "items" to items,
            "how" to how,
            "total_ms" to (timer.nanoTime() - arrivedNanos) / NANOS_PER_MILLI,
        )
        reply.whole(202, JSON, EMPTY_OBJECT)
    }

    private fun refuse(head: CallerRequestHead, reply: HttpReply, code: ResultCode, message: String) {
        log.record(
            "refused",
            "request_id" to head.requestId,
            "path" to head.path,
            "code" to code.number,
            "reason" to message,
        )
        val retryAfterMillis = if (code == ResultCode.PLATFORM_UNAVAILABLE) RETRY_MILLIS else null
        reply.refuse(ServingError.Unavailable(code, message, retryAfterMillis))
    }

    private companion object {
        val JSON = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        val EMPTY_OBJECT = "{}".encodeToByteArray()

        /** Jobs of other nodes that are remembered with their bodies, of some 15 KB each. */
        const val MAX_REMOTES = 200

        /** How long the other nodes are told of a new job: several exchanges. */
        const val ACCEPTED_NANOS = 1_000_000_000L

        /** Callers rely on a result at all nodes one second after they have seen it at one. */
        const val READ_AGAIN_NANOS = 400_000_000L

        /** The longest wait for results; callers allow for a second. */
        const val MAX_WAIT_MILLIS = 1_000L

        const val RETRY_MILLIS = 1_000L
    }
}

/** A page holds at most about 1 MB, and at least one result. */
private fun List<ItemResult>.limited(): List<ItemResult> {
    var sizeBytes = 0
    return takeWhile { result ->
        val isFirst = sizeBytes == 0
        sizeBytes += result.output.length + RESULT_OVERHEAD_BYTES
        isFirst || sizeBytes <= MAX_PAGE_BYTES
    }
}

private fun BatchJob.body(item: String): ByteArray? =
    items.firstOrNull { it.id == item }?.let(BatchItem::bodyBase64)?.let { Base64.getDecoder().decode(it) }

internal fun FleetMembers.mayRun(holder: JobHolder): Boolean = mayRun(VmId(holder.vm), holder.incarnation)

private const val MAX_PAGE_BYTES = 900_000
private const val RESULT_OVERHEAD_BYTES = 100
