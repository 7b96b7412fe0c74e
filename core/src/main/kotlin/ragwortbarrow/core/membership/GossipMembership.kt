package ragwortbarrow.core.membership

import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.peer.GossipMessage
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.PeerConnector
import ragwortbarrow.core.peer.ShardOwner
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.TimerSubscription
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

/**
 * Membership by gossip. Each node exchanges messages with one random peer of its own failure domain every second and
 * with one of another failure domain every five seconds; the first entry of a message is its sender.
 *
 * First contacts come from [seedNodes]. They are only addresses to try: a member is alive if its heartbeat moves, and
 * for no other reason.
 */
class GossipMembership(
    self: MemberInfo,
    private val timer: TimerService,
    private val connector: PeerConnector,
    private val scope: CoroutineScope,
    private val seedNodes: SeedNodeSource = SeedNodeSource { null },
    private val configurationVersion: () -> Long = { 0L },
    private val keysDigest: () -> String = { "" },
    private val listener: GossipListener = GossipListener { _, _ -> true },
    private val random: Random = Random.Default,
    private val settings: MembershipSettings = MembershipSettings(),
) : MemberView {
    private val selfInfo = AtomicReference(self)
    private val table = AtomicReference(MemberTable())
    private val knownContacts = AtomicReference<List<SeedNode>>(emptyList())
    private val owners = ConcurrentHashMap<LimitShardId, KnownOwner>()
    private val ages = ContactAges(timer)
    private val subscriptions = mutableListOf<TimerSubscription>()
    private val contactsReadAtNanos = AtomicReference<Long?>(null)

    override val self: MemberInfo
        get() = selfInfo.get().copy(configurationVersion = configurationVersion())

    /** Starts gossip; the peer address must be bound by now. */
    fun start() {
        readContacts()
        subscriptions += timer.every(settings.domainPeriodMillis) { tick() }
        subscriptions += timer.every(settings.crossDomainPeriodMillis) { gossipWith(choosePeer(sameDomain = false)) }
    }

    fun stop() {
        subscriptions.forEach { it.cancel() }
        subscriptions.clear()
    }

    /** Marks this node as leaving and tells peers of its failure domain at once. */
    fun leave() {
        selfInfo.updateAndGet { it.copy(leaving = true, heartbeat = it.heartbeat + 1) }
        live(self.failureDomain).filter { it.vm != self.vm }.shuffled(random).take(LEAVE_FANOUT)
            .forEach { gossipWith(it.peerAddress) }
    }

    /** Notes that the platform answered a call, or delivered a watch event, that was begun at [atNanos]. */
    fun recordPlatformContact(atNanos: Long = timer.nanoTime()) = ages.recordPlatformContact(atNanos)

    /** Answers the gossip of a peer. */
    fun exchange(message: GossipMessage): GossipMessage {
        merge(message)
        val sender = message.members.firstOrNull()
        if (sender != null) scope.launch { listener.heard(connector.connect(sender.peerAddress), message) }
        return message(receiver = sender, entriesOfOthers = !message.isProbe())
    }

    /** Addresses that gossip may use, for the connector to keep. */
    fun peerAddresses(): Set<String> =
        (table.get().all.map { it.info.peerAddress } + knownContacts.get().map { it.peerAddress }).toSet()

    override fun live(failureDomain: FailureDomainId?): List<MemberInfo> {
        val nowNanos = timer.nanoTime()
        val others = table.get().all.filter { isLive(it, nowNanos) }.map { it.info }
        return (others + self)
            .filter { failureDomain == null || it.failureDomain == failureDomain }
            .sortedBy { it.vm.value }
    }

    override fun member(vm: VmId): MemberInfo? = if (vm == self.vm) self else table.get()[vm]?.info

    /** Every member that is not forgotten, with whether its heartbeat moves; this node is not included. */
    fun known(): List<Pair<MemberInfo, Boolean>> {
        val nowNanos = timer.nanoTime()
        return table.get().all.map { it.info to isLive(it, nowNanos) }
    }

    override fun ownerOf(shard: LimitShardId): ShardOwner? = owners[shard]?.owner

    override fun announce(owner: ShardOwner) {
        owners.merge(owner.shard, KnownOwner(owner, timer.nanoTime())) { known, new ->
            if (new.owner.fencingNumber > known.owner.fencingNumber) new else known
        }
    }

    override fun platformAgeMillis(): Long? = ages.platformAgeMillis()

    override fun domainAgeMillis(failureDomain: FailureDomainId): Long? =
        if (failureDomain == selfInfo.get().failureDomain) 0L else ages.domainAgeMillis(failureDomain)

    private fun tick() {
        selfInfo.updateAndGet { it.copy(heartbeat = it.heartbeat + 1) }
        val nowNanos = timer.nanoTime()
        val forgotten = nowNanos - settings.forgetMillis * NANOS_PER_MILLI
        if (table.get().all.any { it.movedAtNanos - forgotten < 0 }) table.updateAndGet { it.without(forgotten) }
        readContactsWhenDue(nowNanos)
        val overdue = overduePeers(nowNanos)
        gossipWith(choosePeer(sameDomain = true))
        overdue.forEach { gossipWith(it, probe = true) }
    }

    private fun readContactsWhenDue(nowNanos: Long) {
        val lonely = table.get().all.none { isLive(it, nowNanos) }
        val periodMillis = if (lonely) settings.lonelyContactsPeriodMillis else settings.contactsPeriodMillis
        val readAtNanos = contactsReadAtNanos.get()
        if (readAtNanos == null || nowNanos - readAtNanos >= periodMillis * NANOS_PER_MILLI) readContacts()
    }

    private fun readContacts() {
        contactsReadAtNanos.set(timer.nanoTime())
        scope.launch {
            val found = seedNodes.read() ?: return@launch
            knownContacts.set(found.filter { it.vm != self.vm })
        }
    }

    private fun gossipWith(peerAddress: String?, probe: Boolean = false) {
        if (peerAddress != null) scope.launch { exchangeWith(peerAddress, probe) }
    }

    /** A probe asks for the receiver's own heartbeat only: its message names the sender and then the receiver. */
    private fun GossipMessage.isProbe(): Boolean = members.size == 2 && members[1].vm == selfInfo.get().vm

    private suspend fun exchangeWith(peerAddress: String, probe: Boolean) {
        val peer = connector.connect(peerAddress)
        val receiver = table.get().all.firstOrNull { it.info.peerAddress == peerAddress }?.info
        val sentAtNanos = timer.nanoTime()
        val message = message(receiver, entriesOfOthers = !probe)
        val sent = if (probe && receiver != null) message.asProbeOf(receiver) else message
        val reply = peer.exchange(sent).get() ?: return
        merge(reply)
        if (!listener.heard(peer, reply)) return
        reply.members.firstOrNull()?.let { ages.heardOf(it.failureDomain, sentAtNanos) }
        if (reply.platformAgeMillis >= 0) {
            ages.recordPlatformContact(sentAtNanos - reply.platformAgeMillis * NANOS_PER_MILLI)
        }
        reply.domainAgesMillis.forEach { (domain, ageMillis) ->
            ages.heardOf(domain, sentAtNanos - ageMillis * NANOS_PER_MILLI)
        }
    }

    private fun merge(message: GossipMessage) {
        val nowNanos = timer.nanoTime()
        table.updateAndGet { it.merge(message.members, selfInfo.get().vm, nowNanos) }
        message.shardOwners.forEach { announce(it) }
    }

    private fun GossipMessage.asProbeOf(receiver: MemberInfo) = copy(members = members + receiver.toShortEntry())

    private fun message(receiver: MemberInfo?, entriesOfOthers: Boolean = true): GossipMessage {
        val self = self
        val entries = if (entriesOfOthers) table.get().all else emptyList()
        val selection = GossipSelection(settings, random)
        return GossipMessage(
            members = listOf(self) + selection.members(entries, self.failureDomain, receiver, timer.nanoTime()),
            shardOwners = if (entriesOfOthers) selection.owners(owners.values.toList()) else emptyList(),
            configurationVersion = self.configurationVersion,
            keysDigest = keysDigest(),
            platformAgeMillis = platformAgeMillis() ?: -1,
            domainAgesMillis = ages.domainAgesMillis(),
        )
    }

    /**
     * Members of the own failure domain that are close to suspicion; they are asked directly for their heartbeat. With
     * random exchanges alone, one of 50 live members had not been heard of for three seconds in a simulation.
     */
    private fun overduePeers(nowNanos: Long): List<String> {
        val overdueNanos = settings.suspicionMillis * NANOS_PER_MILLI * 2 / 3
        return table.get().all
            .filter { it.info.failureDomain == selfInfo.get().failureDomain && isLive(it, nowNanos) }
            .filter { nowNanos - it.movedAtNanos >= overdueNanos }
            .shuffled(random)
            .take(MAX_OVERDUE)
            .map { it.info.peerAddress }
    }

    /**
     * A peer for the next exchange. One in ten goes to a member or contact that is not alive as far as known, which is
     * how a healed partition is found; without a live one every exchange does.
     */
    private fun choosePeer(sameDomain: Boolean): String? {
        val nowNanos = timer.nanoTime()
        val ownDomain = selfInfo.get().failureDomain
        val (alive, silent) = table.get().all
            .filter { (it.info.failureDomain == ownDomain) == sameDomain }
            .partition { isLive(it, nowNanos) }
        val aliveAddresses = alive.byDomain { it.info.failureDomain }?.map { it.info.peerAddress }.orEmpty()
        val tryAddresses = silent.map { SeedNode(it.info.vm, it.info.failureDomain, it.info.peerAddress) }
            .plus(knownContacts.get().filter { (it.failureDomain == ownDomain) == sameDomain })
            .filter { contact -> alive.none { it.info.vm == contact.vm } }
            .byDomain { it.failureDomain }?.map { it.peerAddress }.orEmpty()
        val trySilent = aliveAddresses.isEmpty() || tryAddresses.isNotEmpty() && random.nextInt(10) == 0
        return (if (trySilent) tryAddresses else aliveAddresses).randomOrNull(random)
    }

    /** The candidates of one random failure domain, so that a small one is met as often as a large one. */
    private fun <T> List<T>.byDomain(domain: (T) -> FailureDomainId): List<T>? =
        groupBy(domain).values.randomOrNull(random)

    private fun isLive(entry: MemberEntry, nowNanos: Long): Boolean {
        val sameDomain = entry.info.failureDomain == selfInfo.get().failureDomain
        val limitMillis = if (sameDomain) settings.suspicionMillis else settings.remoteSuspicionMillis
        return nowNanos - entry.movedAtNanos <= limitMillis * NANOS_PER_MILLI
    }

    private companion object {
        /** Bounds the probes of one second when many members fall silent at once; a probe and its answer are small. */
        const val MAX_OVERDUE = 8

        /** Enough peers to spread the leaving flag within one more round. */
        const val LEAVE_FANOUT = 3
    }
}

internal class KnownOwner(val owner: ShardOwner, val learnedAtNanos: Long)
