package ragwortbarrow.http

import io.netty.buffer.ByteBuf

/** A body of unknown size. It grows in blocks, so that it neither copies what it holds nor allocates much ahead. */
internal class BodyBuffer {
    private val blocks = ArrayList<ByteArray>()
    private var lastBlockBytes = 0

    var sizeBytes = 0
        private set

    /** Size of the blocks, of which the last one may be partly empty. */
    var allocatedBytes = 0L
        private set

    fun add(bytes: ByteBuf) {
        while (bytes.isReadable) {
            val block = blocks.lastOrNull()?.takeIf { lastBlockBytes < it.size } ?: addBlock(bytes.readableBytes())
            val count = minOf(bytes.readableBytes(), block.size - lastBlockBytes)
            bytes.readBytes(block, lastBlockBytes, count)
            lastBlockBytes += count
            sizeBytes += count
        }
    }

    private fun addBlock(neededBytes: Int): ByteArray {
        // The first part of a body is often all of it.
        val size = if (blocks.isEmpty()) neededBytes else maxOf(neededBytes, minOf(sizeBytes, MAX_GROWTH_BYTES))
        lastBlockBytes = 0
        allocatedBytes += size
        return ByteArray(size).also { blocks += it }
    }

    fun toByteArray(): ByteArray {
        val only = blocks.singleOrNull()
        if (only != null && only.size == sizeBytes) return only
        val whole = ByteArray(sizeBytes)
        var offset = 0
        for (block in blocks) {
            val count = minOf(block.size, sizeBytes - offset)
            block.copyInto(whole, offset, 0, count)
            offset += count
        }
        return whole
    }

    private companion object {
        const val MAX_GROWTH_BYTES = 64 * 1024
    }
}
