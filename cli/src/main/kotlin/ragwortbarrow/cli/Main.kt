package ragwortbarrow.cli

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import kotlin.system.exitProcess

/** The operator's command line; faults in the arguments end it with exit code 2. */
fun main(arguments: Array<String>) {
    // Netty is to use the JDK's NIO only; the property has to be set before its first class is loaded.
    System.setProperty("io.netty.transport.noNative", "true")
    val command = ragwortbarrowCommand()
    val exitCode = try {
        command.parse(arguments.asList())
        ExitCodes.DONE
    } catch (error: UsageError) {
        command.echoFormattedHelp(error)
        exitCodeOf(error)
    } catch (error: CliktError) {
        command.echoFormattedHelp(error)
        error.statusCode
    }
    // Clients leave threads behind that would keep the process alive.
    exitProcess(exitCode)
}
