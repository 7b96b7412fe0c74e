package ragwortbarrow.core.batch

import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.keys.sha256Hex
import java.util.concurrent.atomic.AtomicLong

/** Names and labels of the platform objects of batch processing. */
internal object BatchNames {
    const val LABEL_JOB = "job"
    const val LABEL_CUSTOMER = "customer"
    const val LABEL_STATE = "state"
    private const val LABEL_INDEX = "index"
    private const val LABEL_HOLDER = "holder"
    private const val LABEL_INCARNATION = "incarnation"
    private const val LABEL_COMPLETED = "completed"
    private const val LABEL_FAILED = "failed"
    private const val OUTPUT_PREFIX = "output-"
    private const val DIGEST_LENGTH = 40

    fun fileId(customer: CustomerId, content: ByteArray): String =
        "file-" + digest("${customer.value}\u0000${sha256Hex(content)}")

    fun partName(fileId: String, index: Int): String = "$fileId-%06d".format(index)

    fun jobId(customer: CustomerId, request: JobRequest): String = "batch-" + digest(
        if (request.idempotencyKey != null) {
            "${customer.value}\u0000key\u0000${request.idempotencyKey}"
        } else {
            val metadata = request.metadata.toSortedMap().entries.joinToString("\u0000") { "${it.key}=${it.value}" }
            listOf(
                customer.value,
                "request",
                request.inputFileId,
                request.endpoint,
                request.completionWindowSeconds.toString(),
                metadata,
            ).joinToString("\u0000")
        },
    )

    fun outputFileId(jobId: String): String = OUTPUT_PREFIX + jobId

    fun jobOfOutput(fileId: String): String? =
        fileId.takeIf { it.startsWith(OUTPUT_PREFIX) }?.removePrefix(OUTPUT_PREFIX)

    fun chunkName(jobId: String, index: Int): String = "$jobId-%06d".format(index)

    fun overflowName(chunkName: String, writer: String, number: Int): String =
        "$chunkName-overflow-${digest(writer)}-$number"

    fun jobLabels(job: JobRecord): Map<String, String> =
        mapOf(LABEL_CUSTOMER to job.customer.value, LABEL_STATE to job.state.name)

    /** Labels of a chunk; they contain everything that scheduling and job status need, so its spec need not be read. */
    fun chunkLabels(chunk: ChunkRecord): Map<String, String> = mapOf(
        LABEL_JOB to chunk.jobId,
        LABEL_INDEX to chunk.index.toString(),
        LABEL_STATE to chunk.state.name,
        LABEL_HOLDER to chunk.holder?.value.orEmpty(),
        LABEL_INCARNATION to chunk.holderIncarnation.toString(),
        LABEL_COMPLETED to chunk.completedItems.toString(),
        LABEL_FAILED to chunk.failedItems.toString(),
    )

    /** Returns the job id and the chunk summary in [labels], or null if the object is not a chunk. */
    fun chunkSummary(labels: Map<String, String>, version: Long): Pair<String, ChunkSummary>? {
        val jobId = labels[LABEL_JOB] ?: return null
        val index = labels[LABEL_INDEX]?.toIntOrNull() ?: return null
        return jobId to ChunkSummary(
            index = index,
            state = ChunkState.entries.firstOrNull { it.name == labels[LABEL_STATE] } ?: return null,
            holder = labels[LABEL_HOLDER]?.takeIf { it.isNotEmpty() }?.let(::VmId),
            holderIncarnation = labels[LABEL_INCARNATION]?.toLongOrNull() ?: 0,
            completedItems = labels[LABEL_COMPLETED]?.toIntOrNull() ?: 0,
            failedItems = labels[LABEL_FAILED]?.toIntOrNull() ?: 0,
            version = version,
        )
    }

    fun digest(text: String): String = sha256Hex(text).take(DIGEST_LENGTH)
}

/** The state of a chunk as contained in its labels. */
internal data class ChunkSummary(
    val index: Int,
    val state: ChunkState,
    val holder: VmId?,
    val holderIncarnation: Long,
    val completedItems: Int,
    val failedItems: Int,
    val version: Long,
)

/** Generates writer tokens that are unique over all writes of all processes. */
internal class WriterTokens(private val vm: VmId, private val incarnation: Long) {
    private val sequence = AtomicLong()

    fun next(): String = "$vm/$incarnation/${sequence.incrementAndGet()}"
}
