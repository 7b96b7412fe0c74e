package ragwortbarrow.core.membership

import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.ShardOwner
import ragwortbarrow.core.time.NANOS_PER_MILLI
import kotlin.random.Random

/**
 * Selects the entries of a gossip message, whose size is limited. Recently changed members come first, as full entries.
 * The remaining entries are heartbeats, those of the sender's failure domain first, in random order so that every
 * member is included regularly.
 */
internal class GossipSelector(private val settings: MembershipSettings, private val random: Random) {
    fun selectMembers(
        entries: Collection<MemberEntry>,
        ownDomain: FailureDomainId,
        receiver: MemberInfo?,
        nowNanos: Long,
    ): List<MemberInfo> {
        val limit = settings.maxEntries - 1
        val eligible = entries.filter {
            it.info.vm != receiver?.vm &&
                nowNanos - it.heartbeatAtNanos < settings.maxForwardAgeMillis * NANOS_PER_MILLI
        }
        val recentlyChanged = eligible
            .filter { nowNanos - it.changedAtNanos < FULL_ENTRY_MILLIS * NANOS_PER_MILLI }
            .sortedByDescending { it.changedAtNanos }
            .take(limit)
        val rest = (eligible - recentlyChanged.toSet()).shuffled(random)
            .sortedBy { rank(it, ownDomain, nowNanos) }
            .take(limit - recentlyChanged.size)
        // An unknown receiver may not know any member yet, so it gets full entries only.
        val fullCount = if (receiver == null) rest.size else UNCHANGED_FULL_ENTRIES
        val full = rest.shuffled(random).take(fullCount)
        val compact = rest - full.toSet()
        return (recentlyChanged + full).map { it.info } + compact.map { it.info.toCompactEntry() }
    }

    /** The own failure domain first, then recent heartbeats, which the receiver is less likely to know. */
    private fun rank(entry: MemberEntry, ownDomain: FailureDomainId, nowNanos: Long): Int = when {
        entry.info.failureDomain == ownDomain -> 0
        nowNanos - entry.heartbeatAtNanos < RECENT_HEARTBEAT_MILLIS * NANOS_PER_MILLI -> 1
        else -> 2
    }

    fun selectOwners(known: List<KnownOwner>): List<ShardOwner> {
        if (known.size <= settings.maxShardOwners) return known.map { it.owner }
        val newest = known.sortedByDescending { it.learnedAtNanos }.take(settings.maxShardOwners / 2)
        val rest = (known - newest.toSet()).shuffled(random).take(settings.maxShardOwners - newest.size)
        return (newest + rest).map { it.owner }
    }

    private companion object {
        /** How long a changed member is sent as a full entry; longer than a change takes to reach every node. */
        const val FULL_ENTRY_MILLIS = 10_000L

        /** Number of unchanged members sent as full entries, for receivers that missed a change. */
        const val UNCHANGED_FULL_ENTRIES = 2

        /** One period of the gossip between failure domains. */
        const val RECENT_HEARTBEAT_MILLIS = 5_000L
    }
}
