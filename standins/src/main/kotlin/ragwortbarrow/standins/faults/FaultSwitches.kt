package ragwortbarrow.standins.faults

import java.util.concurrent.atomic.AtomicReference

/** The active faults; they can be changed while requests are running. */
class FaultSwitches(initial: ServerFaults = ServerFaults()) {
    private val state = AtomicReference(initial)

    fun set(faults: ServerFaults): Unit = state.set(faults)

    fun current(): ServerFaults = state.get()

    /** The faults for the next request; none once [ServerFaults.requests] requests have used them. */
    fun next(): ServerFaults {
        val prior = state.getAndUpdate { if (it.requests == Int.MAX_VALUE) it else it.copy(requests = it.requests - 1) }
        return if (prior.requests > 0) prior else ServerFaults()
    }
}
