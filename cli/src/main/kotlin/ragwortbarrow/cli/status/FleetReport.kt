package ragwortbarrow.cli.status

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import ragwortbarrow.cli.PlatformSession
import ragwortbarrow.cli.configurationReport
import ragwortbarrow.core.config.ConfigurationHead
import ragwortbarrow.core.config.ConfigurationObjects
import ragwortbarrow.core.config.joinParts
import ragwortbarrow.core.lease.LimitShardRecord
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.membership.VmLease
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.listAll

/** What `ragwortbarrow status` shows; [states] are what the nodes answered themselves. */
internal data class FleetReport(
    val head: ConfigurationHead?,
    val nodes: Map<String, VmLease>,
    val states: Map<String, String>,
    val shards: Map<String, LimitShardRecord>,
    val backendServers: List<BackendServer>,
) {
    fun lines(): List<String> = buildList {
        add("configuration version=${head?.version ?: 0} writer=${head?.writer ?: "none"}")
        nodes.forEach { (vm, lease) ->
            val rejected = if (lease.rejectedVersion >
                lease.appliedVersion
            ) {
                " rejected=${lease.rejectedVersion}"
            } else {
                ""
            }
            add(
                "node $vm failure_domain=${lease.failureDomain} state=${quoted(states[vm].orEmpty())} " +
                    "applied=${lease.appliedVersion}$rejected http=${lease.httpAddress} peer=${lease.peerAddress}",
            )
        }
        shards.forEach { (name, record) ->
            val owner = if (record.released) "none" else record.owner.value
            add("limit-shard $name owner=$owner standby=${record.standby ?: "none"} fencing=${record.fencingNumber}")
        }
        backendServers.forEach { server ->
            val serves = server.service?.let { "service=$it" } ?: "models=${server.models.joinToString(",")}"
            val leaving = if (server.leaving) " leaving" else ""
            add("backend-server ${server.id} failure_domain=${server.failureDomain} $serves url=${server.url}$leaving")
        }
    }

    private fun quoted(text: String): String = if (' ' in text) "\"$text\"" else text
}

internal suspend fun PlatformSession.fleetReport(probe: NodeProbe): Result<FleetReport, StoreError> {
    val configuration = configurationReport().getOrElse { return Err(it) }
    val shards = store.listAll(ObjectKind.LIMIT_SHARDS).getOrElse { return Err(it) }
    val servers = configuration.head?.let { backendServers(it).getOrElse { error -> return Err(error) } }.orEmpty()
    return Ok(
        FleetReport(
            head = configuration.head,
            nodes = configuration.nodes,
            states = configuration.nodes.states(probe),
            shards = shards.items.associate { it.name to LimitShardRecord.of(it) }.toSortedMap(),
            backendServers = servers,
        ),
    )
}

private suspend fun PlatformSession.backendServers(head: ConfigurationHead): Result<List<BackendServer>, StoreError> {
    val parts = head.parts.associate { ref ->
        val stored = store.get(ObjectKind.CONFIGURATION_PARTS, ref.sha256).getOrElse { return Err(it) }
        ref.sha256 to ConfigurationObjects.partOf(stored)
    }
    return Ok(joinParts(head, parts::get).getOrElse { return Err(StoreError.Rejected(it)) }.backendServers)
}

private suspend fun Map<String, VmLease>.states(probe: NodeProbe): Map<String, String> = coroutineScope {
    map { (vm, lease) -> async { vm to probe.state(lease.httpAddress) } }.awaitAll().toMap()
}
