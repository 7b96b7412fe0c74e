package ragwortbarrow.core.batch

import com.github.michaelbull.result.getError
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Test
import ragwortbarrow.core.error.Execution
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoreFault
import ragwortbarrow.core.store.StoreFaultInjector
import ragwortbarrow.core.store.StoreOperation
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** Tests that files and jobs are not lost, duplicated or accessible to other customers. */
class StoredBatchServiceTest {
    private val fleet = SimulatedFleet(nodeCount = 1)
    private val service = fleet.node(1).runtime.service
    private val content = SimulatedFleet.input(listOf("a", "b"))

    @Test
    fun `a job resent after its acknowledgement was lost is the same job`() {
        val file = fleet.ok { service.createFile(PRINTER, "in", content) }
        val request = JobRequest(file.id, CHAT_ENDPOINT, idempotencyKey = "k")
        val first = fleet.ok { service.createJob(PRINTER, request) }
        fleet.awaitState(first.id, JobState.COMPLETED)
        val resentFile = fleet.ok { service.createFile(PRINTER, "in", content) }
        val resent = fleet.ok { service.createJob(PRINTER, request) }
        expectThat(resentFile).isEqualTo(file)
        expectThat(resent.id).isEqualTo(first.id)
        expectThat(fleet.ok { service.jobs(PRINTER) }).hasSize(1)
        expectThat(fleet.engines.starts.values.sum()).isEqualTo(2)
    }

    @Test
    fun `an idempotency key with a different request is rejected`() {
        val file = fleet.ok { service.createFile(PRINTER, "in", content) }
        fleet.ok { service.createJob(PRINTER, JobRequest(file.id, CHAT_ENDPOINT, idempotencyKey = "k")) }
        val other = JobRequest(file.id, CHAT_ENDPOINT, completionWindowSeconds = 60, idempotencyKey = "k")
        val refused = fleet.await { service.createJob(PRINTER, other) }
        expectThat(refused.getError()?.code).isEqualTo(ResultCode.CONFLICT)
    }

    @Test
    fun `a job is acknowledged after a lost reply once it has been read back`() {
        val file = fleet.ok { service.createFile(PRINTER, "in", content) }
        var lost = 0
        fleet.faults = StoreFaultInjector { operation, kind, _ ->
            val lose = operation == StoreOperation.WRITE && kind == ObjectKind.BATCH_JOBS && lost++ == 0
            if (lose) StoreFault.ReplyLost else StoreFault.None
        }
        val job = fleet.ok { service.createJob(PRINTER, JobRequest(file.id, CHAT_ENDPOINT)) }
        expectThat(lost).isEqualTo(1)
        expectThat(fleet.job(job.id).itemCount).isEqualTo(2)
    }

    @Test
    fun `a job is not acknowledged during an outage, and the error says whether it may exist`() {
        val file = fleet.ok { service.createFile(PRINTER, "in", content) }
        fleet.faults = SimulatedFleet.OUTAGE
        val outageError = fleet.await { service.createJob(PRINTER, JobRequest(file.id, CHAT_ENDPOINT)) }.getError()
        expectThat(outageError?.execution).isEqualTo(Execution.NOT_RUN)
        fleet.faults = StoreFaultInjector { operation, kind, _ ->
            when {
                kind != ObjectKind.BATCH_JOBS -> StoreFault.None
                operation == StoreOperation.WRITE -> StoreFault.ReplyLost
                else -> StoreFault.Unavailable
            }
        }
        val lost = fleet.await { service.createJob(PRINTER, JobRequest(file.id, CHAT_ENDPOINT)) }.getError()
        expectThat(lost?.execution).isEqualTo(Execution.UNKNOWN)
    }

    @Test
    fun `access to files and jobs of another customer is rejected`() {
        val other = CustomerId("other")
        val job = fleet.submit(listOf("a"))
        val refusals = listOf(
            fleet.await { service.file(other, job.request.inputFileId) }.getError(),
            fleet.await { service.fileContent(other, job.request.inputFileId) }.getError(),
            fleet.await { service.job(other, job.id) }.getError(),
            fleet.await { service.cancelJob(other, job.id) }.getError(),
            fleet.await { service.fileContent(other, BatchNames.outputFileId(job.id)) }.getError(),
        )
        expectThat(refusals.map { it?.code }).isEqualTo(List(5) { ResultCode.KEY_OF_OTHER_CUSTOMER })
    }

    @Test
    fun `the error for an invalid line contains its number`() {
        val valid = SimulatedFleet.input(listOf("a")).decodeToString()
        val faults = mapOf(
            "$valid\n{" to "line 2: not valid JSON",
            "$valid\n$valid" to "line 2: custom_id \"a\" is already on line 1",
            valid.replace("\"custom_id\":\"a\",", "") to "line 1: custom_id is missing",
        )
        faults.forEach { (input, message) ->
            val refused = fleet.await { service.createFile(PRINTER, "in", input.encodeToByteArray()) }.getError()
            expectThat(refused?.message).isNotNull().contains(message)
        }
    }

    @Test
    fun `parts stay below the platform's limit of one megabyte`() {
        val long = "\"".repeat(20_000)
        val lines = (1..250).map { id ->
            val body = JsonPrimitive(long)
            """{"custom_id":"$id","url":"$CHAT_ENDPOINT","body":{"model":"wording","prompt":$body}}"""
        }
        val file = fleet.ok { service.createFile(PRINTER, "in", lines.joinToString("\n").encodeToByteArray()) }
        val read = fleet.ok { service.fileContent(PRINTER, file.id) }.decodeToString()
        expectThat(read.trimEnd().lines()).isEqualTo(lines)
    }
}
