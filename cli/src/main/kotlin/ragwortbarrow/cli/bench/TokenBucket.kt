package ragwortbarrow.cli.bench

/** An ideal bucket of the whole fleet: the measure that the policies are compared with. */
internal class TokenBucket(private val ratePerSecond: Double, private val burst: Double) {
    private var level = burst
    private var lastNanos = 0L

    fun tryTake(nanos: Long): Boolean {
        level = (level + ratePerSecond * (nanos - lastNanos) / 1e9).coerceAtMost(burst)
        lastNanos = nanos
        return (level >= 1.0 - EPSILON).also { if (it) level -= 1 }
    }

    private companion object {
        const val EPSILON = 1e-9
    }
}

/** The most by which admissions exceeded burst + rate * interval over any interval. */
internal class ExcessMeter(private val ratePerSecond: Double, private val burst: Int) {
    private var filled = 0.0
    private var lastNanos = 0L
    var excess = 0.0
        private set

    fun admitted(nanos: Long) {
        filled = (filled - ratePerSecond * (nanos - lastNanos) / 1e9).coerceAtLeast(0.0) + 1
        lastNanos = nanos
        excess = maxOf(excess, filled - burst - ROUNDING)
    }

    private companion object {
        /** Covers the rounding of binary fractions, far below one request. */
        const val ROUNDING = 1e-6
    }
}
