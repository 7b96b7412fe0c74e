package ragwortbarrow.standins.platform

import kotlinx.serialization.Serializable

/** Faults that a [PlatformServer] injects; the JSON form is the body of `PUT /dev/faults`. */
@Serializable
data class PlatformFaults(
    /** Delays each call before it is executed. */
    val delayMillis: Long = 0,
    /** Responds with 503 to every call and ends open watches. */
    val outage: Boolean = false,
    /** The fraction of writes, from 0 to 1, that take effect but whose connection is closed without a response. */
    val loseWriteReplies: Double = 0.0,
    /** Serves reads from a snapshot taken when the fault was set. */
    val staleReads: Boolean = false,
    /** Responds with 429 to calls above this rate; 0 means no limit. */
    val callsPerSecond: Int = 0,
    /** Withholds the events of watches while keeping them open. */
    val silentWatches: Boolean = false,
    /** Limits the faults to these kinds, named as in the API paths; empty means all kinds. */
    val kinds: List<String> = emptyList(),
) {
    internal fun affects(kindPath: String) = kinds.isEmpty() || kindPath in kinds
}
