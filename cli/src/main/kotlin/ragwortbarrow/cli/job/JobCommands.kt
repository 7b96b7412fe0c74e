package ragwortbarrow.cli.job

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import ragwortbarrow.cli.NodeApi
import ragwortbarrow.cli.NodeOptions
import ragwortbarrow.cli.failWith
import java.nio.file.Files

/** `ragwortbarrow job …`: batch jobs of a customer, through a node's HTTP API. */
class JobCommand : CliktCommand(name = "job") {
    init {
        subcommands(JobSubmitCommand(), JobStatusCommand(), JobCancelCommand(), JobResultsCommand())
    }

    override fun help(context: Context): String = "Submits and follows batch jobs."

    override fun run() = Unit
}

internal class JobSubmitCommand : CliktCommand(name = "submit") {
    private val node by NodeOptions()
    private val file by argument("FILE", help = "Batch items, one JSON request a line")
        .path(mustExist = true, canBeDir = false)
    private val endpoint by option("--endpoint", help = "Path that the items are for").default("/v1/chat/completions")
    private val window by option("--window", help = "Time until the job is due, such as 90m or 24h").default("24h")
    private val id by option("--id", help = "Name of the submission; sending it again returns the same job")

    override fun help(context: Context): String = "Uploads a file of batch items and creates a job for it."

    override fun run() {
        val job = node.use { submit() }
        echo(jobLine(job))
    }

    private suspend fun NodeApi.submit(): JsonObject {
        val uploaded = upload(file.fileName.toString(), Files.readAllBytes(file)).getOrElse { failWith(it) }
        val request = buildJsonObject {
            put("input_file_id", uploaded.text("id"))
            put("endpoint", endpoint)
            put("completion_window", window)
        }
        return postJson("/v1/batches", request, idempotencyKey = id).getOrElse { failWith(it) }
    }
}

internal class JobStatusCommand : CliktCommand(name = "status") {
    private val node by NodeOptions()
    private val id by argument("ID", help = "Id of the job")

    override fun help(context: Context): String = "Shows the state of a job."

    override fun run() = echo(jobLine(node.use { getJson("/v1/batches/$id").getOrElse { failWith(it) } }))
}

internal class JobCancelCommand : CliktCommand(name = "cancel") {
    private val node by NodeOptions()
    private val id by argument("ID", help = "Id of the job")

    override fun help(context: Context): String = "Stops a job; items that are done keep their results."

    override fun run() = echo(jobLine(node.use { postJson("/v1/batches/$id/cancel").getOrElse { failWith(it) } }))
}

internal class JobResultsCommand : CliktCommand(name = "results") {
    private val node by NodeOptions()
    private val id by argument("ID", help = "Id of the job")
    private val output by option(
        "--output",
        help = "File to write; standard output if not given",
    ).path(canBeDir = false)

    override fun help(context: Context): String = "Prints the results of a finished job, one JSON object a line."

    override fun run() {
        val content = node.use {
            val job = getJson("/v1/batches/$id").getOrElse { failWith(it) }
            val fileId = job.text("output_file_id") ?: failWith("job $id has no results yet: ${jobLine(job)}")
            get("/v1/files/$fileId/content").getOrElse { failWith(it) }
        }
        output?.let { Files.write(it, content) } ?: echo(content.decodeToString(), trailingNewline = false)
    }
}

private fun jobLine(job: JsonObject): String {
    val counts = job["request_counts"]?.jsonObject ?: JsonObject(emptyMap())
    return "id=${job.text("id")} status=${job.text("status")} total=${counts.text("total")} " +
        "completed=${counts.text("completed")} failed=${counts.text("failed")}"
}

private fun JsonObject.text(field: String): String? =
    get(field)?.takeIf { it !is JsonNull }?.let { (it as? JsonPrimitive)?.contentOrNull }
