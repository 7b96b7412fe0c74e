package ragwortbarrow.soak

import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/** Result of a soak. [violations] lists each broken guarantee; [folder] holds the logs of all processes. */
data class SoakReport(
    val seed: Long,
    val faults: Int,
    val calls: Int,
    val served: Int,
    val jobs: Int,
    val jobsDone: Int,
    val violations: List<String>,
    val folder: Path,
) {
    override fun toString(): String = "seed $seed: $faults faults, $served of $calls calls served, " +
        "$jobsDone of $jobs jobs done, ${violations.size} violations (logs in $folder)" +
        violations.joinToString("") { "\n  $it" }
}

/**
 * Runs entry nodes as separate processes between callers and stand-ins of the operators' store and backend servers,
 * injects faults drawn from a seed, and checks every guarantee by what callers and backend servers observed.
 *
 * It injects no clock or disk faults: nodes have no disk, and the wall clock of one process can't be changed without
 * changing the machine's.
 */
class Soak internal constructor(
    private val seed: Long,
    private val seconds: Int,
    private val size: SoakSize,
    private val launcher: NodeLauncher,
    folder: Path,
    private val troubles: Set<ServerTrouble>,
) {
    private val folder = folder.resolve("seed-$seed")
    private val records = SoakRecords()
    private val disturbances = Disturbances()
    private val startMillis = nowMillis()

    fun run(): SoakReport {
        Files.createDirectories(folder)
        Files.list(folder).use { old -> old.forEach(Files::delete) }
        val plan = soakPlan(seed, seconds, size, troubles)
        val fleet = SoakFleet(size, seed, launcher, folder)
        // Ends the processes when the soak is interrupted.
        val shutdownHook = Thread { fleet.close() }
        Runtime.getRuntime().addShutdownHook(shutdownHook)
        try {
            return fleet.use { run(it, plan) }
        } finally {
            Runtime.getRuntime().removeShutdownHook(shutdownHook)
        }
    }

    private fun run(fleet: SoakFleet, plan: List<PlannedFault>): SoakReport {
        fleet.start()
        log("all nodes are ready")
        val untilMillis = nowMillis() + seconds * 1_000L
        val callers = SoakCallers(fleet, records, seed, size.callers).also { it.start() }
        val jobCallers = SoakJobCallers(fleet, records, seed, JOB_CALLERS).also { it.start() }
        val injector = FaultInjector(fleet, records, disturbances, ::log)
        injector.schedule(plan)
        injector.awaitCompletion()
        pause((untilMillis - nowMillis()).coerceAtLeast(0))
        callers.stop()
        jobCallers.stop()
        jobCallers.awaitCompletion(FINISH_TIMEOUT_MILLIS)
        checkRecovery(fleet)
        val script = fleet.script
        val violations =
            SoakVerifier(
                records,
                disturbances,
                fleet.runs(),
                script.failures,
                script.statuses,
                fleet.received(),
                fleet.nodes,
                size,
            ).violations()
        violations.forEach { log(it) }
        return report(plan.size, violations)
    }

    /** Checks that every node serves requests again after all faults have ended. */
    private fun checkRecovery(fleet: SoakFleet) {
        val client = soakClient()
        for (node in fleet.nodes) {
            if (!fleet.process(node).isAlive) records.violations += "the process of $node exited unexpectedly"
            val calls = (1..RECOVERY_ATTEMPTS).map { number ->
                if (number > 1) pause(RECOVERY_PAUSE_MILLIS)
                client.call(fleet, "r-$node-$number", SoakKind.PAGE, node, STEADY_KEY).also { records.calls += it }
            }
            if (calls.none { it.status == 200 }) records.violations += "RECOVER $node: ${calls.map { it.status }}"
        }
    }

    private fun report(faults: Int, violations: List<String>) = SoakReport(
        seed = seed,
        faults = faults,
        calls = records.calls.size,
        served = records.calls.count { it.status == 200 && it.isComplete },
        jobs = records.jobs.size,
        jobsDone = records.jobs.count { it.isComplete },
        violations = violations,
        folder = folder,
    )

    private fun log(text: String) {
        val line = "${nowMillis() - startMillis} $text\n"
        Files.writeString(folder.resolve("soak.log"), line, StandardOpenOption.CREATE, StandardOpenOption.APPEND)
    }

    companion object {
        val DEFAULT_TROUBLES = ServerTrouble.entries.toSet()
        private const val JOB_CALLERS = 4

        /** The completion target of jobs is 18 s after their submission. */
        private const val FINISH_TIMEOUT_MILLIS = 18_000L
        private const val RECOVERY_ATTEMPTS = 5
        private const val RECOVERY_PAUSE_MILLIS = 1_000L

        /** Creates a soak of the program that [program] starts, for example `java -jar …`. */
        fun of(
            seed: Long,
            seconds: Int,
            nodes: Int,
            program: List<String>,
            folder: Path,
            troubles: Set<ServerTrouble> = DEFAULT_TROUBLES,
        ): Soak {
            // The JDK's HTTP client rejects a custom Host header unless this property allows it.
            System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host")
            return Soak(seed, seconds, SoakSize(nodes = nodes), { ProcessBuilder(program + it) }, folder, troubles)
        }
    }
}
