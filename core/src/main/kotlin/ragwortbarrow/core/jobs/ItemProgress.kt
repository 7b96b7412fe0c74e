package ragwortbarrow.core.jobs

/** What follows from one run of a batch item. */
sealed interface RunOutcome {
    /** The output is whole. */
    data object Completed : RunOutcome

    /** The backend server ran the item and failed. */
    data object Failed : RunOutcome

    /** The item can never be done. */
    data object Impossible : RunOutcome

    /** The run broke off or did not begin; what has arrived is kept, and the item goes on from there. */
    data class Interrupted(val reason: String) : RunOutcome
}

/** An item of a job that this node runs: its attempts and the output that has arrived so far. */
class ItemProgress(val item: BatchItem, private val maxAttempts: Int) {
    private val output = StringBuilder()
    private var failedAttempts = 0

    /** Id of the last event that has arrived whole, or null before the first one. */
    var lastEventId: Long? = null
        private set

    /** The final result, once there is one. */
    var result: ItemResult? = null
        private set

    /** Adds the data of one event; an event that has arrived before is skipped. False if one is missing before it. */
    fun appendEvent(id: Long, data: String): Boolean {
        val last = lastEventId
        if (last != null && id <= last) return true
        if (last != null && id != last + 1) return false
        if (last != null) output.append('\n')
        output.append(data)
        lastEventId = id
        return true
    }

    fun applyOutcome(outcome: RunOutcome) {
        when (outcome) {
            RunOutcome.Completed -> result = ItemResult(item.id, isCompleted = true, output = output.toString())
            RunOutcome.Failed -> {
                failedAttempts++
                if (failedAttempts >= maxAttempts) fail()
            }
            RunOutcome.Impossible -> fail()
            is RunOutcome.Interrupted -> Unit
        }
    }

    /** The item ends without an output. */
    fun fail() {
        if (result == null) result = ItemResult(item.id, isCompleted = false)
    }
}
