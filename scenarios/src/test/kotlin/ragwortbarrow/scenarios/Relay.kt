package ragwortbarrow.scenarios

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/**
 * A TCP relay on loopback that stands for one link. A cut link accepts nothing and resets what is open, as seen by both
 * ends.
 */
internal class Relay(private val targetPort: Int) : AutoCloseable {
    private val server = ServerSocket(0, 64, InetAddress.getLoopbackAddress())
    private val open = ConcurrentHashMap.newKeySet<Socket>()
    private val isCut = AtomicBoolean(false)

    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true, name = "relay-$port") { acceptLoop() }
    }

    fun cut() {
        isCut.set(true)
        open.forEach { runCatching { it.close() } }
    }

    fun heal() = isCut.set(false)

    override fun close() {
        runCatching { server.close() }
        cut()
    }

    private fun acceptLoop() {
        while (!server.isClosed) {
            val inbound = runCatching { server.accept() }.getOrNull() ?: break
            val outbound = if (isCut.get()) null else connect()
            if (outbound == null) {
                runCatching { inbound.close() }
                continue
            }
            open += listOf(inbound, outbound)
            pump(inbound, outbound)
            pump(outbound, inbound)
        }
    }

    private fun connect() = runCatching { Socket(InetAddress.getLoopbackAddress(), targetPort) }.getOrNull()

    private fun pump(from: Socket, to: Socket) {
        thread(isDaemon = true, name = "relay-$port-pump") {
            runCatching {
                val buffer = ByteArray(16_384)
                while (true) {
                    val count = from.getInputStream().read(buffer)
                    if (count < 0 || isCut.get()) break
                    to.getOutputStream().write(buffer, 0, count)
                }
            }
            listOf(from, to).forEach { socket ->
                runCatching { socket.close() }
                open -= socket
            }
        }
    }
}
