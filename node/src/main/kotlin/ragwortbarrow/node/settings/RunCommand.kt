package ragwortbarrow.node.settings

import com.github.ajalt.clikt.core.BaseCliktCommand
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse

/** Result of running a command: the exit code and the text to print, if any. */
data class CommandResult(val exitCode: Int, val text: String = "")

/** Exit code for invalid settings. */
const val EXIT_USAGE = 2

/** Runs the command; invalid [arguments] result in [EXIT_USAGE] and a text that names each flag concerned. */
fun CliktCommand.runCommand(arguments: List<String>): CommandResult = try {
    parse(arguments)
    CommandResult(exitCode = 0)
} catch (error: UsageError) {
    CommandResult(EXIT_USAGE, helpText(error))
} catch (error: CliktError) {
    CommandResult(error.statusCode, helpText(error))
}

private fun CliktCommand.helpText(error: CliktError): String =
    (this as BaseCliktCommand<*>).getFormattedHelp(error).orEmpty()
