package ragwortbarrow.standins

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/** Chooses loopback ports for processes that tests start. */
object LoopbackPorts {
    /** Below the ephemeral port range that the operating system uses for outgoing connections. */
    private val RANGE = 12_000..32_000
    private const val ATTEMPTS = 200

    /**
     * A port that is currently free. A port from the ephemeral range could be taken by an outgoing connection of any
     * process before the process under test binds it.
     */
    fun free(): Int = generateSequence { RANGE.random(Random.Default) }.take(ATTEMPTS).first(::isFree)

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        true
    } catch (taken: IOException) {
        false
    }
}
