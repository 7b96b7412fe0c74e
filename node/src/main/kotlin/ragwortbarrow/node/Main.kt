package ragwortbarrow.node

import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager
import ragwortbarrow.node.settings.NodeCommand
import ragwortbarrow.node.settings.Settings
import ragwortbarrow.node.settings.runCommand
import ragwortbarrow.telemetry.KeyValueLog
import ragwortbarrow.telemetry.setLogLevel
import kotlin.system.exitProcess

/** Starts a node; exits with code 2 if the settings are invalid and with 1 if an address is already in use. */
fun main(arguments: Array<String>) {
    // Restricts Netty to the JDK's NIO; must be set before the first Netty class is loaded.
    System.setProperty("io.netty.transport.noNative", "true")
    val result = NodeCommand(::run).runCommand(arguments.asList())
    if (result.text.isNotEmpty()) (if (result.exitCode == 0) System.out else System.err).println(result.text)
    if (result.exitCode != 0) exitProcess(result.exitCode)
}

private fun run(settings: Settings) {
    setLogLevel(settings.logLevel)
    val node = Node(settings)
    try {
        node.start()
    } catch (failure: Exception) {
        KeyValueLog().error("start_failed", failure, "listen" to settings.listen, "peer_listen" to settings.peerListen)
        LogManager.shutdown()
        exitProcess(1)
    }
    Runtime.getRuntime().addShutdownHook(
        Thread {
            runBlocking { node.stop() }
            LogManager.shutdown()
        },
    )
    Thread.currentThread().join()
}
