package ragwortbarrow.cli

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.check
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import kotlinx.coroutines.runBlocking
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.objectapi.HttpObjectStore
import ragwortbarrow.objectapi.SystemTimerService
import java.util.UUID

/** The options of every command that talks to the platform. */
class PlatformOptions : OptionGroup("Platform") {
    private val platformUrl by option(
        "--platform-url",
        envvar = "RAGWORTBARROW_PLATFORM_URL",
        help = "Base URL of the platform's object API",
    ).required().check("must be an http or https URL") { it.startsWith("http://") || it.startsWith("https://") }

    /** Runs [body] with a connection to the platform. */
    fun <T> use(body: suspend PlatformSession.() -> T): T = SystemTimerService().use { timer ->
        HttpObjectStore(platformUrl).use { store -> runBlocking { PlatformSession(store, timer).body() } }
    }
}

/** One command's connection to the platform; [writer] signs its writes with the operator's name and a random part. */
class PlatformSession(val store: ObjectStore, val timer: TimerService, operator: String = operatorName()) {
    val writer: IdempotentWriter = IdempotentWriter(store, timer, operator)
}

/** The random part keeps two commands of the same operator apart. */
private fun operatorName() = "${System.getProperty("user.name") ?: "operator"}-${UUID.randomUUID().toString().take(8)}"
