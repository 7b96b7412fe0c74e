package ragwortbarrow.cli.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.writeLines

/**
 * `ragwortbarrow bench slopes`: what each role costs as the fleet grows, measured at three or more sizes and fitted by
 * a line. Writes `slopes.csv` and one plot for each group.
 */
class SlopesBench : CliktCommand(name = "slopes") {
    private val output by option("--output", help = "Folder to write to").path(canBeFile = false)
        .default(Path.of("docs", "slopes"))

    override fun help(context: Context): String =
        "Measure the cost of each role at growing sizes; write a CSV file and plots."

    override fun run() {
        output.createDirectories()
        val groups = linkedMapOf(
            "limits" to limits(),
            "routing" to routing(),
            "batch" to batch(),
            "configuration" to configuration(),
            "gossip" to gossip(),
        )
        val lines = groups.values.flatten().flatMap { it.csvLines() }
        output.resolve("slopes.csv").writeLines(listOf("name,size_of,size,value,unit") + lines)
        groups.forEach { (name, slopes) ->
            BitmapEncoder.saveBitmap(
                chart(name, slopes),
                output.resolve(name).toString(),
                BitmapEncoder.BitmapFormat.PNG,
            )
            slopes.forEach { echo(it.toString()) }
        }
    }

    private fun limits(): List<Slope> {
        val rows = limitsSlopes()
        fun slope(name: String, unit: String, value: (LimitsSlopeRow) -> Double) =
            Slope(name, "customers", unit, PLAN_CUSTOMERS, rows.map { it.customers.toDouble() to value(it) })
        return listOf(
            slope("limits_acquire_cpu", "ns/acquire") { it.cpuNanosPerAcquire },
            slope("limits_local_admission_cpu", "ns/request") { it.cpuNanosPerLocalAdmission },
            slope("limits_heap", "B") { it.heapBytesPerCustomer * it.customers },
        )
    }

    private fun routing(): List<Slope> {
        val rows = routingSlopes()
        return listOf(
            Slope(
                "routing_cpu",
                "candidates",
                "us/decision",
                PLAN_CANDIDATES,
                rows.map { it.candidates.toDouble() to it.cpuMicrosPerDecision },
            ),
            Slope(
                "routing_heap",
                "backend_servers",
                "B",
                PLAN_BACKEND_SERVERS,
                rows.map { it.servers.toDouble() to it.bytesPerServer * it.servers },
            ),
        )
    }

    private fun batch(): List<Slope> {
        val rows = batchSlopes()
        return listOf(
            Slope(
                "batch_heap",
                "chunks",
                "B",
                PLAN_CHUNKS,
                rows.map {
                    it.chunks.toDouble() to
                        it.bytesPerChunk * it.chunks
                },
            ),
            Slope(
                "batch_idle_cpu",
                "jobs",
                "us/s",
                PLAN_JOBS,
                rows.map {
                    it.jobs.toDouble() to
                        it.idleCpuMicrosPerSecond
                },
            ),
            Slope(
                "batch_item_cpu",
                "jobs",
                "us/item",
                PLAN_JOBS,
                rows.map {
                    it.jobs.toDouble() to it.cpuMicrosPerItem
                },
            ),
        )
    }

    private fun configuration(): List<Slope> {
        val rows = configurationSlopes()
        fun slope(name: String, unit: String, value: (ConfigurationSlope) -> Double) =
            Slope(name, "nodes", unit, PLAN_NODES, rows.map { it.nodes.toDouble() to value(it) })
        return listOf(
            slope("configuration_traffic", "B/s") { it.bytesPerSecond },
            slope("configuration_whole_manifest_traffic", "B/s") { it.wholeBytesPerSecond },
        )
    }

    private fun gossip(): List<Slope> {
        val rows = gossipSlopes()
        fun slope(name: String, unit: String, value: (GossipSlope) -> Double) =
            Slope(name, "nodes", unit, PLAN_NODES, rows.map { it.nodes.toDouble() to value(it) })
        return listOf(
            slope("gossip_traffic", "B/s") { it.bytesPerSecondPerNode },
            slope("gossip_cpu", "us/s") { it.cpuMicrosPerSecondPerNode },
        )
    }

    private fun chart(name: String, slopes: List<Slope>): XYChart {
        val chart = XYChartBuilder().width(800).height(500).title(name)
            .xAxisTitle(slopes.first().sizeOf).yAxisTitle(slopes.map { it.unit }.distinct().joinToString(", ")).build()
        chart.styler.isYAxisLogarithmic = true
        slopes.forEach { slope ->
            chart.addSeries(
                slope.name,
                slope.points.map { it.first }.toDoubleArray(),
                slope.points.map { it.second.coerceAtLeast(SMALLEST_ON_LOG_AXIS) }.toDoubleArray(),
            )
        }
        return chart
    }

    private companion object {
        const val PLAN_NODES = 410.0
        const val PLAN_CUSTOMERS = 660.0
        const val PLAN_BACKEND_SERVERS = 2_900.0

        /** Backend servers of one of 9 failure domains. */
        const val PLAN_CANDIDATES = 323.0
        const val PLAN_JOBS = 3_000.0

        /** 62 million items a day in chunks of 200. */
        const val PLAN_CHUNKS = 310_000.0
        const val SMALLEST_ON_LOG_AXIS = 0.01
    }
}
