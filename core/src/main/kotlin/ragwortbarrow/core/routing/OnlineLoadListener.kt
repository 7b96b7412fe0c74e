package ragwortbarrow.core.routing

import ragwortbarrow.core.ids.BackendServerId

/**
 * Receives changes of this node's online load, so that batch work can yield to it.
 *
 * The functions are called on request threads and must not block.
 */
interface OnlineLoadListener {
    /** The number of this node's online requests in flight on [server] changed to [inFlight]. */
    fun onInFlightChanged(server: BackendServerId, inFlight: Int)

    /** An online request needs a slot on [server], which has none free. */
    fun onServerFull(server: BackendServerId, inFlight: Int)

    companion object {
        /** Ignores every call. */
        val NONE: OnlineLoadListener = object : OnlineLoadListener {
            override fun onInFlightChanged(server: BackendServerId, inFlight: Int) = Unit

            override fun onServerFull(server: BackendServerId, inFlight: Int) = Unit
        }
    }
}
