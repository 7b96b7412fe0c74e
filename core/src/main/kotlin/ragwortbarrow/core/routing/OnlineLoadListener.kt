package ragwortbarrow.core.routing

import ragwortbarrow.core.ids.BackendServerId

/**
 * Is told of this node's online requests in flight, so that batch work can make room.
 *
 * Calls come from request threads and must not block.
 */
interface OnlineLoadListener {
    /** The number of own online requests in flight on [server] changed to [inFlight]. */
    fun onInFlightChanged(server: BackendServerId, inFlight: Int)

    /** An online request wants [server], which has no free slot. */
    fun onServerFull(server: BackendServerId, inFlight: Int)

    companion object {
        /** Ignores every call. */
        val NONE: OnlineLoadListener = object : OnlineLoadListener {
            override fun onInFlightChanged(server: BackendServerId, inFlight: Int) = Unit

            override fun onServerFull(server: BackendServerId, inFlight: Int) = Unit
        }
    }
}
