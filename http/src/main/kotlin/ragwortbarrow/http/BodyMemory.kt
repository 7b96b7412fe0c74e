package ragwortbarrow.http

/**
 * The memory that bodies take while they are read whole, for all connections of a pool together. When they exceed
 * [limitBytes] the largest body fails, also while it waits for its server, so that servers that send without end do not
 * take the memory of other requests. Confined to the event loop of the connections.
 */
internal class BodyMemory(private val limitBytes: Long) {
    private val bodies = LinkedHashSet<Body>()
    private var totalBytes = 0L

    /** One body; [onFailure] discards its bytes and stops its server. */
    inner class Body internal constructor(private val onFailure: (HttpFailure.Broken) -> Unit) {
        private var sizeBytes = 0L

        /** Adds [bytes] that were read. The body that fails for them may be this one. */
        fun grow(bytes: Int) {
            sizeBytes += bytes
            totalBytes += bytes
            // Without its largest body the total is below the limit again, since this one grew by no more than that.
            if (totalBytes > limitBytes) largestBody().fail()
        }

        private fun largestBody(): Body = bodies.maxBy { it.sizeBytes }.takeIf { it.sizeBytes > sizeBytes } ?: this

        private fun fail() {
            release()
            onFailure(HttpFailure.Broken("the bodies of all responses exceed $limitBytes bytes"))
        }

        /** Has no effect on a body that failed, whose bytes were released. */
        fun release() {
            if (bodies.remove(this)) totalBytes -= sizeBytes
        }
    }

    fun open(onFailure: (HttpFailure.Broken) -> Unit): Body = Body(onFailure).also { bodies += it }
}
