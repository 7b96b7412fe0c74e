package ragwortbarrow.core.placement

/** Decides whether this node may send a request to a backend server now. */
interface SendPermits {
    /**
     * The time until this node may send the next request to [server]; 0 if it may now, null if none is foreseen. With
     * [isSpare], the next one that need not be saved for online requests.
     */
    fun waitMillis(server: BackendServer, isSpare: Boolean): Double?

    /** The steady rate at which this node may send requests to [server]; 0 if only other nodes may. */
    fun permitsPerSecond(server: BackendServer): Double

    /** Records that a request is sent to [server]. */
    fun recordSend(server: BackendServer)

    companion object {
        /** Permits any number of requests. */
        val UNLIMITED = object : SendPermits {
            override fun waitMillis(server: BackendServer, isSpare: Boolean) = 0.0

            override fun permitsPerSecond(server: BackendServer) = Double.POSITIVE_INFINITY

            override fun recordSend(server: BackendServer) = Unit
        }
    }
}
