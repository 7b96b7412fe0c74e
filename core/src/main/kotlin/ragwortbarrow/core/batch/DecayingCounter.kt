package ragwortbarrow.core.batch

import kotlin.math.ln
import kotlin.math.pow

/** A sum in which an amount counts half after each [halfLifeMillis]. */
internal class DecayingCounter(private val halfLifeMillis: Long = 60_000) {
    private var value = 0.0
    private var atMillis = 0L

    fun add(amount: Double, nowMillis: Long) {
        value = valueAt(nowMillis) + amount
        atMillis = nowMillis
    }

    fun valueAt(nowMillis: Long): Double = value * 0.5.pow((nowMillis - atMillis).toDouble() / halfLifeMillis)

    /** The rate that keeps the sum at its present value. */
    fun perSecondAt(nowMillis: Long): Double = valueAt(nowMillis) * ln(2.0) * 1_000 / halfLifeMillis
}
