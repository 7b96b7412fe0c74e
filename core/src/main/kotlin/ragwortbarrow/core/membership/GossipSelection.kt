package ragwortbarrow.core.membership

import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.ShardOwner
import ragwortbarrow.core.time.NANOS_PER_MILLI
import kotlin.random.Random

/**
 * Chooses what a bounded message carries. Members that changed lately come first and whole. The rest of the room goes
 * to heartbeats, those of the sender's failure domain before others, and in random order, so that no member is left
 * out for long.
 */
internal class GossipSelection(private val settings: MembershipSettings, private val random: Random) {
    fun members(
        entries: Collection<MemberEntry>,
        ownDomain: FailureDomainId,
        receiver: MemberInfo?,
        nowNanos: Long,
    ): List<MemberInfo> {
        val room = settings.maxEntries - 1
        val spreadable = entries.filter {
            it.info.vm != receiver?.vm && nowNanos - it.movedAtNanos < settings.silenceMillis * NANOS_PER_MILLI
        }
        val newest = spreadable
            .filter { nowNanos - it.changedAtNanos < CHANGE_MILLIS * NANOS_PER_MILLI }
            .sortedByDescending { it.changedAtNanos }
            .take(room)
        val rest = (spreadable - newest.toSet()).shuffled(random)
            .sortedBy { rank(it, ownDomain, nowNanos) }
            .take(room - newest.size)
        // Without a known receiver every entry is whole: it may know nobody yet.
        val wholeCount = if (receiver == null) rest.size else WHOLE_ENTRIES
        val whole = rest.shuffled(random).take(wholeCount)
        val short = rest - whole.toSet()
        return (newest + whole).map { it.info } + short.map { it.info.toShortEntry() }
    }

    /** Own failure domain first; a heartbeat that moved lately is more likely to be news than an older one. */
    private fun rank(entry: MemberEntry, ownDomain: FailureDomainId, nowNanos: Long): Int = when {
        entry.info.failureDomain == ownDomain -> 0
        nowNanos - entry.movedAtNanos < FRESH_MILLIS * NANOS_PER_MILLI -> 1
        else -> 2
    }

    fun owners(known: List<KnownOwner>): List<ShardOwner> {
        if (known.size <= settings.maxShardOwners) return known.map { it.owner }
        val newest = known.sortedByDescending { it.learnedAtNanos }.take(settings.maxShardOwners / 2)
        val rest = (known - newest.toSet()).shuffled(random).take(settings.maxShardOwners - newest.size)
        return (newest + rest).map { it.owner }
    }

    private companion object {
        /** A change is sent whole for this time, which is longer than it takes to reach every node. */
        const val CHANGE_MILLIS = 10_000L

        /** Whole entries among the unchanged ones, for a receiver that missed a change. */
        const val WHOLE_ENTRIES = 2

        /** One period of the exchanges between failure domains. */
        const val FRESH_MILLIS = 5_000L
    }
}
