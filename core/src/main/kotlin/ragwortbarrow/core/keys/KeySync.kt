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
 * Keeps a [KeyRing] the same as the platform's grants and tombstones and the rings of the peers.
 *
 * The watchers of a failure domain follow the platform. A node that learns something new sends just that to
 * [pushFanOut] random members, so a withdrawal reaches the fleet in a few steps whoever heard of it first. Gossip
 * compares digests; where they still differ after [settleMillis], the two nodes exchange their whole state. Tombstones
 * that the platform lacks, for example after a withdrawal during an outage, are created there by the watchers.
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
    private val settleMillis: Long = 1_000,
    private val random: Random = Random.Default,
) {
    private val reconciling = AtomicBoolean()
    private val jobs = mutableListOf<Job>()
    private val tombstonesOfPlatform: MutableSet<KeyId> = ConcurrentHashMap.newKeySet()

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
        onChanged = { learn(KeyUpdate(grants = listOfNotNull(grantOf(it)))) },
        onListed = { objects ->
            grantsListed = true
            learn(KeyUpdate(grants = objects.mapNotNull(::grantOf)), complete = tombstonesListed)
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
        onChanged = { tombstonesSeen(listOf(it)) },
        onListed = { objects ->
            tombstonesListed = true
            tombstonesSeen(objects, complete = grantsListed)
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

    /** Answers a peer or an operator that sends keys; the reply confirms that they are in force on this node. */
    fun updateKeys(update: KeyUpdate): KeyUpdate {
        learn(update)
        return if (update.wantAll) ring.all() else KeyUpdate()
    }

    /** The digest for gossip; empty until this node has a whole state that others may take over. */
    fun keysDigest(): String = if (ring.isLoaded) ring.digest else ""

    /**
     * Takes up the key digest that gossip has brought from [peer]. Returns whether this node's keys now contain all of
     * the peer's, in other words whether the message proves that no withdrawal known to the peer is missing here.
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
            if (ring.isLoaded) timer.pause(settleMillis)
            when (ring.digest) {
                digest -> true
                // A push that was under way has arrived; the next message shows whether a difference is left.
                else -> if (ring.digest == before || !ring.isLoaded) reconcile(peer) else false
            }
        } finally {
            reconciling.set(false)
        }
    }

    private suspend fun reconcile(peer: PeerService): Boolean {
        val reply = peer.updateKeys(KeyUpdate(wantAll = true)).getOrElse { return false }
        learn(reply, complete = true)
        val lacking = ring.missingIn(reply)
        if (!lacking.isEmpty()) peer.updateKeys(lacking)
        return true
    }

    private fun learn(update: KeyUpdate, complete: Boolean = false) {
        val wasLoaded = ring.isLoaded
        val news = ring.merge(update, complete)
        if (news.isEmpty()) return
        news.tombstones.forEach { decisionLog.record("key_withdrawn", "key" to it) }
        // The first state of a starting node is no news to the others, except for withdrawals.
        push(if (wasLoaded) news else news.copy(grants = emptyList()))
    }

    private fun push(news: KeyUpdate) {
        if (news.isEmpty()) return
        members.live().filter { it.vm != members.self.vm }.shuffled(random).take(pushFanOut).forEach { peer ->
            launch {
                runCatching { connector.connect(peer.peerAddress).updateKeys(news) }
                    .onFailure { if (it is CancellationException) throw it }
            }
        }
    }

    private fun tombstonesSeen(objects: List<StoredObject>, complete: Boolean = false) {
        val ids = objects.map { KeyId(it.name) }
        tombstonesOfPlatform += ids
        learn(KeyUpdate(tombstones = ids), complete)
    }

    private suspend fun createMissingTombstones() {
        for (id in ring.tombstones.filter { it !in tombstonesOfPlatform }) {
            writer.create(ObjectKind.KEY_TOMBSTONES, id.value, KeyObjects.tombstoneSpec).fold(
                { tombstonesOfPlatform += id },
                { error ->
                    if (error is StoreError.AlreadyExists) tombstonesOfPlatform += id
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
