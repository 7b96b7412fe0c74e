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
 * Keeps the configuration of this node up to date. The elected watchers of a failure domain watch the platform; all
 * other nodes fetch the head and the missing parts from a peer as soon as gossip shows a higher version. A node that
 * restarts during a platform outage can therefore load the configuration from its peers alone.
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
    private val applyMutex = Mutex()
    private val pullRequests = Channel<Unit>(Channel.CONFLATED)
    private val pendingHint = AtomicReference<VersionHint?>(null)
    private var jobs: List<Job> = emptyList()
    private var stopTimer: () -> Unit = {}
    private val watcher = KindWatcher(
        kind = ObjectKind.CONFIGURATIONS,
        store = store,
        timer = timer,
        scope = scope,
        isElected = election::isWatcher,
        onChanged = ::handleHeadChange,
        decisionLog = decisionLog,
        random = random,
    )

    @Synchronized
    fun start() {
        if (jobs.isNotEmpty()) return
        watcher.start()
        jobs = listOf(scope.launch { pullRequests.receiveAsFlow().collect { pullFromPeers() } })
        stopTimer =
            timer.every(peerCheckMillis) { pullRequests.trySend(Unit) }
                .let { subscription -> { subscription.cancel() } }
    }

    @Synchronized
    fun stop() {
        watcher.stop()
        stopTimer()
        jobs.forEach { it.cancel() }
        jobs = emptyList()
    }

    /**
     * Handles [version] received by gossip from [peer]. The configuration is fetched from that peer because the member
     * table may not show the version yet: it updates the entry of a member only on a new heartbeat.
     */
    fun handlePeerVersion(peer: PeerService, version: Long) {
        if (!holder.isCandidate(version)) return
        pendingHint.updateAndGet { known ->
            if (known == null || known.version < version) VersionHint(peer, version) else known
        }
        pullRequests.trySend(Unit)
    }

    /** Handles a peer's request for the head. */
    fun fetchHead(): ConfigurationHead? = holder.head

    /** Handles a peer's request for parts. */
    fun fetchParts(sha256: List<String>): List<ConfigurationPart> = sha256.mapNotNull(holder::part)

    private suspend fun handleHeadChange(stored: StoredObject) {
        if (stored.name != ConfigurationObjects.HEAD) return
        val head = try {
            ConfigurationObjects.headOf(stored)
        } catch (failure: SerializationException) {
            decisionLog.record("configuration_unreadable", "version" to stored.version, "reason" to failure.message)
            return
        }
        if (!apply(head, peersWith(head.version))) throw PartsMissingException(head.version)
    }

    private suspend fun pullFromPeers() {
        val hintedPeer = pendingHint.getAndSet(null)?.takeIf { holder.isCandidate(it.version) }?.peer
        val peers = listOfNotNull(hintedPeer) + peersWith(holder.status.appliedVersion + 1)
        for (peer in peers) {
            try {
                val head = peer.fetchHead().get() ?: continue
                if (holder.isCandidate(head.version) && apply(head, listOf(peer) + peersWith(head.version))) return
            } catch (failure: CancellationException) {
                throw failure
            } catch (failure: Exception) {
                decisionLog.record("configuration_pull_failed", "reason" to failure.message)
            }
        }
    }

    /** Returns false if some parts of [head] could not be fetched; the caller retries later. */
    private suspend fun apply(head: ConfigurationHead, peers: List<PeerService>): Boolean = applyMutex.withLock {
        if (!holder.isCandidate(head.version)) return@withLock true
        val parts = HashMap<String, ConfigurationPart>()
        fun missing() = head.parts.map { it.sha256 }.distinct().filter { it !in parts && holder.part(it) == null }
        for (peer in peers) {
            missing().chunked(partsPerCall).all { digests -> fetchPartsFromPeer(peer, digests, parts) }
        }
        for (digests in missing().chunked(partsPerCall)) {
            val fetched = coroutineScope { digests.map { async { fetchPartFromPlatform(it) } }.awaitAll() }
            fetched.filterNotNull().associateByTo(parts) { it.sha256 }
        }
        val stillMissing = missing()
        if (stillMissing.isNotEmpty()) {
            decisionLog.record("configuration_parts_missing", "version" to head.version, "count" to stillMissing.size)
            return@withLock false
        }
        val outcome = holder.tryApply(head) { parts[it] ?: holder.part(it) }
        if (outcome is ApplyOutcome.Applied) announce(head.version)
        true
    }

    /**
     * Announces [version] to a few members with an older one, so that it spreads by one hop per round trip. With
     * periodic gossip alone each hop takes a second or more.
     */
    private fun announce(version: Long) {
        val behind = members.live()
            .filter { it.vm != members.self.vm && it.configurationVersion < version }
            .shuffled(random)
        val (localPeers, remotePeers) = behind.partition { it.failureDomain == members.self.failureDomain }
        val message = GossipMessage(members = listOf(members.self), configurationVersion = version)
        (localPeers.take(LOCAL_ANNOUNCE_COUNT) + remotePeers.take(1)).forEach { peer ->
            scope.launch { connector.connect(peer.peerAddress).exchange(message) }
        }
    }

    /** Returns false if the peer did not answer. */
    private suspend fun fetchPartsFromPeer(
        peer: PeerService,
        digests: List<String>,
        parts: MutableMap<String, ConfigurationPart>,
    ): Boolean {
        val reply = peer.fetchParts(digests).getOrElse { error ->
            decisionLog.record("configuration_parts_failed", "reason" to error.message)
            // Several large parts may exceed the message size limit of one call, so fetch them one by one.
            return digests.size > 1 && digests.all { fetchPartsFromPeer(peer, listOf(it), parts) }
        }
        reply.filter { it.sha256 in digests && it.hasValidDigest() }.forEach { parts[it.sha256] = it }
        return true
    }

    private suspend fun fetchPartFromPlatform(digest: String): ConfigurationPart? =
        store.get(ObjectKind.CONFIGURATION_PARTS, digest).fold(
            { stored -> ConfigurationObjects.partOf(stored).takeIf { it.sha256 == digest && it.hasValidDigest() } },
            { error ->
                if (error !is StoreError.NotFound) {
                    decisionLog.record("configuration_part_failed", "part" to digest, "reason" to error.message)
                }
                null
            },
        )

    /**
     * Up to [PEERS_PER_PULL] live peers that have [version] or a newer one that this node may apply, those of the same
     * failure domain first.
     */
    private fun peersWith(version: Long): List<PeerService> = members.live()
        .filter {
            it.vm != members.self.vm &&
                it.configurationVersion >= version &&
                holder.isCandidate(it.configurationVersion)
        }
        .shuffled(random)
        .sortedBy { it.failureDomain != members.self.failureDomain }
        .take(PEERS_PER_PULL)
        .map { connector.connect(it.peerAddress) }

    private class VersionHint(val peer: PeerService, val version: Long)

    private companion object {
        const val PEERS_PER_PULL = 3

        /** More than two, so that a version still spreads when some of these members are down. */
        const val LOCAL_ANNOUNCE_COUNT = 3
    }
}

/** Fails the current watch, so that the watcher lists the head again and retries after a delay. */
private class PartsMissingException(version: Long) : Exception("parts of configuration $version are missing")
