package ragwortbarrow.cli.bench

import ragwortbarrow.core.config.BACKEND_SERVER_PART_COUNT
import ragwortbarrow.core.config.CUSTOMER_PART_COUNT
import ragwortbarrow.core.config.ConfigurationPartRef
import ragwortbarrow.core.config.ManifestParts
import ragwortbarrow.core.config.splitIntoParts
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.manifest.FailureDomain
import ragwortbarrow.core.manifest.Fleet
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.manifest.Model
import ragwortbarrow.peer.v1.FetchPartsReply
import ragwortbarrow.peer.v1.FetchPartsRequest
import ragwortbarrow.peer.v1.Head
import ragwortbarrow.peer.v1.Part
import ragwortbarrow.peer.v1.PartRef
import kotlin.random.Random

/**
 * What one configuration change costs a node that pulls it from a peer, as protobuf messages without the framing of
 * gRPC: the mean over changes of one random customer and of one random backend server in turn.
 */
data class ConfigurationSlope(
    val nodes: Int,
    val backendServers: Int,
    val customers: Int,
    val parts: Int,
    val headBytes: Int,
    val changedPartsBytes: Int,
    val wholeManifestBytes: Int,
    val changesPerDay: Int,
) {
    val bytesPerChange: Int get() = headBytes + changedPartsBytes
    val bytesPerSecond: Double get() = bytesPerChange.toDouble() * changesPerDay / SECONDS_PER_DAY
    val wholeBytesPerSecond: Double get() = wholeManifestBytes.toDouble() * changesPerDay / SECONDS_PER_DAY

    private companion object {
        const val SECONDS_PER_DAY = 86_400
    }
}

/** Measures fleets of [nodes] nodes with the backend servers and customers that the plan has for so many nodes. */
fun configurationSlopes(
    nodes: List<Int> = listOf(9, 100, 410),
    changesPerDay: Int = 9_500,
    samples: Int = 200,
    seed: Int = 11,
    customerParts: Int = CUSTOMER_PART_COUNT,
    backendServerParts: Int = BACKEND_SERVER_PART_COUNT,
): List<ConfigurationSlope> = nodes.map { count ->
    slopeOf(count, changesPerDay, samples, Random(seed)) { it.splitIntoParts(customerParts, backendServerParts) }
}

private const val PLAN_NODES = 410
private const val PLAN_BACKEND_SERVERS = 2_900
private const val PLAN_CUSTOMERS = 660
private const val PLAN_DOMAINS = 9

private fun slopeOf(
    nodes: Int,
    changesPerDay: Int,
    samples: Int,
    random: Random,
    cutting: (Manifest) -> ManifestParts,
): ConfigurationSlope {
    var manifest = manifestFor(nodes)
    val first = cutting(manifest)
    var known = first
    var headBytes = 0L
    var partsBytes = 0L
    repeat(samples) { sample ->
        manifest = if (sample % 2 == 0) manifest.withChangedCustomer(random) else manifest.withChangedServer(random)
        val cut = cutting(manifest)
        headBytes += headOf(cut.refs).serializedSize
        partsBytes += transferBytes(cut, known)
        known = cut
    }
    return ConfigurationSlope(
        nodes = nodes,
        backendServers = manifest.backendServers.size,
        customers = manifest.customers.size,
        parts = first.refs.size,
        headBytes = (headBytes / samples).toInt(),
        changedPartsBytes = (partsBytes / samples).toInt(),
        wholeManifestBytes = first.parts.values.sumOf { it.json.toByteArray().size },
        changesPerDay = changesPerDay,
    )
}

/** The request and the reply that bring the parts of [cut] that a node with [known] lacks. */
private fun transferBytes(cut: ManifestParts, known: ManifestParts): Int {
    val missing = cut.parts.filterKeys { it !in known.parts }
    val request = FetchPartsRequest.newBuilder().addAllSha256(missing.keys).build()
    val reply = FetchPartsReply.newBuilder()
        .addAllParts(missing.values.map { Part.newBuilder().setSha256(it.sha256).setJson(it.json).build() })
        .build()
    return request.serializedSize + reply.serializedSize
}

private fun headOf(refs: List<ConfigurationPartRef>): Head = Head.newBuilder()
    .setVersion(1_000_000)
    .setWriter("operator-0f3a9c21#1")
    .addAllParts(refs.map { PartRef.newBuilder().setName(it.name).setSha256(it.sha256).build() })
    .build()

private fun Manifest.withChangedCustomer(random: Random): Manifest {
    val changed = customers.random(random).id
    return copy(customers = customers.map { if (it.id == changed) it.copy(burst = it.burst + 1) else it })
}

private fun Manifest.withChangedServer(random: Random): Manifest {
    val changed = backendServers.random(random).id
    return copy(backendServers = backendServers.map { if (it.id == changed) it.copy(slots = it.slots + 1) else it })
}

private fun manifestFor(nodes: Int): Manifest {
    val domains = List(PLAN_DOMAINS) { FailureDomainId("domain-$it") }
    val models = listOf("model-a", "model-b", "model-c")
    return Manifest(
        name = "slopes",
        fleet = Fleet(domains.map { FailureDomain(it) }),
        models = models.map { Model(it) },
        customers = List(maxOf(8, PLAN_CUSTOMERS * nodes / PLAN_NODES)) {
            Customer(CustomerId("customer-%04d".format(it)), ratePerSecond = 21.0, burst = 100)
        },
        backendServers = List(PLAN_BACKEND_SERVERS * nodes / PLAN_NODES) {
            BackendServer(
                id = BackendServerId("engine-%05d".format(it)),
                url = "http://10.${it / 62_500}.${it / 250 % 250}.${it % 250}:8000",
                failureDomain = domains[it % domains.size],
                models = listOf(models[it % models.size]),
                slots = 16,
            )
        },
    )
}
