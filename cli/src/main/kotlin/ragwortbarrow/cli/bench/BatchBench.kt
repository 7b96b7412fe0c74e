package ragwortbarrow.cli.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo

/** `ragwortbarrow bench batch`: one job over several workers with random kills, in virtual time. */
class BatchBench : CliktCommand(name = "batch") {
    private val defaults = BatchScenario()
    private val items by option("--items").int().restrictTo(min = 1).default(defaults.items)
    private val workers by option("--workers").int().restrictTo(min = 2).default(defaults.workers)
    private val servers by option("--servers").int().restrictTo(min = 1).default(defaults.servers)
    private val kills by option("--kills", help = "Workers killed while the job runs").int().restrictTo(min = 0)
        .default(defaults.kills)
    private val generationMillis by option("--generation-millis", help = "Mean time of an item after its first token")
        .int().restrictTo(min = 1).default(defaults.meanGenerationMillis.toInt())
    private val seed by option("--seed").long().default(defaults.seed)
    private val slopes by option("--slopes", help = "Also measure memory and CPU by size").flag()

    override fun help(context: Context): String =
        "Run a batch job over several workers with random kills in virtual time, and count platform calls and reruns."

    override fun run() {
        val scenario = BatchScenario(
            items = items,
            workers = workers,
            servers = servers,
            kills = kills,
            meanGenerationMillis = generationMillis.toDouble(),
            seed = seed,
        )
        echo(BatchSimulation(scenario).run().line())
        if (slopes) batchSlopes().forEach { echo(it.line()) }
    }

    private fun BatchOutcome.line() = (
        "completed=%d items_per_s=%.1f platform_calls_per_1000=%.1f kills=%d run_again_per_kill=%.1f " +
            "cpu_us_per_item=%.0f"
        ).format(
        completedItems,
        itemsPerSecond,
        platformCallsPerThousandItems,
        kills,
        itemsRunAgainPerKill,
        cpuMicrosPerItem,
    )

    private fun BatchSlope.line() =
        "jobs=%d chunks=%d bytes_per_chunk=%.0f bytes_per_job=%.0f idle_cpu_us_per_s=%.0f cpu_us_per_item=%.0f"
            .format(jobs, chunks, bytesPerChunk, bytesPerJob, idleCpuMicrosPerSecond, cpuMicrosPerItem)
}
