package ragwortbarrow.soak

import kotlinx.serialization.json.JsonObject
import ragwortbarrow.standins.link.LinkFault
import ragwortbarrow.standins.process.LocalProcess
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock

/** Injects the faults of a plan at their times, in parallel where they overlap. */
internal class FaultInjector(
    private val fleet: SoakFleet,
    private val records: SoakRecords,
    private val disturbances: Disturbances,
    private val log: (String) -> Unit,
) {
    private val executor = Executors.newScheduledThreadPool(THREADS) { Thread(it, "fault").apply { isDaemon = true } }
    private val nodeLocks = fleet.nodes.associateWith { Any() }
    private val servers = ServerFaultInjector(fleet, records)
    private val evacuation = ReentrantLock()

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
            val end = records.linkFaults.begin(setOf(fault.link))
            link.setFault(fault.fault)
            pause(durationMillis)
            link.setFault(LinkFault.None)
            end()
        }
        is SoakFault.Freeze -> interrupt(fault.node) { process ->
            process.freeze()
            pause(durationMillis)
            process.thaw()
        }
        is SoakFault.Kill -> interrupt(fault.node) { process ->
            process.kill()
            pause(durationMillis)
            process.start()
        }
        is SoakFault.Restart -> interrupt(fault.node) { process ->
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
        is SoakFault.Drain -> servers.drain(fault.server)
        is SoakFault.Leave -> servers.leave(fault, durationMillis)
        is SoakFault.Limit -> servers.limit(fault, durationMillis)
        is SoakFault.CrashSeries -> servers.crash(fault, durationMillis)
        is SoakFault.ColdStart -> servers.startCold(fault.server)
        is SoakFault.Evacuate -> evacuate(fault.failureDomain, durationMillis)
        SoakFault.ChangeConfiguration -> fleet.publishConfiguration()
        SoakFault.WithdrawKey -> withdraw(durationMillis)
    }

    private fun withNode(node: String, action: (LocalProcess) -> Unit) = synchronized(nodeLocks.getValue(node)) {
        val process = fleet.process(node)
        if (!process.isAlive) records.violations += "the process of $node exited unexpectedly"
        action(process)
    }

    private fun interrupt(node: String, action: (LocalProcess) -> Unit) = withNode(node) { process ->
        val end = records.interruptions.begin(setOf(node))
        action(process)
        end()
    }

    private fun stopStore(fault: SoakFault.StoreDown, durationMillis: Long) = synchronized(fleet.store) {
        fleet.store.isDown = true
        pause(durationMillis)
        if (fault.expiresServers) fleet.serverNumbers().forEach { fleet.unregister(it) }
        fleet.store.isDown = false
        if (fault.expiresServers) {
            pause(REREGISTER_DELAY_MILLIS)
            fleet.serverNumbers().forEach { fleet.register(it) }
        }
    }

    /** Evacuates one failure domain at a time, since the others have to take its requests. */
    private fun evacuate(failureDomain: String, durationMillis: Long) {
        if (!evacuation.tryLock()) return
        try {
            fleet.store.put("evacuations", failureDomain, JsonObject(emptyMap()))
            val fromMillis = nowMillis()
            pause(durationMillis + EXTRA_EVACUATED_MILLIS)
            // Recorded before it is taken back: from then on requests may be sent there.
            records.evacuations += Evacuation(failureDomain, fromMillis, nowMillis())
            fleet.store.remove("evacuations", failureDomain)
        } finally {
            evacuation.unlock()
        }
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

        /** Leaves time for requests to arrive after the nodes had to apply the configuration. */
        const val EXTRA_WITHDRAWN_MILLIS = 4_000L
        const val EXTRA_EVACUATED_MILLIS = 7_000L
    }
}
