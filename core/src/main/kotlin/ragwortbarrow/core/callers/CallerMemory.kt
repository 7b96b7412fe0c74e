package ragwortbarrow.core.callers

import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService

/**
 * The account of what a process holds for all its callers: heads and bodies while they arrive, requests that wait or
 * are handled, and unsent bytes of responses. It answers the load of callers that are not controlled, who each keep to
 * the limits of a single request and together send more than the process has memory or descriptors for.
 *
 * When the account is full, connections whose request has not begun are evicted: first those that stalled, then those
 * that hold the most. Requests that are handled keep what they hold. Requests of more than [SMALL_BYTES] may fill only
 * a share of the account, so that ordinary callers find room beside them.
 */
class CallerMemory(private val limits: CallerMemoryLimits, private val timer: TimerService) {
    private val holders = LinkedHashSet<Holder>()

    /** What is held for all callers, connections included. */
    var totalBytes = 0L
        private set

    val connections: Int get() = holders.size

    /** The account of one connection; [evict] has to release what is reclaimable, or to close the connection. */
    inner class Holder internal constructor(private val evict: (EvictionReason) -> Unit) {
        private var progressNanos = timer.nanoTime()
        private var isOpen = true

        /** Held for requests that have not begun. */
        var reclaimableBytes = 0L
            private set

        /** Held for the request that is handled. */
        var pinnedBytes = 0L
            private set

        /** Held for responses that the caller has not taken yet. */
        var unsentBytes = 0L
            private set

        internal val isStalled: Boolean get() = idleNanos >= STALLED_MILLIS * NANOS_PER_MILLI
        internal val idleNanos: Long get() = timer.nanoTime() - progressNanos

        /** What an eviction of this connection would release now. */
        internal val evictableBytes: Long get() = reclaimableBytes + if (isStalled) unsentBytes else 0L

        /** Whether the connection can be closed without the loss of a request that is handled, or of a response. */
        internal val isEvictable: Boolean get() = pinnedBytes == 0L && (unsentBytes == 0L || isStalled)

        /** Adjusts what is held for requests that have not begun; evicts connections if it does not fit. */
        fun setReclaimable(bytes: Long) {
            if (!isOpen) return
            val growth = bytes - reclaimableBytes
            reclaimableBytes = bytes
            add(growth)
            progressNanos = timer.nanoTime()
            if (growth > 0) makeRoom()
        }

        fun setPinned(bytes: Long) {
            if (!isOpen) return
            add(bytes - pinnedBytes)
            pinnedBytes = bytes
        }

        /** Adds [bytes] to what is held for the handled request, if there is room after evictions. */
        fun tryPin(bytes: Long): Boolean {
            val boundBytes = if (bytes <= SMALL_BYTES) limits.limitBytes else limits.largeRequestBytes
            // Nobody is evicted for a request that would not fit even then.
            if (totalBytes + bytes - holders.sumOf { it.evictableBytes } > boundBytes) return false
            makeRoom(bytes)
            if (totalBytes + bytes > boundBytes) return false
            setPinned(pinnedBytes + bytes)
            return true
        }

        /** Counts [bytes] of a response that were handed to the connection, or that left it if negative. */
        fun addUnsent(bytes: Long) {
            if (!isOpen) return
            unsentBytes += bytes
            add(bytes)
            progressNanos = timer.nanoTime()
            if (bytes > 0) makeRoom()
        }

        fun close() {
            if (!isOpen) return
            add(-(reclaimableBytes + pinnedBytes + unsentBytes + CONNECTION_BYTES))
            isOpen = false
            reclaimableBytes = 0
            pinnedBytes = 0
            unsentBytes = 0
            holders -= this
        }

        private fun add(bytes: Long) {
            totalBytes += bytes
        }

        internal fun evict(reason: EvictionReason) = evict.invoke(reason)
    }

    /** Opens the account of a new connection, for which another one may be evicted; null if there is no room for it. */
    fun open(evict: (EvictionReason) -> Unit): Holder? {
        if (holders.size >= limits.maxConnections) {
            val victim = holders.filter { it.isEvictable }.maxByOrNull { it.idleNanos } ?: return null
            victim.close()
            victim.evict(EvictionReason.CONNECTIONS)
        }
        val holder = Holder(evict)
        holders += holder
        totalBytes += CONNECTION_BYTES
        makeRoom()
        return holder
    }

    private fun makeRoom(neededBytes: Long = 0) {
        while (totalBytes + neededBytes > limits.largeRequestBytes) {
            val smallestBytes = if (totalBytes + neededBytes > limits.limitBytes) 0L else SMALL_BYTES
            val victim = holders.filter { it.evictableBytes > smallestBytes }
                .maxWithOrNull(compareBy<Holder> { it.isStalled }.thenBy { it.evictableBytes }) ?: return
            val evictableBytes = victim.evictableBytes
            victim.evict(EvictionReason.MEMORY)
            // A connection that released nothing is closed, or it would be chosen again and again.
            if (victim.evictableBytes >= evictableBytes) victim.evict(EvictionReason.CONNECTIONS)
            if (victim.evictableBytes >= evictableBytes) victim.close()
        }
    }

    companion object {
        /** Requests up to this size may fill the whole account. */
        const val SMALL_BYTES = 64L * 1024

        /** An open connection without a request: its channel, handlers and buffers. */
        const val CONNECTION_BYTES = 4L * 1024

        /** Time without progress after which a connection is evicted before those that make progress. */
        const val STALLED_MILLIS = 1_000L
    }
}

/** Why a connection was evicted. */
enum class EvictionReason { MEMORY, CONNECTIONS }

/** Bounds of what a process holds for its callers. */
data class CallerMemoryLimits(val limitBytes: Long, val maxConnections: Int) {
    /** The part of the account that requests of more than [CallerMemory.SMALL_BYTES] may fill. */
    val largeRequestBytes: Long get() = limitBytes / FOUR * LARGE_QUARTERS

    companion object {
        /**
         * Limits of a process with [heapBytes] of heap and [maxDescriptors]. The rest of the heap is for the responses
         * of servers, batch jobs, and the state of the fleet.
         */
        fun of(heapBytes: Long, maxDescriptors: Int): CallerMemoryLimits {
            val limitBytes = heapBytes / FOUR
            val descriptors = (maxDescriptors - FILE_DESCRIPTORS).coerceAtLeast(FOUR) / FOUR * CALLER_QUARTERS
            val connections = limitBytes / FOUR / CallerMemory.CONNECTION_BYTES
            return CallerMemoryLimits(limitBytes, minOf(descriptors.toLong(), connections).toInt())
        }

        /** Descriptors of the process that are no connections. */
        private const val FILE_DESCRIPTORS = 200

        /** The share of the other descriptors for callers; the rest is for backend servers, peers and the store. */
        private const val CALLER_QUARTERS = 2

        private const val LARGE_QUARTERS = 3
        private const val FOUR = 4
    }
}
