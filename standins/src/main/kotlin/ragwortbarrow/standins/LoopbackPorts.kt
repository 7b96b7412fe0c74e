package ragwortbarrow.standins

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Chooses loopback ports for processes that tests start. */
object LoopbackPorts {
    /** Below the ephemeral port range that the operating system uses for outgoing connections. */
    private val RANGE = 12_000..32_000
    private const val ATTEMPTS = 200
    private val chosen = ConcurrentHashMap.newKeySet<Int>()

    /**
     * A port that is currently free and that this process has not been given before, since ports are often chosen
     * some time before they are bound. A port from the ephemeral range could be taken by an outgoing connection of any
     * process before the process under test binds it.
     */
    fun free(): Int = generateSequence {
        RANGE.random(Random.Default)
    }.take(ATTEMPTS).filter(::isFree).first(chosen::add)

    /** Whether [port] can be bound now. */
    fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        true
    } catch (taken: IOException) {
        false
    }
}
