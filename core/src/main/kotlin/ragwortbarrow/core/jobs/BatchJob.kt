package ragwortbarrow.core.jobs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One item of a batch job: a request to the job's service. [bodyBase64] is stored as it was submitted. */
@Serializable
data class BatchItem(
    val id: String,
    val path: String,
    val headers: Map<String, String> = emptyMap(),
    val bodyBase64: String = "",
)

/** A batch job, stored before it is acknowledged. It is immutable. */
@Serializable
data class BatchJob(
    val id: String,
    val host: String,
    val path: String,
    val customer: String,
    val submittedWallMillis: Long,
    val items: List<BatchItem>,
    /** The node that accepted the job, and runs it until another node takes it over. */
    val holder: JobHolder,
    /** The version of the configuration under which the job was accepted; null if an earlier release stored the job. */
    val configurationVersion: Long? = null,
)

/** The node that runs a job; [incarnation] identifies the start of its process. */
@Serializable
data class JobHolder(val vm: String, val incarnation: Long)

/**
 * The mutable state of a job: the node that took it over, if any, and whether it was cancelled. [isFinished] is set by
 * a node that takes the job over and finds that every item has a result.
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

/** Consecutive results of a job; [first] is the position of the first one. */
@Serializable
data class ResultChunk(val first: Int, val results: List<ItemResult>)
