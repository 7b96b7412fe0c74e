package ragwortbarrow.node

import ragwortbarrow.core.batch.BatchRuntime
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.routing.OnlineLoadListener

/** Tells batch work of this node's online requests, so that it makes room for them. */
internal class BatchLoadListener(private val batch: BatchRuntime) : OnlineLoadListener {
    override fun onInFlightChanged(server: BackendServerId, inFlight: Int): Unit =
        batch.onInFlightChanged(server, inFlight, full = false)

    override fun onServerFull(server: BackendServerId, inFlight: Int): Unit =
        batch.onInFlightChanged(server, inFlight, full = true)
}
