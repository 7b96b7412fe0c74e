package ragwortbarrow.node.settings

import io.netty.util.NetUtil

/** An IP address and a port, written `10.0.0.1:8080` or `[fd00::1]:8080`. */
data class HostAndPort(val host: String, val port: Int) {
    val isWildcard: Boolean get() = host == "0.0.0.0" || host == "::"

    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"

    companion object {
        /** Parses [text]; returns null if it is not an IP address with a port. */
        fun parse(text: String): HostAndPort? {
            val host = text.substringBeforeLast(':').removeSurrounding("[", "]")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            if (!NetUtil.isValidIpV4Address(host) && !NetUtil.isValidIpV6Address(host)) return null
            return HostAndPort(host, port).takeIf { port in 1..65_535 }
        }
    }
}
