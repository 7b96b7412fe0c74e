package ragwortbarrow.standins.faults

import java.util.concurrent.atomic.AtomicReference

/** The faults in force; they can be changed while requests run. */
class FaultSwitches(initial: ServerFaults = ServerFaults()) {
    private val state = AtomicReference(initial)

    fun set(faults: ServerFaults): Unit = state.set(faults)

    fun current(): ServerFaults = state.get()

    /** The faults for one more request; without any fault after [ServerFaults.requests] requests. */
    fun next(): ServerFaults {
        val seen = state.getAndUpdate { if (it.requests == Int.MAX_VALUE) it else it.copy(requests = it.requests - 1) }
        return if (seen.requests > 0) seen else ServerFaults()
    }
}
