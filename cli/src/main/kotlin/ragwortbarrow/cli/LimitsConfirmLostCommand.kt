package ragwortbarrow.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.convert
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import ragwortbarrow.core.config.ConfigurationObjects
import ragwortbarrow.core.config.ConfigurationPart
import ragwortbarrow.core.config.joinParts
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.lease.confirmLost
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.store.ObjectKind
import java.util.UUID

/**
 * `ragwortbarrow limits confirm-lost SHARD`: says that the owner and the standby of a limit shard have ended for good,
 * so that another node may claim it.
 */
class LimitsConfirmLostCommand : CliktCommand(name = "confirm-lost") {
    private val platform by PlatformOptions()
    private val shard by argument("SHARD", help = "Limit shard, as FAILURE_DOMAIN-INDEX").convert { text ->
        val index = text.substringAfterLast('-', "").toIntOrNull() ?: fail("'$text' is not FAILURE_DOMAIN-INDEX")
        LimitShardId(FailureDomainId(text.substringBeforeLast('-')), index)
    }

    override fun help(context: Context): String =
        "Confirms that the owner and the standby of a limit shard have ended for good. If one of them still runs, " +
            "customers may exceed their rates."

    override fun run() = platform.use {
        val (version, manifest) = configurationInForce().getOrElse { failWith(it) }
        confirmLost(store, shard, "operator-${UUID.randomUUID()}", version, manifest).fold(
            { echo("limit shard $shard can be claimed after its term") },
            { failWith("limit shard $shard was not changed: ${it.message}") },
        )
    }

    private suspend fun PlatformSession.configurationInForce(): Result<Pair<Long, Manifest>, String> {
        val stored = store.get(ObjectKind.CONFIGURATIONS, ConfigurationObjects.HEAD).mapError { it.message }
            .getOrElse { return Err(it) }
        val head = ConfigurationObjects.headOf(stored)
        val parts = HashMap<String, ConfigurationPart>()
        for (ref in head.parts) {
            val part = store.get(ObjectKind.CONFIGURATION_PARTS, ref.sha256).getOrElse { return Err(it.message) }
            parts[ref.sha256] = ConfigurationObjects.partOf(part)
        }
        val manifest = joinParts(head) { parts[it] }.getOrElse { return Err(it) }
        return Ok(head.version to manifest)
    }
}
