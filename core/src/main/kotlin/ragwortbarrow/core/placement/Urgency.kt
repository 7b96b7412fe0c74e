package ragwortbarrow.core.placement

/** How much time a batch item has until its due time, beyond the time that it needs to run. */
enum class Slack(
    /** Share of a server's slots, including online requests, up to which items with this slack may fill it. */
    val maxUtilization: Double,
) {
    PLENTY(0.5),
    SOME(0.75),
    NONE(0.9),
}

/**
 * The urgency of a batch item. The item is due in [dueInMillis], which is negative once it is overdue, and still needs
 * [remainingMillis] of the [runMillis] that a full run takes.
 *
 * There can be more batch work than free slots for a while, and the free slots vary with the online load. An item that
 * cannot complete in time has little value for its customer, so it is started after those that can, and is the first to
 * be preempted for an online request. Among the others, the one with the shortest remaining run time is started first
 * and preempted last. Ordering them by due time instead would leave most items partially run at their due time, and few
 * complete.
 */
data class Urgency(val dueInMillis: Long, val runMillis: Double, val remainingMillis: Double = runMillis) {
    /** Whether the item can still complete by its due time. */
    val isFeasible: Boolean get() = dueInMillis >= remainingMillis

    val slack: Slack
        get() = when {
            !isFeasible -> Slack.PLENTY
            dueInMillis > runMillis * PLENTY_RUNS -> Slack.PLENTY
            dueInMillis > runMillis * SOME_RUNS -> Slack.SOME
            else -> Slack.NONE
        }

    companion object {
        /** The order in which items are started; they are preempted in the reverse order. */
        val MOST_URGENT_FIRST: Comparator<Urgency> =
            compareBy<Urgency> { !it.isFeasible }.thenBy { it.remainingMillis }.thenBy { it.dueInMillis }

        /** Lower bounds of [Slack.PLENTY] and [Slack.SOME]: the time until the due time, in full run times. */
        private const val PLENTY_RUNS = 2.4
        private const val SOME_RUNS = 1.6
    }
}
