package ragwortbarrow.core.jobs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One item of a batch job: a request for the job's service. [bodyBase64] is kept as it was handed in. */
@Serializable
data class BatchItem(
    val id: String,
    val path: String,
    val headers: Map<String, String> = emptyMap(),
    val bodyBase64: String = "",
)

/** A batch job as it is stored before it is acknowledged. It never changes. */
@Serializable
data class BatchJob(
    val id: String,
    val host: String,
    val path: String,
    val customer: String,
    val submittedWallMillis: Long,
    val items: List<BatchItem>,
    /** The node that accepted the job and runs it first. */
    val holder: JobHolder,
)

/** The start of a node that runs a job. */
@Serializable
data class JobHolder(val vm: String, val incarnation: Long)

/**
 * What changes about a job: who took it over and whether it was cancelled. [isFinished] is set by a node that takes the
 * job over and finds that every item has its result.
 */
@Serializable
data class JobState(
    val holder: JobHolder? = null,
    @SerialName("isEnded") val isCancelled: Boolean = false,
    val isFinished: Boolean = false,
)

/** The final result of one item. */
@Serializable
data class ItemResult(val id: String, val isCompleted: Boolean, val output: String = "")

/** Results in the order of their positions; [first] is the position of the first one. */
@Serializable
data class ResultChunk(val first: Int, val results: List<ItemResult>)
