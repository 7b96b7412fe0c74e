package ragwortbarrow.core.serverlimit

/** What a backend server said [ageMillis] ago, as nodes tell each other. */
data class ServerLimitReport(
    /** Null if the server named a limit before and takes any number of requests now. */
    val requestsPerSecond: Double?,
    /** The process of the server that said so; null if the server does not tell. */
    val incarnation: Long?,
    val ageMillis: Long,
) {
    /** This report after [millis] have passed. */
    fun aged(millis: Long) = copy(ageMillis = ageMillis + millis)

    /** The newer one of two reports on the same server. */
    fun newer(other: ServerLimitReport) = if (other.ageMillis < ageMillis) other else this
}
