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
import ragwortbarrow.core.store.KindWatcher
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.SafeWriter
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
    private val writer: SafeWriter,
    private val ring: KeyRing,
    private val members: MemberView,
    private val connector: PeerConnector,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val decisionLog: DecisionLog = DecisionLog.NONE,
    private val platformHeard: () -> Unit = {},
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
        elected = election::isWatcher,
        changed = { learn(KeyUpdate(grants = listOfNotNull(grantOf(it)))) },
        listed = { objects ->
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
        elected = election::isWatcher,
        changed = { tombstonesSeen(listOf(it)) },
        listed = { objects ->
            tombstonesListed = true
            tombstonesSeen(objects, complete = grantsListed)
        },
        confirmed = {
            platformHeard()
            createMissingTombstones()
        },
        decisionLog = decisionLog,
        random = random,
    )

    fun start() {
        grantWatcher.start()
        tombstoneWatcher.start()
        launch { loadFromPeers() }
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

    /** Tells that gossip has shown the key digest of the peer at [peerAddress]. */
    fun digestSeen(peerAddress: String, digest: String) {
        if (digest.isEmpty() || digest == ring.digest || !reconciling.compareAndSet(false, true)) return
        launch {
            try {
                val before = ring.digest
                timer.pause(settleMillis)
                // A push that was under way makes the digests equal, or at least changes this node's.
                if (!ring.isLoaded || (ring.digest == before && ring.digest != digest)) reconcile(peerAddress)
            } finally {
                reconciling.set(false)
            }
        }
    }

    private suspend fun loadFromPeers() {
        while (!ring.isLoaded) {
            val peer = members.live().filter { it.vm != members.self.vm }.randomOrNull(random)
            if (peer != null) reconcile(peer.peerAddress)
            timer.pause(settleMillis)
        }
    }

    /** Exchanges the whole state with one peer; a peer that has no whole state itself cannot complete this node's. */
    private suspend fun reconcile(peerAddress: String) {
        val reply = try {
            connector.connect(peerAddress).updateKeys(KeyUpdate(wantAll = true)).getOrElse { return }
        } catch (failure: CancellationException) {
            throw failure
        } catch (failure: Exception) {
            decisionLog.record("keys_exchange_failed", "peer" to peerAddress, "reason" to failure.message)
            return
        }
        learn(reply.copy(wantAll = false), complete = reply.grants.isNotEmpty() || reply.tombstones.isNotEmpty())
        val lacking = ring.missingIn(reply)
        if (lacking != KeyUpdate()) connector.connect(peerAddress).updateKeys(lacking)
    }

    private fun learn(update: KeyUpdate, complete: Boolean = false) {
        val wasLoaded = ring.isLoaded
        val news = ring.merge(update, complete)
        if (news == KeyUpdate()) return
        news.tombstones.forEach { decisionLog.record("key_withdrawn", "key" to it) }
        // The first state of a starting node is no news to the others, except for withdrawals.
        push(if (wasLoaded) news else news.copy(grants = emptyList()))
    }

    private fun push(news: KeyUpdate) {
        if (news == KeyUpdate()) return
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
