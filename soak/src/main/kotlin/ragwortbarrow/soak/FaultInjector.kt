package ragwortbarrow.soak

import ragwortbarrow.standins.link.LinkFault
import ragwortbarrow.standins.process.LocalProcess
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Injects the faults of a plan at their times, in parallel where they overlap. */
internal class FaultInjector(
    private val fleet: SoakFleet,
    private val records: SoakRecords,
    private val disturbances: Disturbances,
    private val log: (String) -> Unit,
) {
    private val executor = Executors.newScheduledThreadPool(THREADS) { Thread(it, "fault").apply { isDaemon = true } }
    private val nodeLocks = fleet.nodes.associateWith { Any() }
    private val serverLock = Any()

    fun schedule(plan: List<PlannedFault>) {
        for (planned in plan) {
            executor.schedule({ inject(planned) }, planned.atMillis, TimeUnit.MILLISECONDS)
        }
    }

    /** Waits until all faults have ended. */
    fun awaitCompletion() {
        executor.shutdown()
        if (!executor.awaitTermination(FINISH_TIMEOUT_SECONDS, TimeUnit.SECONDS)) log("faults did not end in time")
    }

    private fun inject(planned: PlannedFault) {
        val fault = planned.fault
        log("begin $fault for ${planned.durationMillis} ms")
        val end = disturbances.begin(fault.targets)
        try {
            apply(fault, planned.durationMillis)
        } catch (failure: RuntimeException) {
            log("failed $fault: $failure")
            records.violations += "the soak failed to inject $fault: $failure"
        } finally {
            end()
            log("end $fault")
        }
    }

    private fun apply(fault: SoakFault, durationMillis: Long) = when (fault) {
        is SoakFault.Link -> fleet.links.getValue(fault.link).let { link ->
            link.setFault(fault.fault)
            pause(durationMillis)
            link.setFault(LinkFault.None)
        }
        is SoakFault.Freeze -> withNode(fault.node) { process ->
            process.freeze()
            pause(durationMillis)
            process.thaw()
        }
        is SoakFault.Kill -> withNode(fault.node) { process ->
            process.kill()
            pause(durationMillis)
            process.start()
        }
        is SoakFault.Restart -> withNode(fault.node) { process ->
            val fromMillis = nowMillis()
            if (!process.stop(STOP_TIMEOUT_SECONDS)) {
                records.violations += "DRAIN ${fault.node} did not end within $STOP_TIMEOUT_SECONDS s of SIGTERM"
                process.kill()
            }
            records.restarts += NodeRestart(fault.node, fromMillis, nowMillis())
            process.start()
        }
        is SoakFault.HangUp -> withNode(fault.node) { it.hangUp() }
        is SoakFault.StoreDown -> stopStore(fault, durationMillis)
        is SoakFault.StoreLosesAnswers -> {
            fleet.store.answersToLose.addAndGet(fault.count)
            pause(durationMillis)
        }
        SoakFault.StoreForgetsHistory -> fleet.store.dropHistory()
        is SoakFault.Drain -> drain(fault.server)
        SoakFault.ChangeConfiguration -> fleet.publishConfiguration()
        SoakFault.WithdrawKey -> withdraw(durationMillis)
    }

    private fun withNode(node: String, action: (LocalProcess) -> Unit) = synchronized(nodeLocks.getValue(node)) {
        val process = fleet.process(node)
        if (!process.isAlive) records.violations += "the process of $node exited unexpectedly"
        action(process)
    }

    private fun stopStore(fault: SoakFault.StoreDown, durationMillis: Long) = synchronized(fleet.store) {
        fleet.store.isDown = true
        pause(durationMillis)
        synchronized(serverLock) {
            if (fault.expiresServers) fleet.serverNumbers().forEach { fleet.unregister(it) }
            fleet.store.isDown = false
            if (fault.expiresServers) {
                pause(REREGISTER_DELAY_MILLIS)
                fleet.serverNumbers().forEach { fleet.register(it) }
            }
        }
    }

    private fun drain(server: Int) = synchronized(serverLock) {
        val id = fleet.serverId(server)
        fleet.register(server, state = "draining")
        records.drains += ServerDrain(id, nowMillis())
        pause(DRAIN_DURATION_MILLIS)
        fleet.unregister(server)
        fleet.startServer(server)
    }

    private fun withdraw(durationMillis: Long) = synchronized(records) {
        fleet.publishConfiguration { it += ROTATED_KEY }
        val atMillis = nowMillis()
        pause(durationMillis + EXTRA_WITHDRAWN_MILLIS)
        // Recorded before the key is granted again: from then on requests with it may run.
        records.withdrawals += KeyWithdrawal(ROTATED_KEY, atMillis, nowMillis())
        fleet.publishConfiguration { it -= ROTATED_KEY }
    }

    private companion object {
        const val THREADS = 24
        const val FINISH_TIMEOUT_SECONDS = 60L
        const val STOP_TIMEOUT_SECONDS = 9L

        /** Expired server entries are registered again within two seconds of the store's return. */
        const val REREGISTER_DELAY_MILLIS = 1_500L

        /** How long a draining server continues to serve. */
        const val DRAIN_DURATION_MILLIS = 4_000L

        /** Leaves time for requests to arrive after the nodes had to apply the configuration. */
        const val EXTRA_WITHDRAWN_MILLIS = 4_000L
    }
}
