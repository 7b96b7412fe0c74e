package ragwortbarrow.core.placement

/** How much time is left for a batch item beyond what it needs to run, from none to plenty. */
enum class Slack(
    /** Share of a server's slots, online requests included, up to which such an item may fill it. */
    val fillShare: Double,
) {
    PLENTY(0.5),
    SOME(0.75),
    NONE(0.9),
}

/**
 * How urgent a batch item is. It is due in [dueInMillis], which is negative afterwards, and needs [remainingMillis] more
 * of the [runMillis] that a whole run takes.
 *
 * Load pattern: more batch work than spare slots for a while, in slots that come and go with the online load. An item
 * that cannot be in time is worth little to its customer, so it goes behind those that can, and it is the first to
 * leave for an online request. Among the others the one that is nearly done goes first and leaves last: if the one that
 * is due first went first, all items would have run in part when they are due, and few to their end.
 */
data class Urgency(val dueInMillis: Long, val runMillis: Double, val remainingMillis: Double = runMillis) {
    /** Whether the item can still be done in time. */
    val isInTime: Boolean get() = dueInMillis >= remainingMillis

    val slack: Slack
        get() = when {
            !isInTime -> Slack.PLENTY
            dueInMillis > runMillis * PLENTY_RUNS -> Slack.PLENTY
            dueInMillis > runMillis * SOME_RUNS -> Slack.SOME
            else -> Slack.NONE
        }

    companion object {
        /** Start the first of this order first, and stop the last of it first. */
        val MOST_URGENT_FIRST: Comparator<Urgency> =
            compareBy<Urgency> { !it.isInTime }.thenBy { it.remainingMillis }.thenBy { it.dueInMillis }

        /** Run times that are left until the due time at the bounds of [Slack.PLENTY] and [Slack.SOME]. */
        private const val PLENTY_RUNS = 2.4
        private const val SOME_RUNS = 1.6
    }
}
