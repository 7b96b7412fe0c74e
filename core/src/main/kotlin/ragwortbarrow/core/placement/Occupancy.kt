package ragwortbarrow.core.placement

/** The number of requests in flight at one backend server. */
data class Occupancy(val online: Int = 0, val batch: Int = 0) {
    val total: Int get() = online + batch

    operator fun plus(other: Occupancy): Occupancy = Occupancy(online + other.online, batch + other.batch)
}
