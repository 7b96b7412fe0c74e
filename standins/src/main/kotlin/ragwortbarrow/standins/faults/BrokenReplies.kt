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

/** Thrown while a response is written, so that the server closes the connection. */
internal class ConnectionCut : IOException("connection closed by an injected fault")

/** Closes the connection without sending a response. */
internal fun ApplicationCall.cutConnection(): Nothing {
    // Ktor responds with 500 to an exception, so the channel is closed first.
    val engineCall = (this as RoutingCall).pipelineCall.engineCall as NettyApplicationCall
    engineCall.context.close()
    throw ConnectionCut()
}

/** Sends the `Content-Length` of the whole [body], then half of it, and closes the connection. */
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

/** Rejects a request with `X-Execution: not-run`, which tells the caller that it was not executed. */
internal suspend fun ApplicationCall.refuseNotRun() {
    response.header("X-Execution", "not-run")
    respondJson("""{"error":{"message":"refused by a fault switch"}}""", HttpStatusCode.ServiceUnavailable)
}
