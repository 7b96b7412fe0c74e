package ragwortbarrow.http

/**
 * The memory that bodies take while they are read whole, for all connections of a pool together. Above [limitBytes] the
 * largest body fails, so that servers that send without end do not take the memory of other requests. Confined to the
 * event loop of the connections.
 */
internal class BodyMemory(private val limitBytes: Long) {
    private val bodies = HashSet<Body>()
    private var totalBytes = 0L

    inner class Body {
        var sizeBytes = 0L
            private set

        /** Adds [bytes]; throws [HttpFailure.Broken] if all bodies exceed the limit and this is the largest one. */
        fun grow(bytes: Int) {
            sizeBytes += bytes
            totalBytes += bytes
            if (totalBytes > limitBytes && bodies.none { it.sizeBytes > sizeBytes }) {
                throw HttpFailure.Broken("the bodies of all responses exceed $limitBytes bytes")
            }
        }

        fun release() {
            if (bodies.remove(this)) totalBytes -= sizeBytes
        }
    }

    fun open(): Body = Body().also { bodies += it }
}
