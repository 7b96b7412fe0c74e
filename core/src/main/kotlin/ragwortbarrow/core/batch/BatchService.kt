package ragwortbarrow.core.batch

import com.github.michaelbull.result.Result
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.CustomerId

/**
 * Files and batch jobs of customers. A file or job is acknowledged only after the platform has stored it. Sending the
 * same file or job again returns the existing one.
 */
interface BatchService {
    /** Stores [content], which has one JSON request per line. */
    suspend fun createFile(customer: CustomerId, fileName: String, content: ByteArray): Result<BatchFile, ServingError>

    suspend fun file(customer: CustomerId, fileId: String): Result<BatchFile, ServingError>

    /** Returns the content of an input file or of the output file of a job. */
    suspend fun fileContent(customer: CustomerId, fileId: String): Result<ByteArray, ServingError>

    suspend fun createJob(customer: CustomerId, request: JobRequest): Result<BatchJob, ServingError>

    suspend fun job(customer: CustomerId, jobId: String): Result<BatchJob, ServingError>

    suspend fun jobs(customer: CustomerId, limit: Int = 20, after: String? = null): Result<List<BatchJob>, ServingError>

    /** Cancels a job. New items may start for a few seconds; no result is recorded once its state is `CANCELLED`. */
    suspend fun cancelJob(customer: CustomerId, jobId: String): Result<BatchJob, ServingError>
}

data class BatchFile(
    val id: String,
    val customer: CustomerId,
    val fileName: String,
    val sizeBytes: Long,
    val itemCount: Int,
    val createdAtMillis: Long,
)

data class JobRequest(
    val inputFileId: String,
    val endpoint: String,
    val completionWindowSeconds: Long = 86_400,
    val idempotencyKey: String? = null,
    val metadata: Map<String, String> = emptyMap(),
)

data class BatchJob(
    val id: String,
    val customer: CustomerId,
    val request: JobRequest,
    val state: JobState,
    val itemCount: Int,
    val completedItems: Int,
    val failedItems: Int,
    val createdAtMillis: Long,
    val deadlineMillis: Long,
    val outputFileId: String? = null,
)

enum class JobState { IN_PROGRESS, COMPLETED, CANCELLING, CANCELLED }
