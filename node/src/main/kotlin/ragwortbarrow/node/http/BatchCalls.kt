package ragwortbarrow.node.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import ragwortbarrow.core.batch.BatchJob
import ragwortbarrow.core.batch.JobRequest
import ragwortbarrow.core.error.ServingError

/** Creates a batch job; a repeated request with the same `Idempotency-Key` returns the existing job. */
internal suspend fun ServedCall.createBatch(): Result<Unit, ServingError> {
    val grant = authenticate().getOrElse { return Err(it) }
    val configuration = configuration().getOrElse { return Err(it) }
    val body = call.readBody(bodyLimitBytes(configuration)).getOrElse { return Err(it) }
    val request = parseJsonObject(body).getOrElse { return Err(it) }
        .toJobRequest(idempotencyKey = call.request.headers["Idempotency-Key"]).getOrElse { return Err(it) }
    val job = deps.batch.createJob(grant.customer, request).getOrElse { return Err(it) }
    return respondJson(job.toJson())
}

internal suspend fun ServedCall.getBatch(jobId: String): Result<Unit, ServingError> {
    val grant = authenticate().getOrElse { return Err(it) }
    val job = deps.batch.job(grant.customer, jobId).getOrElse { return Err(it) }
    return respondJson(job.toJson())
}

internal suspend fun ServedCall.cancelBatch(jobId: String): Result<Unit, ServingError> {
    val grant = authenticate().getOrElse { return Err(it) }
    val job = deps.batch.cancelJob(grant.customer, jobId).getOrElse { return Err(it) }
    return respondJson(job.toJson())
}

internal suspend fun ServedCall.listBatches(): Result<Unit, ServingError> {
    val grant = authenticate().getOrElse { return Err(it) }
    val query = call.request.queryParameters
    val limit = query["limit"]?.let { text ->
        text.toIntOrNull()?.takeIf { it in 1..MAX_PAGE_SIZE }
            ?: return invalid("limit", "must be from 1 to $MAX_PAGE_SIZE")
    } ?: DEFAULT_PAGE_SIZE
    // Requests one extra job to determine whether there are more.
    val found = deps.batch.jobs(grant.customer, limit + 1, query["after"]).getOrElse { return Err(it) }
    val jobs = found.take(limit)
    return respondJson(
        buildJsonObject {
            put("object", "list")
            put("data", JsonArray(jobs.map { it.toJson() }))
            put("first_id", jobs.firstOrNull()?.id)
            put("last_id", jobs.lastOrNull()?.id)
            put("has_more", found.size > limit)
        },
    )
}

private fun JsonObject.toJobRequest(idempotencyKey: String?): Result<JobRequest, ServingError> {
    val inputFileId = text("input_file_id") ?: return invalid("input_file_id", "must be a text")
    val endpoint = text("endpoint") ?: return invalid("endpoint", "must be a text")
    val window = text("completion_window") ?: "24h"
    val windowSeconds = parseWindowSeconds(window)
        ?: return invalid("completion_window", "must be a number with s, m, h or d, such as 24h")
    val metadata = when (val field = get("metadata")) {
        null, JsonNull -> emptyMap()

        is JsonObject -> field.mapValues { (_, value) ->
            (value as? JsonPrimitive)?.takeIf { it.isString }?.content
                ?: return invalid("metadata", "must have texts as values")
        }

        else -> return invalid("metadata", "must be an object")
    }
    return Ok(JobRequest(inputFileId, endpoint, windowSeconds, idempotencyKey, metadata))
}

private fun parseWindowSeconds(window: String): Long? {
    val unitSeconds = UNIT_SECONDS[window.lastOrNull()] ?: return null
    return window.dropLast(1).toLongOrNull()?.takeIf { it in 1..MAX_WINDOW_UNITS }?.let { it * unitSeconds }
}

private val UNIT_SECONDS = mapOf('s' to 1L, 'm' to 60L, 'h' to 3_600L, 'd' to 86_400L)
private const val MAX_WINDOW_UNITS = 1_000_000L
private const val DEFAULT_PAGE_SIZE = 20
private const val MAX_PAGE_SIZE = 100

internal fun BatchJob.toJson(): JsonObject = buildJsonObject {
    put("id", id)
    put("object", "batch")
    put("endpoint", request.endpoint)
    put("errors", JsonNull)
    put("input_file_id", request.inputFileId)
    put("completion_window", "${request.completionWindowSeconds}s")
    put("status", state.name.lowercase())
    put("output_file_id", outputFileId)
    put("error_file_id", JsonNull)
    put("created_at", createdAtMillis / 1_000)
    put("expires_at", deadlineMillis / 1_000)
    putJsonObject("request_counts") {
        put("total", itemCount)
        put("completed", completedItems)
        put("failed", failedItems)
    }
    putJsonObject("metadata") { request.metadata.forEach { (key, value) -> put(key, value) } }
}
