package ragwortbarrow.node

import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager
import ragwortbarrow.node.settings.NodeCommand
import ragwortbarrow.node.settings.Settings
import ragwortbarrow.node.settings.outcome
import ragwortbarrow.telemetry.KeyValueLog
import ragwortbarrow.telemetry.setLogLevel
import kotlin.system.exitProcess

/** Starts a node; faults in the settings end the process with exit code 2, a taken address with 1. */
fun main(arguments: Array<String>) {
    // Netty is to use the JDK's NIO only; the property has to be set before its first class is loaded.
    System.setProperty("io.netty.transport.noNative", "true")
    val outcome = NodeCommand(::run).outcome(arguments.asList())
    if (outcome.text.isNotEmpty()) (if (outcome.exitCode == 0) System.out else System.err).println(outcome.text)
    if (outcome.exitCode != 0) exitProcess(outcome.exitCode)
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
