package ragwortbarrow.node

import ragwortbarrow.core.batch.BatchRuntime
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.routing.OnlineLoadListener

/** Reports this node's online load to the batch runtime, so that batch items yield to online requests. */
internal class BatchLoadListener(private val batch: BatchRuntime) : OnlineLoadListener {
    override fun onInFlightChanged(server: BackendServerId, inFlight: Int): Unit =
        batch.onInFlightChanged(server, inFlight, full = false)

    override fun onServerFull(server: BackendServerId, inFlight: Int): Unit =
        batch.onInFlightChanged(server, inFlight, full = true)
}
