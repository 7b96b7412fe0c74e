package ragwortbarrow.core.membership

import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.ConcurrentHashMap

/**
 * When this node last heard from the platform and of each failure domain, directly or through peers.
 *
 * Only replies to this node's own calls count, from the instant at which the call was sent. A call received from a peer
 * may have waited in a socket buffer while this process was paused, so its ages prove nothing about the present.
 */
internal class ContactAges(private val timer: TimerService) {
    private val heardAtNanos = ConcurrentHashMap<String, Long>()

    fun recordPlatformContact(atNanos: Long) = heard(PLATFORM, atNanos)

    fun heardOf(failureDomain: FailureDomainId, atNanos: Long) = heard(failureDomain.value, atNanos)

    fun platformAgeMillis(): Long? = ageMillis(PLATFORM)

    fun domainAgeMillis(failureDomain: FailureDomainId): Long? = ageMillis(failureDomain.value)

    fun domainAgesMillis(): Map<FailureDomainId, Long> = heardAtNanos.keys
        .filter { it != PLATFORM }
        .mapNotNull { key -> ageMillis(key)?.let { FailureDomainId(key) to it } }
        .toMap()

    private fun heard(key: String, atNanos: Long) {
        heardAtNanos.merge(key, atNanos) { known, new -> if (new - known > 0) new else known }
    }

    private fun ageMillis(key: String): Long? = heardAtNanos[key]?.let { (timer.nanoTime() - it) / NANOS_PER_MILLI }

    private companion object {
        /** No failure domain has an empty name. */
        const val PLATFORM = ""
    }
}
