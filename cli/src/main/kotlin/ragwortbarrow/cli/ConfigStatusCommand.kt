package ragwortbarrow.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import ragwortbarrow.core.config.ConfigurationHead
import ragwortbarrow.core.config.ConfigurationObjects
import ragwortbarrow.core.membership.VmLease
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.listAll

/** `ragwortbarrow config status`: the published version, and the version that each node has applied or rejected. */
class ConfigStatusCommand : CliktCommand(name = "status") {
    private val platform by PlatformOptions()

    override fun help(context: Context): String =
        "Shows the version in force on each node. Nodes report it when they renew their lease, every 10 s."

    override fun run() {
        val status = platform.use { configurationReport() }.getOrElse { failWith("the platform failed: ${it.message}") }
        echo("published: version ${status.head?.version ?: 0} by ${status.head?.writer ?: "nobody"}")
        status.nodes.forEach { (vm, lease) ->
            val rejected = if (lease.rejectedVersion > lease.appliedVersion) {
                " rejected=${lease.rejectedVersion} reason=\"${lease.rejectedReason}\""
            } else {
                ""
            }
            echo("$vm failure_domain=${lease.failureDomain} applied=${lease.appliedVersion}$rejected")
        }
    }
}

internal data class ConfigurationReport(val head: ConfigurationHead?, val nodes: Map<String, VmLease>)

internal suspend fun PlatformSession.configurationReport(): Result<ConfigurationReport, StoreError> {
    val head = store.get(ObjectKind.CONFIGURATIONS, ConfigurationObjects.HEAD).fold(
        { ConfigurationObjects.headOf(it) },
        { if (it is StoreError.NotFound) null else return Err(it) },
    )
    val leases = store.listAll(ObjectKind.VM_LEASES).getOrElse { return Err(it) }
    return Ok(ConfigurationReport(head, leases.items.associate { it.name to VmLease.of(it) }.toSortedMap()))
}
