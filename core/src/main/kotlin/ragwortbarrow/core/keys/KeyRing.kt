package ragwortbarrow.core.keys

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.KeyId
import ragwortbarrow.core.manifest.CutOffKeys
import ragwortbarrow.core.manifest.Fleet
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.peer.KeyUpdate
import java.security.MessageDigest
import java.util.concurrent.atomic.AtomicReference

/**
 * The keys that this node knows: grants and tombstones as two sets that only grow, where a tombstone wins. Merging in
 * any order and any number of times gives the same state, so nodes need no order of messages.
 *
 * A key is refused when the state is older than the manifest allows (see [isFresh]); a request is then refused rather
 * than served with a key that may have been withdrawn.
 */
class KeyRing(private val members: MemberView, private val configuration: ConfigurationView) : KeyView {
    private val state = AtomicReference(KeyState())

    /** The digest of both sets; nodes with the same digest have the same keys. */
    val digest: String get() = state.get().digest

    val grants: Collection<KeyGrant> get() = state.get().grants.values

    val tombstones: Set<KeyId> get() = state.get().tombstones

    /** Whether a whole state has been taken over since the start; before that, an unknown key proves nothing. */
    val isLoaded: Boolean get() = state.get().loaded

    override fun authenticate(bearerKey: String?): Result<KeyGrant, ServingError> {
        if (bearerKey.isNullOrEmpty()) return refused(ResultCode.KEY_MISSING, "the request has no key")
        val known = state.get()
        val sha256 = sha256Hex(bearerKey)
        val grants = known.bySha256[sha256].orEmpty().filter { constantTimeEquals(it.sha256, sha256) }
        return when {
            // A withdrawal never ends, so it is certain even when the state is old.
            grants.any { it.id in known.tombstones } -> refused(ResultCode.KEY_WITHDRAWN, "the key was withdrawn")
            !known.loaded -> stale("the keys are not loaded yet")
            !isFresh() -> stale("withdrawals of keys may be missing here")
            grants.isEmpty() -> refused(ResultCode.KEY_UNKNOWN, "the key is not known")
            else -> Ok(grants.first())
        }
    }

    /** Whether [grant] was withdrawn, or may have been without this node knowing. */
    override fun isWithdrawn(grant: KeyGrant): Boolean {
        val known = state.get()
        return known.bySha256[grant.sha256].orEmpty().any { it.id in known.tombstones } ||
            grant.id in known.tombstones ||
            !isFresh()
    }

    /**
     * Whether a withdrawal cannot have been missed for longer than the limit: this node has heard, directly or through
     * peers, from the platform or from every other failure domain within `fleet.keyStalenessLimitSeconds`. A fleet of
     * one failure domain is always fresh, because a withdrawal also goes directly to its nodes.
     */
    fun isFresh(): Boolean {
        val fleet = configuration.current?.manifest?.fleet ?: Fleet(failureDomains = emptyList())
        if (fleet.cutOffKeys == CutOffKeys.SERVE) return true
        val limitMillis = fleet.keyStalenessLimitSeconds * 1_000L
        if (members.platformAgeMillis().isWithin(limitMillis)) return true
        return fleet.failureDomains.map { it.id }.filter { it != members.self.failureDomain }
            .all { members.domainAgeMillis(it).isWithin(limitMillis) }
    }

    /** Merges [update] and returns what was new in it; [complete] says that the update was a whole state. */
    fun merge(update: KeyUpdate, complete: Boolean = false): KeyUpdate {
        while (true) {
            val before = state.get()
            val after = before.merged(update, complete)
            if (after === before) return KeyUpdate()
            if (state.compareAndSet(before, after)) {
                return KeyUpdate(
                    grants = update.grants.filter { before.grants[it.id] != it && after.grants[it.id] == it },
                    tombstones = update.tombstones.filter { it !in before.tombstones },
                )
            }
        }
    }

    /** The whole state. */
    fun all(): KeyUpdate = state.get().let { KeyUpdate(it.grants.values.toList(), it.tombstones.toList()) }

    /** What this node has and [other] lacks. */
    fun missingIn(other: KeyUpdate): KeyUpdate {
        val known = state.get()
        val otherGrants = other.grants.toSet()
        val otherTombstones = other.tombstones.toSet()
        return KeyUpdate(
            grants = known.grants.values.filter { it !in otherGrants },
            tombstones = known.tombstones.filter { it !in otherTombstones },
        )
    }

    private fun Long?.isWithin(limitMillis: Long) = this != null && this in 0..limitMillis

    private fun stale(message: String) =
        Err(ServingError.Unavailable(ResultCode.KEY_STATE_STALE, message, retryAfterMillis = 1_000))

    private fun refused(code: ResultCode, message: String) = Err(ServingError.NotAuthorized(code, message))

    private fun constantTimeEquals(left: String, right: String) =
        MessageDigest.isEqual(left.toByteArray(), right.toByteArray())
}

/** Both sets with their index and digest; immutable. */
private class KeyState(
    val grants: Map<KeyId, KeyGrant> = emptyMap(),
    val tombstones: Set<KeyId> = emptySet(),
    val loaded: Boolean = false,
) {
    val bySha256: Map<String, List<KeyGrant>> = grants.values.groupBy { it.sha256 }
    val digest: String by lazy {
        val lines = grants.values.map { "g ${it.id} ${it.customer} ${it.sha256}" } + tombstones.map { "t $it" }
        sha256Hex(lines.sorted().joinToString("\n"))
    }

    fun merged(update: KeyUpdate, complete: Boolean): KeyState {
        val newGrants = HashMap(grants)
        update.grants.forEach { grant -> newGrants.merge(grant.id, grant, ::preferred) }
        val newTombstones = tombstones + update.tombstones
        val nowLoaded = loaded || complete
        return when {
            newGrants == grants && newTombstones.size == tombstones.size && nowLoaded == loaded -> this
            else -> KeyState(newGrants, newTombstones, nowLoaded)
        }
    }

    /** The platform grants an id once, so two contents are a fault; all nodes choose the same one. */
    private fun preferred(left: KeyGrant, right: KeyGrant) =
        minOf(left, right, compareBy({ it.customer.value }, { it.sha256 }))
}
