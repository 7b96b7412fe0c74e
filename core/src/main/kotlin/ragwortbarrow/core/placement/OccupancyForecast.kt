package ragwortbarrow.core.placement

import kotlin.math.exp
import kotlin.math.sqrt

/**
 * The slots of backend servers that are expected to be free now, from reports that are some hundred milliseconds old.
 *
 * Online requests of other nodes end, and new ones arrive, while a report travels. The older it is, relative to the
 * duration of a request at the server, the less it is worth for this server and the closer the expectation is to the
 * average over all servers. A node that is cut off thus spreads its requests evenly. Batch items run much longer than
 * reports are old, and count as reported.
 */
internal class OccupancyForecast(private val tracker: ServerTracker, private val latencies: LatencyEstimates) {
    /**
     * The slots of [server] that are worth using while other servers have free ones. A queue at a slow server is long,
     * so some of its slots are kept free for requests that other nodes send at the same moment.
     */
    fun usableSlots(server: BackendServer): Int =
        (server.slots / sqrt(tracker.speeds.slowness(server.id).coerceAtLeast(1.0))).toInt().coerceAtLeast(1)

    /** The expected number of free slots among [usableSlots] of each of [servers], which belong to one service. */
    fun freeSlots(servers: List<BackendServer>, countsBatchItems: Boolean): List<Double> {
        val remote = servers.map { tracker.occupancy(it.id).online - tracker.localOccupancy(it.id).online }
        val averageRemote = remote.average()
        val ageMillis = tracker.reportAgeMillis() + REPORT_TRANSIT_MILLIS
        return servers.mapIndexed { index, server ->
            val durationMillis = latencies.durationMillis(server.service) * tracker.speeds.slowness(server.id)
            val reportWeight = exp(-ageMillis / durationMillis)
            val expectedRemote = averageRemote + (remote[index] - averageRemote) * reportWeight
            val batch = if (countsBatchItems) tracker.occupancy(server.id).batch else 0
            (usableSlots(server) - tracker.localOccupancy(server.id).online - batch - expectedRemote).coerceAtLeast(0.0)
        }
    }

    private companion object {
        /** Age of a report when it arrives: about one exchange period, including relays. */
        const val REPORT_TRANSIT_MILLIS = 200.0
    }
}
