package ragwortbarrow.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError

/** Exit codes of the operator's commands. */
object ExitCodes {
    const val DONE: Int = 0

    /** The system refused the command, or not every node has confirmed it. */
    const val REFUSED: Int = 1

    /** The command line or the manifest is at fault. */
    const val BAD_USAGE: Int = 2
}

/** Ends the command with [message] on standard error and [code]. */
internal fun CliktCommand.failWith(message: String, code: Int = ExitCodes.REFUSED): Nothing {
    echo(message, err = true)
    throw ProgramResult(code)
}

/** Clikt ends with 1 on bad usage; this project's exit code for it is 2. */
fun exitCodeOf(error: UsageError): Int = maxOf(error.statusCode, ExitCodes.BAD_USAGE)
