package ragwortbarrow.cli.dev

import com.github.ajalt.clikt.parameters.options.NullableOption
import com.github.ajalt.clikt.parameters.options.RawOption
import com.github.ajalt.clikt.parameters.options.convert
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import ragwortbarrow.standins.faults.ServerFaults

/** The address that a stand-in listens on; port 0 takes any free port. */
data class ListenAddress(val host: String, val port: Int)

internal fun RawOption.listenAddress(): NullableOption<ListenAddress, ListenAddress> = convert("HOST:PORT") { text ->
    val port = text.substringAfterLast(':', "").toIntOrNull() ?: fail("expected HOST:PORT, got $text")
    ListenAddress(text.substringBeforeLast(':'), port)
}

internal fun RawOption.serverFaults(): NullableOption<ServerFaults, ServerFaults> = convert("JSON") { text ->
    try {
        Json.decodeFromString<ServerFaults>(text)
    } catch (e: SerializationException) {
        fail("not a set of fault switches: ${e.message}")
    }
}
