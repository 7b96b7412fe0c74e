package ragwortbarrow.core.keys

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import ragwortbarrow.core.ids.KeyId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.membership.WatcherElection
import ragwortbarrow.core.peer.KeyUpdate
import ragwortbarrow.core.peer.PeerConnector
import ragwortbarrow.core.peer.PeerService
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.KindWatcher
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.pause
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random

/**
 * Synchronizes a [KeyRing] with the grants and tombstones on the platform and with the key rings of other nodes.
 *
 * The elected watchers of a failure domain watch the platform. A node that receives new entries pushes them to
 * [pushFanOut] random members, so a withdrawal reaches the fleet in a few hops from any node. Gossip compares digests;
 * if two nodes still differ after [reconcileDelayMillis], they exchange their complete states. Tombstones that are
 * missing on the platform, for example after a withdrawal during an outage, are created there by the watchers.
 */
class KeySync(
    private val store: ObjectStore,
    private val writer: IdempotentWriter,
    private val ring: KeyRing,
    private val members: MemberView,
    private val connector: PeerConnector,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val decisionLog: DecisionLog = DecisionLog.NONE,
    private val onPlatformConfirmed: (askedAtNanos: Long) -> Unit = {},
    private val election: WatcherElection = WatcherElection(members),
    private val pushFanOut: Int = 4,
    private val reconcileDelayMillis: Long = 1_000,
    private val random: Random = Random.Default,
) {
    private val reconciling = AtomicBoolean()
    private val jobs = mutableListOf<Job>()
    private val platformTombstones: MutableSet<KeyId> = ConcurrentHashMap.newKeySet()

    @Volatile
    private var grantsListed = false

    @Volatile
    private var tombstonesListed = false

    private val grantWatcher = KindWatcher(
        kind = ObjectKind.KEY_GRANTS,
        store = store,
        timer = timer,
        scope = scope,
        isElected = election::isWatcher,
        onChanged = { mergeAndPush(KeyUpdate(grants = listOfNotNull(grantOf(it)))) },
        onListed = { page ->
            grantsListed = true
            mergeAndPush(KeyUpdate(grants = page.items.mapNotNull(::grantOf)), complete = tombstonesListed)
        },
        decisionLog = decisionLog,
        random = random,
    )
    private val tombstoneWatcher = KindWatcher(
        kind = ObjectKind.KEY_TOMBSTONES,
        store = store,
        timer = timer,
        scope = scope,
        isElected = election::isWatcher,
        onChanged = { mergeTombstones(listOf(it)) },
        onListed = { page ->
            tombstonesListed = true
            mergeTombstones(page.items, complete = grantsListed)
        },
        onConfirmed = { askedAtNanos ->
            onPlatformConfirmed(askedAtNanos)
            createMissingTombstones()
        },
        decisionLog = decisionLog,
        random = random,
    )

    fun start() {
        grantWatcher.start()
        tombstoneWatcher.start()
    }

    fun stop() {
        grantWatcher.stop()
        tombstoneWatcher.stop()
        synchronized(jobs) {
            jobs.forEach { it.cancel() }
            jobs.clear()
        }
    }

    /** Applies keys sent by a peer or an operator; the reply confirms that this node now enforces them. */
    fun updateKeys(update: KeyUpdate): KeyUpdate {
        mergeAndPush(update)
        return if (update.wantAll) ring.all() else KeyUpdate()
    }

    /** The digest to gossip; empty until this node has a complete state. */
    fun keysDigest(): String = if (ring.isLoaded) ring.digest else ""

    /**
     * Handles a key digest received by gossip from [peer]. Returns whether this node now has all keys of the peer, so
     * that no withdrawal known to the peer is missing here.
     */
    suspend fun handlePeerDigest(peer: PeerService, digest: String): Boolean {
        if (digest.isEmpty()) return false
        if (digest == ring.digest) {
            ring.merge(KeyUpdate(), complete = true)
            return true
        }
        if (!reconciling.compareAndSet(false, true)) return false
        return try {
            val before = ring.digest
            if (ring.isLoaded) timer.pause(reconcileDelayMillis)
            when (ring.digest) {
                digest -> true
                // A push arrived during the delay; the next gossip message shows whether a difference remains.
                else -> if (ring.digest == before || !ring.isLoaded) reconcile(peer) else false
            }
        } finally {
            reconciling.set(false)
        }
    }

    private suspend fun reconcile(peer: PeerService): Boolean {
        val reply = peer.updateKeys(KeyUpdate(wantAll = true)).getOrElse { return false }
        mergeAndPush(reply, complete = true)
        val missingOnPeer = ring.missingIn(reply)
        if (!missingOnPeer.isEmpty()) peer.updateKeys(missingOnPeer)
        return true
    }

    private fun mergeAndPush(update: KeyUpdate, complete: Boolean = false) {
        val wasLoaded = ring.isLoaded
        val changes = ring.merge(update, complete)
        if (changes.isEmpty()) return
        changes.tombstones.forEach { decisionLog.record("key_withdrawn", "key" to it) }
        // The initial state of a starting node is not new to its peers, except for withdrawals.
        pushToPeers(if (wasLoaded) changes else changes.copy(grants = emptyList()))
    }

    private fun pushToPeers(changes: KeyUpdate) {
        if (changes.isEmpty()) return
        members.live().filter { it.vm != members.self.vm }.shuffled(random).take(pushFanOut).forEach { peer ->
            launch {
                runCatching { connector.connect(peer.peerAddress).updateKeys(changes) }
                    .onFailure { if (it is CancellationException) throw it }
            }
        }
    }

    private fun mergeTombstones(objects: List<StoredObject>, complete: Boolean = false) {
        val ids = objects.map { KeyId(it.name) }
        platformTombstones += ids
        mergeAndPush(KeyUpdate(tombstones = ids), complete)
    }

    private suspend fun createMissingTombstones() {
        for (id in ring.tombstones.filter { it !in platformTombstones }) {
            writer.create(ObjectKind.KEY_TOMBSTONES, id.value, KeyObjects.tombstoneSpec).fold(
                { platformTombstones += id },
                { error ->
                    if (error is StoreError.AlreadyExists) platformTombstones += id
                    decisionLog.record("key_tombstone_create", "key" to id, "reason" to error.message)
                },
            )
        }
    }

    private fun grantOf(stored: StoredObject): KeyGrant? = try {
        KeyObjects.grantOf(stored)
    } catch (failure: SerializationException) {
        decisionLog.record("key_grant_unreadable", "key" to stored.name, "reason" to failure.message)
        null
    }

    private fun launch(body: suspend () -> Unit) {
        val job = scope.launch { body() }
        synchronized(jobs) { jobs += job }
        job.invokeOnCompletion { synchronized(jobs) { jobs -= job } }
    }
}

private fun KeyUpdate.isEmpty() = grants.isEmpty() && tombstones.isEmpty()
