package ragwortbarrow.core.placement

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId

/** The latest known description of a backend server. */
data class BackendServer(
    val id: BackendServerId,
    val service: String,
    val address: String,
    val failureDomain: FailureDomainId,
    /** Maximum number of requests that the server runs concurrently. */
    val slots: Int,
    val isDraining: Boolean = false,
    /** Identifies the start of the server's process, which may keep its id; null if the server does not tell. */
    val incarnation: Long? = null,
    /** How long the server stayed cold when it wrote its entry; null if the entry has no readable time. */
    val coldRemainingMillis: Long? = null,
    /** The platform's revision of the server's entry. */
    val entryRevision: Long = 0,
) {
    /** Whether only the revision differs from [earlier], or a time that has passed meanwhile. */
    fun isHeartbeatAfter(earlier: BackendServer): Boolean {
        val beforeMillis = earlier.coldRemainingMillis
        val isCountdown = if (coldRemainingMillis == null || beforeMillis == null) {
            coldRemainingMillis == beforeMillis
        } else {
            coldRemainingMillis <= beforeMillis
        }
        return isCountdown && copy(coldRemainingMillis = beforeMillis, entryRevision = earlier.entryRevision) == earlier
    }
}
