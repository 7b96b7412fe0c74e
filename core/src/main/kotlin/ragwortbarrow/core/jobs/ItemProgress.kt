package ragwortbarrow.core.jobs

/** The outcome of one run of a batch item. */
sealed interface RunOutcome {
    /** The output is complete. */
    data object Completed : RunOutcome

    /** The backend server ran the item and failed. */
    data object Failed : RunOutcome

    /** The item can never succeed. */
    data object Impossible : RunOutcome

    /** The run was interrupted or did not start. The output received so far is kept, and the item resumes after it. */
    data class Interrupted(val reason: String, val wasSent: Boolean = true) : RunOutcome
}

/** A job item that this node runs: its failed attempts and the output received so far. */
class ItemProgress(
    val item: BatchItem,
    /** Ids of the parts that the item's prompt may share with others. */
    val sharedPromptParts: List<String> = emptyList(),
) {
    private var output = StringBuilder()
    private var failedAttempts = 0

    /** Monotonic time before which the item is not started again. */
    var startableAtMillis = Long.MIN_VALUE

    /** Monotonic time at which the first run of the output received so far began, or null before it. */
    var firstStartMillis: Long? = null

    /** Id of the last event that was received completely, or null before the first one. */
    var lastEventId: Long? = null
        private set

    /** Size of the output received so far as JSON text, in bytes. */
    var outputBytes = 0
        private set

    /** The final result, or null while the item has none. */
    var result: ItemResult? = null
        private set

    /** Appends the data of an event, unless it was received before. Returns false if events before it are missing. */
    fun appendEvent(id: Long, data: String): Boolean {
        val last = lastEventId
        if (last != null && id <= last) return true
        if (last != null && id != last + 1) return false
        if (last != null) output.append('\n')
        output.append(data)
        outputBytes += encodedBytes(data) + encodedBytes("\n")
        lastEventId = id
        return true
    }

    /** Discards the output received so far; the next run begins at the first event. */
    fun startOver() {
        output = StringBuilder()
        outputBytes = 0
        lastEventId = null
        firstStartMillis = null
    }

    /** Applies the [outcome] of a run; the item fails after [maxAttempts] failed runs. */
    fun applyOutcome(outcome: RunOutcome, maxAttempts: Int) {
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

    /** Sets a failed result without output, unless the item already has a result. */
    fun fail() {
        if (result == null) result = ItemResult(item.id, isCompleted = false)
    }
}
