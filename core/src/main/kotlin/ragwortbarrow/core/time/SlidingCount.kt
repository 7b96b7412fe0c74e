package ragwortbarrow.core.time

/** Counts events of the last [windowMillis], in slices of a fiftieth of the window. */
internal class SlidingCount(private val windowMillis: Long) {
    private val sliceMillis = (windowMillis / SLICES).coerceAtLeast(1)
    private val slices = IntArray(SLICES.toInt() + 1)
    private var newestSlice = Long.MIN_VALUE
    private var sum = 0

    fun add(nowMillis: Long) {
        advance(nowMillis)
        slices[index(newestSlice)]++
        sum++
    }

    /** Takes back the newest event. */
    fun remove() {
        if (newestSlice == Long.MIN_VALUE) return
        val slice = (newestSlice downTo newestSlice - SLICES).firstOrNull { slices[index(it)] > 0 } ?: return
        slices[index(slice)]--
        sum--
    }

    fun sum(nowMillis: Long): Int {
        advance(nowMillis)
        return sum
    }

    private fun advance(nowMillis: Long) {
        val slice = nowMillis / sliceMillis
        if (newestSlice == Long.MIN_VALUE) newestSlice = slice
        if (slice - newestSlice > SLICES) {
            slices.fill(0)
            sum = 0
            newestSlice = slice
        }
        while (newestSlice < slice) {
            newestSlice++
            sum -= slices[index(newestSlice)]
            slices[index(newestSlice)] = 0
        }
    }

    private fun index(slice: Long) = Math.floorMod(slice, slices.size)

    private companion object {
        const val SLICES = 50L
    }
}
