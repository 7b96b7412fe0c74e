package ragwortbarrow.standins.faults

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.routing.RoutingCall
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import java.io.IOException

/** Thrown while an answer is written, so that the server cuts the connection. */
internal class ConnectionCut : IOException("connection cut by a fault switch")

/** Closes the connection without a byte of an answer. */
internal fun ApplicationCall.cutConnection(): Nothing {
    // Ktor answers 500 to an exception, so the channel is closed before.
    val engineCall = (this as RoutingCall).pipelineCall.engineCall as NettyApplicationCall
    engineCall.context.close()
    throw ConnectionCut()
}

/** Announces the whole [body], sends half of it and cuts the connection. */
internal suspend fun ApplicationCall.respondTruncated(body: ByteArray): Unit = respond(
    object : OutgoingContent.WriteChannelContent() {
        override val contentType = ContentType.Application.Json
        override val contentLength = body.size.toLong()
        override val status = HttpStatusCode.OK

        override suspend fun writeTo(channel: ByteWriteChannel) {
            channel.writeFully(body, 0, body.size / 2)
            channel.flush()
            throw ConnectionCut()
        }
    },
)

/** Refuses a request in the form that says it was not run. */
internal suspend fun ApplicationCall.refuseNotRun() {
    response.header("X-Execution", "not-run")
    respondJson("""{"error":{"message":"refused by a fault switch"}}""", HttpStatusCode.ServiceUnavailable)
}
