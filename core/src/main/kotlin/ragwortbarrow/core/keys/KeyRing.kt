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
 * The keys known to this node: grants and tombstones in two grow-only sets, where a tombstone overrides a grant.
 * Merging is commutative and idempotent, so updates may arrive in any order and more than once.
 *
 * When the state is older than the manifest allows (see [isFresh]), keys are refused, so that no request is served with
 * a key that may have been withdrawn.
 */
class KeyRing(private val members: MemberView, private val configuration: ConfigurationView) : KeyView {
    private val state = AtomicReference(KeyState())

    /** Digest of both sets; nodes with equal digests have the same keys. */
    val digest: String get() = state.get().digest

    val grants: Collection<KeyGrant> get() = state.get().grants.values

    val tombstones: Set<KeyId> get() = state.get().tombstones

    /** Whether a complete state was merged since the start; before that, an unknown key may still be valid. */
    val isLoaded: Boolean get() = state.get().loaded

    override fun authenticate(bearerKey: String?): Result<KeyGrant, ServingError> {
        if (bearerKey.isNullOrEmpty()) return refusal(ResultCode.KEY_MISSING, "the request has no key")
        val current = state.get()
        val sha256 = sha256Hex(bearerKey)
        val grants = current.bySha256[sha256].orEmpty().filter { constantTimeEquals(it.sha256, sha256) }
        return when {
            // Withdrawals are permanent, so this result is correct even if the state is stale.
            grants.any { it.id in current.tombstones } -> refusal(ResultCode.KEY_WITHDRAWN, "the key was withdrawn")
            !current.loaded -> staleStateError("the keys are not loaded yet")
            !isFresh() -> staleStateError("this node may have missed key withdrawals")
            grants.isEmpty() -> refusal(ResultCode.KEY_UNKNOWN, "the key is unknown")
            else -> Ok(grants.first())
        }
    }

    /** Also true when the state is stale, because this node may then have missed the withdrawal of [grant]. */
    override fun isWithdrawn(grant: KeyGrant): Boolean {
        val current = state.get()
        return current.bySha256[grant.sha256].orEmpty().any { it.id in current.tombstones } ||
            grant.id in current.tombstones ||
            !isFresh()
    }

    /**
     * Whether every withdrawal older than `fleet.keyStalenessLimitSeconds` is known here: within that time this node
     * received data, directly or through peers, from the platform or from every other failure domain. A fleet with one
     * failure domain is always fresh, because withdrawals are also sent directly to its nodes.
     */
    fun isFresh(): Boolean {
        val fleet = configuration.current?.manifest?.fleet ?: Fleet(failureDomains = emptyList())
        if (fleet.cutOffKeys == CutOffKeys.SERVE) return true
        val limitMillis = fleet.keyStalenessLimitSeconds * 1_000L
        if (members.platformAgeMillis().isWithin(limitMillis)) return true
        return fleet.failureDomains.map { it.id }.filter { it != members.self.failureDomain }
            .all { members.domainAgeMillis(it).isWithin(limitMillis) }
    }

    /** Merges [update] and returns its new entries; [complete] marks the update as a complete state. */
    fun merge(update: KeyUpdate, complete: Boolean = false): KeyUpdate {
        while (true) {
            val before = state.get()
            val after = before.mergedWith(update, complete)
            if (after === before) return KeyUpdate()
            if (state.compareAndSet(before, after)) {
                return KeyUpdate(
                    grants = update.grants.filter { before.grants[it.id] != it && after.grants[it.id] == it },
                    tombstones = update.tombstones.filter { it !in before.tombstones },
                )
            }
        }
    }

    /** Returns the complete state. */
    fun all(): KeyUpdate = state.get().let { KeyUpdate(it.grants.values.toList(), it.tombstones.toList()) }

    /** Returns the entries of this node that [other] lacks. */
    fun missingIn(other: KeyUpdate): KeyUpdate {
        val current = state.get()
        val otherGrants = other.grants.toSet()
        val otherTombstones = other.tombstones.toSet()
        return KeyUpdate(
            grants = current.grants.values.filter { it !in otherGrants },
            tombstones = current.tombstones.filter { it !in otherTombstones },
        )
    }

    private fun Long?.isWithin(limitMillis: Long) = this != null && this in 0..limitMillis

    private fun staleStateError(message: String) =
        Err(ServingError.Unavailable(ResultCode.KEY_STATE_STALE, message, retryAfterMillis = 1_000))

    private fun refusal(code: ResultCode, message: String) = Err(ServingError.NotAuthorized(code, message))

    private fun constantTimeEquals(left: String, right: String) =
        MessageDigest.isEqual(left.toByteArray(), right.toByteArray())
}

/** Immutable state of a [KeyRing]: both sets with their index and digest. */
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

    fun mergedWith(update: KeyUpdate, complete: Boolean): KeyState {
        val newGrants = HashMap(grants)
        update.grants.forEach { grant -> newGrants.merge(grant.id, grant, ::preferred) }
        val newTombstones = tombstones + update.tombstones
        val nowLoaded = loaded || complete
        return when {
            newGrants == grants && newTombstones.size == tombstones.size && nowLoaded == loaded -> this
            else -> KeyState(newGrants, newTombstones, nowLoaded)
        }
    }

    /** The platform grants each id once, so two grants of one id are an error; all nodes keep the same one. */
    private fun preferred(left: KeyGrant, right: KeyGrant) =
        minOf(left, right, compareBy({ it.customer.value }, { it.sha256 }))
}
