package ragwortbarrow.standins.platform

import kotlinx.serialization.Serializable

/** The fault switches of a [PlatformServer]; the JSON form is the body of `PUT /dev/faults`. */
@Serializable
data class PlatformFaults(
    /** Waits before each call takes effect. */
    val delayMillis: Long = 0,
    /** Answers every call with 503 and ends the watches. */
    val outage: Boolean = false,
    /** The share of writes, from 0 to 1, whose connection is closed after they took effect, without an answer. */
    val loseWriteReplies: Double = 0.0,
    /** Answers reads from the state at the moment the switch was set. */
    val staleReads: Boolean = false,
    /** Answers 429 beyond this rate; 0 is no limit. */
    val callsPerSecond: Int = 0,
    /** Holds back the events of watches, which stay open. */
    val silentWatches: Boolean = false,
    /** Limits the faults to these kinds, given as in the paths of the API; empty is all kinds. */
    val kinds: List<String> = emptyList(),
) {
    internal fun concerns(kindPath: String) = kinds.isEmpty() || kindPath in kinds
}
