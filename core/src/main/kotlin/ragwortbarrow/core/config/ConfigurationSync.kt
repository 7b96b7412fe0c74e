package ragwortbarrow.core.config

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.receiveAsFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.SerializationException
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.membership.WatcherElection
import ragwortbarrow.core.peer.GossipMessage
import ragwortbarrow.core.peer.PeerConnector
import ragwortbarrow.core.peer.PeerService
import ragwortbarrow.core.store.KindWatcher
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

/**
 * Brings each new configuration to this node. The watchers of a failure domain follow the platform; every other node
 * pulls the head and the parts it lacks from a peer as soon as gossip shows a higher version. A node that restarts
 * during an outage of the platform therefore gets the configuration from its peers alone.
 */
class ConfigurationSync(
    private val store: ObjectStore,
    private val holder: ConfigurationHolder,
    private val members: MemberView,
    private val connector: PeerConnector,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val decisionLog: DecisionLog = DecisionLog.NONE,
    private val election: WatcherElection = WatcherElection(members),
    private val peerCheckMillis: Long = 500,
    private val partsPerCall: Int = 16,
    private val random: Random = Random.Default,
) {
    private val applying = Mutex()
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private val hint = AtomicReference<Hint?>(null)
    private var jobs: List<Job> = emptyList()
    private var stopTimer: () -> Unit = {}
    private val watcher = KindWatcher(
        kind = ObjectKind.CONFIGURATIONS,
        store = store,
        timer = timer,
        scope = scope,
        isElected = election::isWatcher,
        onChanged = ::headChanged,
        decisionLog = decisionLog,
        random = random,
    )

    @Synchronized
    fun start() {
        if (jobs.isNotEmpty()) return
        watcher.start()
        jobs = listOf(scope.launch { wakeUps.receiveAsFlow().collect { pullFromPeers() } })
        stopTimer =
            timer.every(peerCheckMillis) { wakeUps.trySend(Unit) }.let { subscription -> { subscription.cancel() } }
    }

    @Synchronized
    fun stop() {
        watcher.stop()
        stopTimer()
        jobs.forEach { it.cancel() }
        jobs = emptyList()
    }

    /**
     * Tells that gossip from [peer] carried [version]. The peer itself is asked for it, because the table of members
     * may not show the version yet: it takes a member's entry only with a new heartbeat.
     */
    fun handlePeerVersion(peer: PeerService, version: Long) {
        if (!holder.wants(version)) return
        hint.updateAndGet { known -> if (known == null || known.version < version) Hint(peer, version) else known }
        wakeUps.trySend(Unit)
    }

    /** Answers a peer's request for the head. */
    fun fetchHead(): ConfigurationHead? = holder.head

    /** Answers a peer's request for parts. */
    fun fetchParts(sha256: List<String>): List<ConfigurationPart> = sha256.mapNotNull(holder::part)

    private suspend fun headChanged(stored: StoredObject) {
        if (stored.name != ConfigurationObjects.HEAD) return
        val head = try {
            ConfigurationObjects.headOf(stored)
        } catch (failure: SerializationException) {
            decisionLog.record("configuration_unreadable", "version" to stored.version, "reason" to failure.message)
            return
        }
        if (!apply(head, sources(head.version))) throw PartsMissingException(head.version)
    }

    private suspend fun pullFromPeers() {
        val hinted = hint.getAndSet(null)?.takeIf { holder.wants(it.version) }?.peer
        val peers = listOfNotNull(hinted) + sources(holder.status.appliedVersion + 1)
        for (peer in peers) {
            try {
                val head = peer.fetchHead().get() ?: continue
                if (holder.wants(head.version) && apply(head, listOf(peer) + sources(head.version))) return
            } catch (failure: CancellationException) {
                throw failure
            } catch (failure: Exception) {
                decisionLog.record("configuration_pull_failed", "reason" to failure.message)
            }
        }
    }

    /** Returns false if parts of [head] could not be had; the caller tries again later. */
    private suspend fun apply(head: ConfigurationHead, peers: List<PeerService>): Boolean = applying.withLock {
        if (!holder.wants(head.version)) return@withLock true
        val parts = HashMap<String, ConfigurationPart>()
        fun missing() = head.parts.map { it.sha256 }.distinct().filter { it !in parts && holder.part(it) == null }
        for (peer in peers) {
            missing().chunked(partsPerCall).all { digests -> takeFromPeer(peer, digests, parts) }
        }
        for (digests in missing().chunked(partsPerCall)) {
            val taken = coroutineScope { digests.map { async { takeFromPlatform(it) } }.awaitAll() }
            taken.filterNotNull().associateByTo(parts) { it.sha256 }
        }
        val stillMissing = missing()
        if (stillMissing.isNotEmpty()) {
            decisionLog.record("configuration_parts_missing", "version" to head.version, "count" to stillMissing.size)
            return@withLock false
        }
        val outcome = holder.offer(head) { parts[it] ?: holder.part(it) }
        if (outcome is OfferOutcome.Applied) announce(head.version)
        true
    }

    /**
     * Tells a few members that are behind, so that a version spreads in steps of a round trip. Periodic gossip alone
     * would bring it to the last node of a failure domain after a second or more for each step.
     */
    private fun announce(version: Long) {
        val behind = members.live()
            .filter { it.vm != members.self.vm && it.configurationVersion < version }
            .shuffled(random)
        val (near, far) = behind.partition { it.failureDomain == members.self.failureDomain }
        val message = GossipMessage(members = listOf(members.self), configurationVersion = version)
        (near.take(ANNOUNCE_NEAR) + far.take(1)).forEach { peer ->
            scope.launch { connector.connect(peer.peerAddress).exchange(message) }
        }
    }

    /** Returns false if the peer cannot be asked. */
    private suspend fun takeFromPeer(
        peer: PeerService,
        digests: List<String>,
        parts: MutableMap<String, ConfigurationPart>,
    ): Boolean {
        val reply = peer.fetchParts(digests).getOrElse { error ->
            decisionLog.record("configuration_parts_failed", "reason" to error.message)
            // Many large parts may exceed what one call carries.
            return digests.size > 1 && digests.all { takeFromPeer(peer, listOf(it), parts) }
        }
        reply.filter { it.sha256 in digests && it.hasItsDigest() }.forEach { parts[it.sha256] = it }
        return true
    }

    private suspend fun takeFromPlatform(digest: String): ConfigurationPart? =
        store.get(ObjectKind.CONFIGURATION_PARTS, digest).fold(
            { stored -> ConfigurationObjects.partOf(stored).takeIf { it.sha256 == digest && it.hasItsDigest() } },
            { error ->
                if (error !is StoreError.NotFound) {
                    decisionLog.record("configuration_part_failed", "part" to digest, "reason" to error.message)
                }
                null
            },
        )

    /** Live peers that have [version] or a newer one and that this node wants, up to three, the nearest first. */
    private fun sources(version: Long): List<PeerService> = members.live()
        .filter {
            it.vm != members.self.vm &&
                it.configurationVersion >= version &&
                holder.wants(it.configurationVersion)
        }
        .shuffled(random)
        .sortedBy { it.failureDomain != members.self.failureDomain }
        .take(PEERS_PER_PULL)
        .map { connector.connect(it.peerAddress) }

    private class Hint(val peer: PeerService, val version: Long)

    private companion object {
        const val PEERS_PER_PULL = 3

        /** More than two, so that a version still spreads when some of those told are down. */
        const val ANNOUNCE_NEAR = 3
    }
}

/** Ends a pass of the watcher, so that the head is listed and tried again after a pause. */
private class PartsMissingException(version: Long) : Exception("parts of configuration $version are missing")
