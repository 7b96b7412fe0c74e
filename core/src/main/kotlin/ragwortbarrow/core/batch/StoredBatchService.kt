package ragwortbarrow.core.batch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.onSuccess
import kotlinx.serialization.json.JsonObject
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.TimerService

/**
 * Stores files and jobs in the platform's object API. It keeps no state in memory, so every node can serve every file
 * and job.
 */
internal class StoredBatchService(
    private val store: ObjectStore,
    private val timer: TimerService,
    private val configuration: ConfigurationView,
    private val writerTokens: WriterTokens,
    /** Called with the id of a job after its cancellation is durable. */
    private val onCancelling: (String) -> Unit = {},
) : BatchService {
    private val reader = BatchReader(store)
    private val objectWriter = BatchObjectWriter(store, timer)

    override suspend fun createFile(
        customer: CustomerId,
        fileName: String,
        content: ByteArray,
    ): Result<BatchFile, ServingError> {
        val input = BatchInput.parse(content).getOrElse { return Err(it) }
        val fileId = BatchNames.fileId(customer, content)
        input.parts.forEachIndexed { index, lines ->
            val name = BatchNames.partName(fileId, index)
            createIfMissing(ObjectKind.FILE_PARTS, name, FilePartRecord(lines).toSpec())
                .getOrElse { return Err(it.toServingError("file $fileId")) }
        }
        val record = FileRecord(
            customer = customer,
            fileName = fileName,
            sizeBytes = content.size.toLong(),
            itemCount = input.itemCount,
            createdAtMillis = timer.wallMillis(),
            partItemCounts = input.parts.map { it.size },
            urls = input.urls,
            models = input.models,
        )
        val stored = createIfMissing(ObjectKind.FILES, fileId, record.toSpec())
            .getOrElse { return Err(it.toServingError("file $fileId")) }
        return if (stored != null) Ok(record.toFile(fileId)) else file(customer, fileId)
    }

    override suspend fun file(customer: CustomerId, fileId: String): Result<BatchFile, ServingError> {
        val jobId = BatchNames.jobOfOutput(fileId)
        if (jobId == null) return ownedFile(customer, fileId).map { it.toFile(fileId) }
        val job = finishedJob(customer, jobId).getOrElse { return Err(it) }
        val content = fileContent(customer, fileId).getOrElse { return Err(it) }
        return Ok(
            BatchFile(
                id = fileId,
                customer = customer,
                fileName = "$fileId.jsonl",
                sizeBytes = content.size.toLong(),
                itemCount = job.completedItems + job.failedItems,
                createdAtMillis = job.createdAtMillis,
            ),
        )
    }

    override suspend fun fileContent(customer: CustomerId, fileId: String): Result<ByteArray, ServingError> {
        val jobId = BatchNames.jobOfOutput(fileId)
        if (jobId == null) {
            val record = ownedFile(customer, fileId).getOrElse { return Err(it) }
            return reader.inputContent(fileId, record).mapError { it.toServingError("file $fileId") }
        }
        finishedJob(customer, jobId).getOrElse { return Err(it) }
        return reader.outputContent(jobId).mapError { it.toServingError("file $fileId") }
    }

    override suspend fun createJob(customer: CustomerId, request: JobRequest): Result<BatchJob, ServingError> {
        if (request.completionWindowSeconds <= 0) {
            return Err(invalidField("the completion window must be positive"))
        }
        val file = ownedFile(customer, request.inputFileId).getOrElse { return Err(it) }
        val snapshot = configuration.current
            ?: return Err(ServingError.Unavailable(ResultCode.NO_CONFIGURATION, "no configuration is in force yet"))
        val model = BatchTarget.validate(customer, request.endpoint, file, snapshot).getOrElse { return Err(it) }
        val jobId = BatchNames.jobId(customer, request)
        val nowMillis = timer.wallMillis()
        val record = JobRecord(
            customer = customer,
            inputFileId = request.inputFileId,
            endpoint = request.endpoint,
            completionWindowSeconds = request.completionWindowSeconds,
            idempotencyKey = request.idempotencyKey,
            metadata = request.metadata,
            model = model,
            chunkItemCounts = file.partItemCounts,
            createdAtMillis = nowMillis,
            deadlineMillis = nowMillis + request.completionWindowSeconds * 1_000,
            writer = writerTokens.next(),
        )
        val labels = BatchNames.jobLabels(record)
        val created =
            objectWriter.create(ObjectKind.BATCH_JOBS, jobId, record.toSpec(), labels, WriteRetryPolicy.BOUNDED)
        val error = created.getError() ?: return Ok(record.toJob(jobId))
        return if (error.isConflict()) storedJob(customer, jobId, request) else Err(error.toServingError("job $jobId"))
    }

    override suspend fun job(customer: CustomerId, jobId: String): Result<BatchJob, ServingError> {
        val record = ownedJob(customer, jobId).getOrElse { return Err(it) }.second
        return withCounts(jobId, record)
    }

    override suspend fun jobs(customer: CustomerId, limit: Int, after: String?): Result<List<BatchJob>, ServingError> {
        val labels = mapOf(BatchNames.LABEL_CUSTOMER to customer.value)
        val all = reader.listAll(ObjectKind.BATCH_JOBS, labels, metadataOnly = false)
            .getOrElse { return Err(it.toServingError("the job list")) }
            .map { it.name to it.record<JobRecord>() }
            .sortedWith(compareByDescending<Pair<String, JobRecord>> { it.second.createdAtMillis }.thenBy { it.first })
        val start = if (after == null) 0 else all.indexOfFirst { it.first == after } + 1
        if (after != null && start == 0) return Err(invalidField("job $after does not exist"))
        return Ok(
            all.drop(start).take(limit).map { (jobId, record) ->
                withCounts(jobId, record).getOrElse { return Err(it) }
            },
        )
    }

    override suspend fun cancelJob(customer: CustomerId, jobId: String): Result<BatchJob, ServingError> {
        repeat(MAX_CANCEL_ATTEMPTS) {
            val (stored, record) = ownedJob(customer, jobId).getOrElse { return Err(it) }
            when (record.state) {
                JobState.COMPLETED ->
                    return Err(ServingError.InvalidRequest(ResultCode.JOB_FINISHED, "job $jobId is completed"))
                JobState.CANCELLING, JobState.CANCELLED -> return withCounts(jobId, record)
                JobState.IN_PROGRESS -> Unit
            }
            val next = record.copy(state = JobState.CANCELLING, writer = writerTokens.next())
            val updated =
                objectWriter.update(stored, next.toSpec(), BatchNames.jobLabels(next), WriteRetryPolicy.BOUNDED)
            updated.onSuccess {
                onCancelling(jobId)
                return withCounts(jobId, next)
            }
            val error = updated.getError()
            if (error != null && !error.isConflict()) return Err(error.toServingError("job $jobId"))
        }
        return Err(ServingError.InvalidRequest(ResultCode.CONFLICT, "job $jobId changes too often; try again"))
    }

    /** Returns the object if this call created it, or null if it existed. Its name is a digest of its content. */
    private suspend fun createIfMissing(
        kind: ObjectKind,
        name: String,
        spec: JsonObject,
    ): Result<StoredObject?, StoreError> {
        val created = objectWriter.create(kind, name, spec, emptyMap(), WriteRetryPolicy.BOUNDED)
        return if (created.getError()?.isConflict() == true) Ok(null) else created
    }

    private suspend fun storedJob(
        customer: CustomerId,
        jobId: String,
        request: JobRequest,
    ): Result<BatchJob, ServingError> {
        val record = ownedJob(customer, jobId).getOrElse { return Err(it) }.second
        if (record.toRequest() != request) {
            val message = "the idempotency key was already used with a different request"
            return Err(ServingError.InvalidRequest(ResultCode.CONFLICT, message))
        }
        return withCounts(jobId, record)
    }

    private suspend fun ownedFile(customer: CustomerId, fileId: String): Result<FileRecord, ServingError> {
        val record = reader.file(fileId).getOrElse { return Err(it.toServingError("file $fileId")) }
        return if (record.customer == customer) Ok(record) else Err(ownedByOtherCustomer("file $fileId"))
    }

    private suspend fun ownedJob(
        customer: CustomerId,
        jobId: String,
    ): Result<Pair<StoredObject, JobRecord>, ServingError> {
        val found = reader.job(jobId).getOrElse { return Err(it.toServingError("job $jobId")) }
        return if (found.second.customer == customer) Ok(found) else Err(ownedByOtherCustomer("job $jobId"))
    }

    private suspend fun finishedJob(customer: CustomerId, jobId: String): Result<JobRecord, ServingError> {
        val record = ownedJob(customer, jobId).getOrElse { return Err(it) }.second
        return when (record.state) {
            JobState.COMPLETED, JobState.CANCELLED -> Ok(record)
            JobState.IN_PROGRESS, JobState.CANCELLING ->
                Err(ServingError.InvalidRequest(ResultCode.NOT_FOUND, "job $jobId has no output file yet"))
        }
    }

    private suspend fun withCounts(jobId: String, record: JobRecord): Result<BatchJob, ServingError> {
        if (record.state == JobState.COMPLETED || record.state == JobState.CANCELLED) return Ok(record.toJob(jobId))
        val chunks = reader.chunkSummaries(jobId).getOrElse { return Err(it.toServingError("job $jobId")) }
        val counted = record.copy(
            completedItems = chunks.sumOf { it.completedItems },
            failedItems = chunks.sumOf { it.failedItems },
        )
        return Ok(counted.toJob(jobId))
    }

    private fun ownedByOtherCustomer(resource: String) =
        ServingError.NotAuthorized(ResultCode.KEY_OF_OTHER_CUSTOMER, "$resource belongs to another customer")

    private fun invalidField(message: String) = ServingError.InvalidRequest(ResultCode.INVALID_FIELD, message)

    private companion object {
        const val MAX_CANCEL_ATTEMPTS = 5
    }
}

private fun FileRecord.toFile(id: String) = BatchFile(id, customer, fileName, sizeBytes, itemCount, createdAtMillis)

private fun JobRecord.toRequest() = JobRequest(inputFileId, endpoint, completionWindowSeconds, idempotencyKey, metadata)

private fun JobRecord.toJob(id: String) = BatchJob(
    id = id,
    customer = customer,
    request = toRequest(),
    state = state,
    itemCount = itemCount,
    completedItems = completedItems,
    failedItems = failedItems,
    createdAtMillis = createdAtMillis,
    deadlineMillis = deadlineMillis,
    outputFileId = BatchNames.outputFileId(id).takeIf { state == JobState.COMPLETED || state == JobState.CANCELLED },
)
