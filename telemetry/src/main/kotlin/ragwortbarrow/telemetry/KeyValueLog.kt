package ragwortbarrow.telemetry

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.Logger
import org.apache.logging.log4j.core.config.Configurator
import ragwortbarrow.core.log.DecisionLog

/** Logs each event as one line of `key=value` pairs. */
class KeyValueLog(private val logger: Logger = LogManager.getLogger("ragwortbarrow")) : DecisionLog {
    override fun record(event: String, fields: List<Pair<String, Any?>>) {
        if (logger.isInfoEnabled) logger.info(keyValueLine(event, fields))
    }

    fun warn(event: String, vararg fields: Pair<String, Any?>) {
        logger.warn(keyValueLine(event, fields.asList()))
    }

    fun error(event: String, failure: Throwable, vararg fields: Pair<String, Any?>) {
        logger.error(keyValueLine(event, fields.asList()), failure)
    }
}

/**
 * Formats an event as `event=… key=value …`. Omits null fields and quotes empty values and values with whitespace,
 * quotes or equals signs.
 */
fun keyValueLine(event: String, fields: List<Pair<String, Any?>>): String = buildString {
    append("event=").append(event)
    for ((key, value) in fields) {
        if (value != null) {
            append(' ').append(key).append('=').append(quoteIfNeeded(value.toString()))
        }
    }
}

private fun quoteIfNeeded(value: String): String = if (value.isNotEmpty() &&
    value.none { it.isWhitespace() || it in "\"=" }
) {
    value
} else {
    '"' + value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n").replace("\r", "\\r") + '"'
}

/** Sets the minimum level that is logged. */
fun setLogLevel(name: String) = Configurator.setRootLevel(Level.valueOf(name.uppercase()))

/** Flushes queued lines and shuts down logging. Call it when the process exits. */
fun closeLog() = LogManager.shutdown()
