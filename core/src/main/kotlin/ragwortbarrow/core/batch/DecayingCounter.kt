package ragwortbarrow.core.batch

import kotlin.math.ln
import kotlin.math.pow

/** A sum whose amounts decay exponentially: each loses half of its weight every [halfLifeMillis]. */
internal class DecayingCounter(private val halfLifeMillis: Long = 60_000) {
    private var value = 0.0
    private var updatedAtMillis = 0L

    fun add(amount: Double, nowMillis: Long) {
        value = valueAt(nowMillis) + amount
        updatedAtMillis = nowMillis
    }

    fun valueAt(nowMillis: Long): Double = value * 0.5.pow((nowMillis - updatedAtMillis).toDouble() / halfLifeMillis)

    /** The rate of additions that would keep the sum at its current value. */
    fun perSecondAt(nowMillis: Long): Double = valueAt(nowMillis) * ln(2.0) * 1_000 / halfLifeMillis
}
