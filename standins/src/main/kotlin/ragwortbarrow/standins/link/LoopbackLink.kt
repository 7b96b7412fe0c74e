package ragwortbarrow.standins.link

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** A TCP proxy on loopback that models one network link to [targetPort]; its fault can be changed at any time. */
class LoopbackLink(private val targetPort: Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val open = ConcurrentHashMap.newKeySet<Socket>()

    @Volatile
    private var fault: LinkFault = LinkFault.None

    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true, name = "link-$port") { acceptLoop() }
    }

    fun setFault(newFault: LinkFault) {
        fault = newFault
        if (newFault == LinkFault.Reset) reset()
    }

    fun cut() = setFault(LinkFault.Reset)

    fun heal() = setFault(LinkFault.None)

    /** Resets both ends of all open connections; new connections are not affected. */
    fun reset() = open.forEach { close(it, isReset = true) }

    override fun close() {
        try {
            server.close()
        } finally {
            cut()
        }
    }

    private fun acceptLoop() {
        while (!server.isClosed) {
            val inbound = try {
                server.accept()
            } catch (closed: IOException) {
                if (server.isClosed) return else continue
            }
            val outbound = if (fault == LinkFault.Reset) null else connect()
            if (outbound == null) {
                close(inbound, isReset = true)
                continue
            }
            open += listOf(inbound, outbound)
            pump(inbound, outbound) { fault == LinkFault.StallBoth || fault == LinkFault.StallToTarget }
            pump(outbound, inbound) { fault == LinkFault.StallBoth || fault == LinkFault.StallFromTarget }
        }
    }

    private fun connect(): Socket? = try {
        Socket(InetAddress.getLoopbackAddress(), targetPort).apply { tcpNoDelay = true }
    } catch (refused: IOException) {
        null
    }

    private fun pump(from: Socket, to: Socket, isStalled: () -> Boolean) {
        thread(isDaemon = true, name = "link-$port-pump") {
            var isReset = true
            try {
                val buffer = ByteArray(BUFFER_BYTES)
                while (true) {
                    val count = from.getInputStream().read(buffer)
                    while (isStalled()) TimeUnit.MILLISECONDS.sleep(STALL_CHECK_MILLIS)
                    if (count < 0) break
                    (fault as? LinkFault.Delay)?.let { TimeUnit.MILLISECONDS.sleep(it.millis) }
                    to.getOutputStream().write(buffer, 0, count)
                }
                isReset = false
            } catch (broken: IOException) {
                // The connection to the other end is reset below.
            } finally {
                listOf(from, to).forEach { close(it, isReset) }
            }
        }
    }

    private fun close(socket: Socket, isReset: Boolean) {
        open -= socket
        try {
            if (isReset) socket.setSoLinger(true, 0)
            socket.close()
        } catch (closed: IOException) {
            // The pump of the other direction has already closed it.
        }
    }

    private companion object {
        const val BACKLOG = 256
        const val BUFFER_BYTES = 16_384
        const val STALL_CHECK_MILLIS = 20L
    }
}
