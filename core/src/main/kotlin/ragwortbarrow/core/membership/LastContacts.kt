package ragwortbarrow.core.membership

import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.ConcurrentHashMap

/**
 * The times of the last contact with the platform and with each failure domain, directly or through peers.
 *
 * Only replies to this node's own calls count, with the time when the call was sent. A call received from a peer may
 * have waited in a socket buffer while this process was paused, so the ages in it may be out of date.
 */
internal class LastContacts(private val timer: TimerService) {
    private val lastContactNanos = ConcurrentHashMap<String, Long>()

    fun recordPlatformContact(atNanos: Long) = recordContact(PLATFORM, atNanos)

    fun recordDomainContact(failureDomain: FailureDomainId, atNanos: Long) = recordContact(failureDomain.value, atNanos)

    fun platformAgeMillis(): Long? = ageMillis(PLATFORM)

    fun domainAgeMillis(failureDomain: FailureDomainId): Long? = ageMillis(failureDomain.value)

    fun domainAgesMillis(): Map<FailureDomainId, Long> = lastContactNanos.keys
        .filter { it != PLATFORM }
        .mapNotNull { key -> ageMillis(key)?.let { FailureDomainId(key) to it } }
        .toMap()

    private fun recordContact(key: String, atNanos: Long) {
        lastContactNanos.merge(key, atNanos) { known, new -> if (new - known > 0) new else known }
    }

    private fun ageMillis(key: String): Long? = lastContactNanos[key]?.let { (timer.nanoTime() - it) / NANOS_PER_MILLI }

    private companion object {
        /** No failure domain has an empty name. */
        const val PLATFORM = ""
    }
}
