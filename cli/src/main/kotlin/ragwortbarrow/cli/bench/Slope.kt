package ragwortbarrow.cli.bench

import org.apache.commons.math3.stat.regression.SimpleRegression
import java.util.Locale

/**
 * One cost measured at several sizes. [planSize] is the size in the plan that `docs/CAPACITY.md` works out, so
 * [atPlan] is an extrapolation unless that size was measured.
 */
internal data class Slope(
    val name: String,
    val sizeOf: String,
    val unit: String,
    val planSize: Double,
    val points: List<Pair<Double, Double>>,
) {
    private val fit = SimpleRegression().apply { points.forEach { (size, value) -> addData(size, value) } }

    /** Cost for each further unit of size. */
    val perUnit: Double get() = fit.slope
    val atZero: Double get() = fit.intercept
    val atPlan: Double get() = fit.predict(planSize)

    fun csvLines(): List<String> = points.map { (size, value) ->
        "$name,$sizeOf,${size.toLong()},${"%.3f".format(Locale.ROOT, value)},$unit"
    }

    override fun toString(): String = "slope=$name per=$sizeOf unit=$unit " +
        "measured=${points.joinToString("|") { (size, value) ->
            "${size.toLong()}:${"%.2f".format(Locale.ROOT, value)}"
        }} " +
        "per_unit=%.4g at_zero=%.4g plan_size=%.0f at_plan=%.4g r2=%.3f"
            .format(Locale.ROOT, perUnit, atZero, planSize, atPlan, fit.rSquare)
}
