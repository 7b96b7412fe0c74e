package ragwortbarrow.cli.call

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import ragwortbarrow.cli.NodeApi
import ragwortbarrow.cli.NodeOptions
import ragwortbarrow.cli.failWith

/** `ragwortbarrow call MODEL PROMPT`: sends one online request, for trying a service out. */
class CallCommand : CliktCommand(name = "call") {
    private val node by NodeOptions()
    private val model by argument("MODEL", help = "Id of a model")
    private val prompt by argument("PROMPT", help = "Text of the user's message")
    private val stream by option("--stream", help = "Print the answer as it is generated").flag()
    private val maxTokens by option("--max-tokens", help = "Longest answer in tokens").int()

    override fun help(context: Context): String = "Sends one chat completion and prints the answer as JSON."

    override fun run() = node.use {
        if (stream) streamed() else echo(postJson(PATH, request()).getOrElse { failWith(it) })
    }

    private suspend fun NodeApi.streamed() {
        var lastData = ""
        stream(PATH, request()) { line ->
            if (line.startsWith("data:")) lastData = line
            if (line.isNotEmpty()) echo(line)
        }.getOrElse { failWith(it) }
        if (lastData != "data: [DONE]") failWith("the stream ended without its last event")
    }

    private fun request(): JsonObject = buildJsonObject {
        put("model", model)
        putJsonArray("messages") {
            addJsonObject {
                put("role", "user")
                put("content", prompt)
            }
        }
        maxTokens?.let { put("max_tokens", it) }
        if (stream) put("stream", true)
    }

    private companion object {
        const val PATH = "/v1/chat/completions"
    }
}
