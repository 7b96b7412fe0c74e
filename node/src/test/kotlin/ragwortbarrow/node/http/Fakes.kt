package ragwortbarrow.node.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.backend.HttpHeader
import ragwortbarrow.core.batch.BatchFile
import ragwortbarrow.core.batch.BatchJob
import ragwortbarrow.core.batch.BatchService
import ragwortbarrow.core.batch.JobRequest
import ragwortbarrow.core.batch.JobState
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.KeyId
import ragwortbarrow.core.keys.KeyGrant
import ragwortbarrow.core.keys.KeyView
import ragwortbarrow.core.manifest.Access
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.manifest.FailureDomain
import ragwortbarrow.core.manifest.Fleet
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.manifest.Model
import ragwortbarrow.core.manifest.Service
import ragwortbarrow.core.routing.CallerEvent
import ragwortbarrow.core.routing.OnlineCall
import ragwortbarrow.core.routing.OnlineService

internal val MILL = CustomerId("mill")

internal class FakeConfiguration : ConfigurationView {
    override var current: ConfigurationSnapshot? = ConfigurationSnapshot(
        version = 1,
        manifest = Manifest(
            name = "test",
            fleet = Fleet(listOf(FailureDomain(FailureDomainId("dalton"))), bodyLimitBytes = 1_000),
            models = listOf(Model("blurbs"), Model("quotes")),
            services = listOf(
                Service("catalogue", "/catalogue", customers = listOf(CustomerId("other"))),
                Service("proofs", "/proofs"),
                Service("public", "/public", access = Access.OPEN),
            ),
            customers = listOf(Customer(MILL, ratePerSecond = 10.0, burst = 10, models = listOf("blurbs"))),
        ),
    )

    override fun subscribe(listener: (ConfigurationSnapshot) -> Unit) = Unit
}

internal class FakeKeys : KeyView {
    @Volatile
    var withdrawn = false

    override fun authenticate(bearerKey: String?): Result<KeyGrant, ServingError> = when (bearerKey) {
        null -> Err(ServingError.NotAuthorized(ResultCode.KEY_MISSING, "a key is required"))
        "secret" -> Ok(KeyGrant(KeyId("k1"), MILL, "digest"))
        else -> Err(ServingError.NotAuthorized(ResultCode.KEY_UNKNOWN, "the key is unknown"))
    }

    override fun isWithdrawn(grant: KeyGrant): Boolean = withdrawn
}

internal class FakeOnline : OnlineService {
    val calls = mutableListOf<OnlineCall>()

    @Volatile
    var events: Flow<CallerEvent> = flowOf(CallerEvent.Chunk(0, """{"n":0}"""), CallerEvent.Completed)

    var answers: suspend (OnlineCall) -> Result<BackendResponse, ServingError> = {
        Ok(
            BackendResponse(
                201,
                listOf(HttpHeader("Content-Type", "text/plain"), HttpHeader("X-A", "b")),
                "ok".toByteArray(),
            ),
        )
    }

    override suspend fun execute(call: OnlineCall): Result<BackendResponse, ServingError> {
        calls += call
        return answers(call)
    }

    override fun stream(call: OnlineCall): Flow<CallerEvent> = events.also { calls += call }
}

internal class FakeBatch : BatchService {
    val requests = mutableListOf<JobRequest>()
    private val files = mutableMapOf<String, ByteArray>()

    override suspend fun createFile(
        customer: CustomerId,
        fileName: String,
        content: ByteArray,
    ): Result<BatchFile, ServingError> {
        files[fileName] = content
        return file(customer, fileName)
    }

    override suspend fun file(customer: CustomerId, fileId: String): Result<BatchFile, ServingError> = files[fileId]
        ?.let { Ok(BatchFile(fileId, customer, fileId, it.size.toLong(), 1, 5_000)) } ?: missing("file")

    override suspend fun fileContent(customer: CustomerId, fileId: String): Result<ByteArray, ServingError> =
        files[fileId]?.let { Ok(it) } ?: missing("file")

    override suspend fun createJob(customer: CustomerId, request: JobRequest): Result<BatchJob, ServingError> {
        requests += request
        return Ok(job(request, "job-${requests.size}"))
    }

    override suspend fun job(customer: CustomerId, jobId: String): Result<BatchJob, ServingError> = missing("job")

    override suspend fun jobs(customer: CustomerId, limit: Int, after: String?): Result<List<BatchJob>, ServingError> =
        Ok(requests.mapIndexed { index, request -> job(request, "job-${index + 1}") }.take(limit))

    override suspend fun cancelJob(customer: CustomerId, jobId: String): Result<BatchJob, ServingError> = missing("job")

    private fun job(request: JobRequest, id: String) =
        BatchJob(id, MILL, request, JobState.IN_PROGRESS, 3, 1, 0, 1_000, 91_000)

    private fun missing(what: String) = Err(ServingError.InvalidRequest(ResultCode.NOT_FOUND, "there is no such $what"))
}
