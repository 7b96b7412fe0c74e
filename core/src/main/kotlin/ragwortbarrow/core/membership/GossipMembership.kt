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
 * Gossip-based membership. Each node exchanges messages with a random peer of its own failure domain every second, and
 * with a random peer of another failure domain every five seconds. The first entry of a message is its sender.
 *
 * [seedNodes] provides addresses to try first. Only an advancing heartbeat shows that a member is alive.
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
    private val knownSeedNodes = AtomicReference<List<SeedNode>>(emptyList())
    private val owners = ConcurrentHashMap<LimitShardId, KnownOwner>()
    private val lastContacts = LastContacts(timer)
    private val subscriptions = mutableListOf<TimerSubscription>()
    private val seedNodesReadAtNanos = AtomicReference<Long?>(null)

    override val self: MemberInfo
        get() = selfInfo.get().copy(configurationVersion = configurationVersion())

    /** Starts the gossip. The peer address must already be bound. */
    fun start() {
        readSeedNodes()
        subscriptions += timer.every(settings.domainPeriodMillis) { tick() }
        subscriptions += timer.every(settings.crossDomainPeriodMillis) { gossipWith(choosePeer(sameDomain = false)) }
    }

    fun stop() {
        subscriptions.forEach { it.cancel() }
        subscriptions.clear()
    }

    /** Marks this node as leaving and immediately notifies some peers of its failure domain. */
    fun leave() {
        selfInfo.updateAndGet { it.copy(leaving = true, heartbeat = it.heartbeat + 1) }
        live(self.failureDomain).filter { it.vm != self.vm }.shuffled(random).take(LEAVE_FANOUT)
            .forEach { gossipWith(it.peerAddress) }
    }

    /** Records that the platform answered a call started at [atNanos], or sent an event of a watch started then. */
    fun recordPlatformContact(atNanos: Long = timer.nanoTime()) = lastContacts.recordPlatformContact(atNanos)

    /** Merges the gossip message of a peer and returns the reply. */
    fun exchange(message: GossipMessage): GossipMessage {
        merge(message)
        val sender = message.members.firstOrNull()
        if (sender != null) scope.launch { listener.onMessage(connector.connect(sender.peerAddress), message) }
        return message(receiver = sender, includeOthers = !message.isProbe())
    }

    /** Peer addresses that gossip may use; connections to them should be kept. */
    fun peerAddresses(): Set<String> =
        (table.get().all.map { it.info.peerAddress } + knownSeedNodes.get().map { it.peerAddress }).toSet()

    override fun live(failureDomain: FailureDomainId?): List<MemberInfo> {
        val nowNanos = timer.nanoTime()
        val others = table.get().all.filter { isLive(it, nowNanos) }.map { it.info }
        return (others + self)
            .filter { failureDomain == null || it.failureDomain == failureDomain }
            .sortedBy { it.vm.value }
    }

    override fun member(vm: VmId): MemberInfo? = if (vm == self.vm) self else table.get()[vm]?.info

    /** All members in the table except this node, each with whether it is live. */
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

    override fun platformAgeMillis(): Long? = lastContacts.platformAgeMillis()

    override fun domainAgeMillis(failureDomain: FailureDomainId): Long? =
        if (failureDomain == selfInfo.get().failureDomain) 0L else lastContacts.domainAgeMillis(failureDomain)

    private fun tick() {
        selfInfo.updateAndGet { it.copy(heartbeat = it.heartbeat + 1) }
        val nowNanos = timer.nanoTime()
        val cutoff = nowNanos - settings.removalMillis * NANOS_PER_MILLI
        if (table.get().all.any { it.heartbeatAtNanos - cutoff < 0 }) table.updateAndGet { it.withoutStale(cutoff) }
        readSeedNodesIfDue(nowNanos)
        val overdue = overduePeers(nowNanos)
        gossipWith(choosePeer(sameDomain = true))
        overdue.forEach { gossipWith(it, probe = true) }
    }

    private fun readSeedNodesIfDue(nowNanos: Long) {
        val isIsolated = table.get().all.none { isLive(it, nowNanos) }
        val periodMillis = if (isIsolated) settings.isolatedSeedNodesPeriodMillis else settings.seedNodesPeriodMillis
        val readAtNanos = seedNodesReadAtNanos.get()
        if (readAtNanos == null || nowNanos - readAtNanos >= periodMillis * NANOS_PER_MILLI) readSeedNodes()
    }

    private fun readSeedNodes() {
        seedNodesReadAtNanos.set(timer.nanoTime())
        scope.launch {
            val found = seedNodes.read() ?: return@launch
            knownSeedNodes.set(found.filter { it.vm != self.vm })
        }
    }

    private fun gossipWith(peerAddress: String?, probe: Boolean = false) {
        if (peerAddress != null) scope.launch { exchangeWith(peerAddress, probe) }
    }

    /** A probe only requests the receiver's own heartbeat. Its entries are the sender, then the receiver. */
    private fun GossipMessage.isProbe(): Boolean = members.size == 2 && members[1].vm == selfInfo.get().vm

    private suspend fun exchangeWith(peerAddress: String, probe: Boolean) {
        val peer = connector.connect(peerAddress)
        val receiver = table.get().all.firstOrNull { it.info.peerAddress == peerAddress }?.info
        val sentAtNanos = timer.nanoTime()
        val message = message(receiver, includeOthers = !probe)
        val sent = if (probe && receiver != null) message.asProbeOf(receiver) else message
        val reply = peer.exchange(sent).get() ?: return
        merge(reply)
        if (!listener.onMessage(peer, reply)) return
        reply.members.firstOrNull()?.let { lastContacts.recordDomainContact(it.failureDomain, sentAtNanos) }
        if (reply.platformAgeMillis >= 0) {
            lastContacts.recordPlatformContact(sentAtNanos - reply.platformAgeMillis * NANOS_PER_MILLI)
        }
        reply.domainAgesMillis.forEach { (domain, ageMillis) ->
            lastContacts.recordDomainContact(domain, sentAtNanos - ageMillis * NANOS_PER_MILLI)
        }
    }

    private fun merge(message: GossipMessage) {
        val nowNanos = timer.nanoTime()
        table.updateAndGet { it.merge(message.members, selfInfo.get().vm, nowNanos) }
        message.shardOwners.forEach { announce(it) }
    }

    private fun GossipMessage.asProbeOf(receiver: MemberInfo) = copy(members = members + receiver.toCompactEntry())

    private fun message(receiver: MemberInfo?, includeOthers: Boolean = true): GossipMessage {
        val self = self
        val entries = if (includeOthers) table.get().all else emptyList()
        val selector = GossipSelector(settings, random)
        return GossipMessage(
            members = listOf(self) + selector.selectMembers(entries, self.failureDomain, receiver, timer.nanoTime()),
            shardOwners = if (includeOthers) selector.selectOwners(owners.values.toList()) else emptyList(),
            configurationVersion = self.configurationVersion,
            keysDigest = keysDigest(),
            platformAgeMillis = platformAgeMillis() ?: -1,
            domainAgesMillis = lastContacts.domainAgesMillis(),
        )
    }

    /**
     * The addresses of members of the own failure domain that will soon be suspected and are probed directly. In a
     * simulation with random exchanges only, the heartbeat of one of 50 live members did not arrive for three seconds.
     */
    private fun overduePeers(nowNanos: Long): List<String> {
        val overdueNanos = settings.suspicionMillis * NANOS_PER_MILLI * 2 / 3
        return table.get().all
            .filter { it.info.failureDomain == selfInfo.get().failureDomain && isLive(it, nowNanos) }
            .filter { nowNanos - it.heartbeatAtNanos >= overdueNanos }
            .shuffled(random)
            .take(MAX_OVERDUE)
            .map { it.info.peerAddress }
    }

    /**
     * Selects the peer for the next exchange. One in ten exchanges goes to a member or seed node that is not known to
     * be live, so that the end of a partition is noticed; if no live peer is known, all of them do.
     */
    private fun choosePeer(sameDomain: Boolean): String? {
        val nowNanos = timer.nanoTime()
        val ownDomain = selfInfo.get().failureDomain
        val (liveEntries, otherEntries) = table.get().all
            .filter { (it.info.failureDomain == ownDomain) == sameDomain }
            .partition { isLive(it, nowNanos) }
        val liveAddresses = liveEntries.ofRandomDomain { it.info.failureDomain }?.map { it.info.peerAddress }.orEmpty()
        val otherAddresses = otherEntries.map { SeedNode(it.info.vm, it.info.failureDomain, it.info.peerAddress) }
            .plus(knownSeedNodes.get().filter { (it.failureDomain == ownDomain) == sameDomain })
            .filter { candidate -> liveEntries.none { it.info.vm == candidate.vm } }
            .ofRandomDomain { it.failureDomain }?.map { it.peerAddress }.orEmpty()
        val useOther = liveAddresses.isEmpty() || otherAddresses.isNotEmpty() && random.nextInt(10) == 0
        return (if (useOther) otherAddresses else liveAddresses).randomOrNull(random)
    }

    /** The elements of one randomly chosen failure domain, so that small domains are chosen as often as large ones. */
    private fun <T> List<T>.ofRandomDomain(domain: (T) -> FailureDomainId): List<T>? =
        groupBy(domain).values.randomOrNull(random)

    private fun isLive(entry: MemberEntry, nowNanos: Long): Boolean {
        val sameDomain = entry.info.failureDomain == selfInfo.get().failureDomain
        val limitMillis = if (sameDomain) settings.suspicionMillis else settings.remoteSuspicionMillis
        return nowNanos - entry.heartbeatAtNanos <= limitMillis * NANOS_PER_MILLI
    }

    private companion object {
        /** Limits the probes per second if many members become unreachable at once; a probe and its reply are small. */
        const val MAX_OVERDUE = 8

        /** Number of notified peers; enough to spread the leaving flag within one more round of gossip. */
        const val LEAVE_FANOUT = 3
    }
}

internal class KnownOwner(val owner: ShardOwner, val learnedAtNanos: Long)
