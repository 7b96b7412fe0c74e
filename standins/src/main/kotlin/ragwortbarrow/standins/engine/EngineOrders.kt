package ragwortbarrow.standins.engine

import kotlinx.serialization.Serializable

/** An order to an engine, such as to load a model or to change its role. */
@Serializable
data class EngineOrder(val fencingNumber: Long, val action: String, val argument: String = "")

/** Orders that the engine took; with [checksFencing] it refuses a lower fencing number than it has seen. */
internal class EngineOrders(private val checksFencing: Boolean) {
    private val taken = mutableListOf<EngineOrder>()

    /** False if the order is refused. */
    @Synchronized
    fun take(order: EngineOrder): Boolean {
        val highest = taken.maxOfOrNull { it.fencingNumber } ?: Long.MIN_VALUE
        if (checksFencing && order.fencingNumber < highest) return false
        taken += order
        return true
    }

    @Synchronized
    fun all(): List<EngineOrder> = taken.toList()
}
