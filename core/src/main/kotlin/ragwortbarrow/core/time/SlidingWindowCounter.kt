package ragwortbarrow.core.time

/** Counts events, or sums amounts, of the last [windowMillis], with a resolution of one fiftieth of the window. */
internal class SlidingWindowCounter(private val windowMillis: Long) {
    private val bucketMillis = (windowMillis / BUCKETS).coerceAtLeast(1)
    private val buckets = IntArray(BUCKETS.toInt() + 1)
    private var newestBucket = Long.MIN_VALUE
    private var sum = 0

    fun add(nowMillis: Long, amount: Int = 1) {
        advance(nowMillis)
        buckets[index(newestBucket)] += amount
        sum += amount
    }

    /** Removes the newest event. */
    fun remove() {
        if (newestBucket == Long.MIN_VALUE) return
        val bucket = (newestBucket downTo newestBucket - BUCKETS).firstOrNull { buckets[index(it)] > 0 } ?: return
        buckets[index(bucket)]--
        sum--
    }

    fun sum(nowMillis: Long): Int {
        advance(nowMillis)
        return sum
    }

    private fun advance(nowMillis: Long) {
        val bucket = nowMillis / bucketMillis
        if (newestBucket == Long.MIN_VALUE) newestBucket = bucket
        if (bucket - newestBucket > BUCKETS) {
            buckets.fill(0)
            sum = 0
            newestBucket = bucket
        }
        while (newestBucket < bucket) {
            newestBucket++
            sum -= buckets[index(newestBucket)]
            buckets[index(newestBucket)] = 0
        }
    }

    private fun index(bucket: Long) = Math.floorMod(bucket, buckets.size)

    private companion object {
        const val BUCKETS = 50L
    }
}
