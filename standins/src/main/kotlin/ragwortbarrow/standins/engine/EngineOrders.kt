package ragwortbarrow.standins.engine

import kotlinx.serialization.Serializable

/** A control command to an engine, such as loading a model or changing its role. */
@Serializable
data class EngineOrder(val fencingNumber: Long, val action: String, val argument: String = "")

/** The orders that the engine accepted; with [checksFencing] it rejects fencing numbers below the highest accepted. */
internal class EngineOrders(private val checksFencing: Boolean) {
    private val accepted = mutableListOf<EngineOrder>()

    /** Returns false if the order is rejected. */
    @Synchronized
    fun tryAccept(order: EngineOrder): Boolean {
        val highest = accepted.maxOfOrNull { it.fencingNumber } ?: Long.MIN_VALUE
        if (checksFencing && order.fencingNumber < highest) return false
        accepted += order
        return true
    }

    @Synchronized
    fun all(): List<EngineOrder> = accepted.toList()
}
