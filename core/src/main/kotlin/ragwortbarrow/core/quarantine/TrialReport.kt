package ragwortbarrow.core.quarantine

/** What a node knows of the trials of a quarantined part. */
data class TrialReport(
    /** Trials that were announced. */
    val started: Int = 0,
    /** Of the announced trials, those that no server got. */
    val returned: Int = 0,
    /** The first of the items that the node, or one that it relays, could send, or has sent, as a trial. */
    val firstCandidate: String? = null,
) {
    operator fun plus(other: TrialReport) = TrialReport(
        maxOf(started, other.started),
        maxOf(returned, other.returned),
        listOfNotNull(firstCandidate, other.firstCandidate).minOrNull(),
    )
}
