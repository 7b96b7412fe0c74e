package ragwortbarrow.core.batch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import java.io.ByteArrayOutputStream

/** Reads files, jobs and chunks from the platform. */
internal class BatchReader(private val store: ObjectStore) {
    suspend fun file(fileId: String): Result<FileRecord, StoreError> =
        store.get(ObjectKind.FILES, fileId).map { it.record() }

    suspend fun part(fileId: String, index: Int): Result<FilePartRecord, StoreError> =
        store.get(ObjectKind.FILE_PARTS, BatchNames.partName(fileId, index)).map { it.record() }

    suspend fun job(jobId: String): Result<Pair<StoredObject, JobRecord>, StoreError> =
        store.get(ObjectKind.BATCH_JOBS, jobId).map { it to it.record<JobRecord>() }

    suspend fun chunk(jobId: String, index: Int): Result<StoredObject, StoreError> =
        store.get(ObjectKind.BATCH_CHUNKS, BatchNames.chunkName(jobId, index))

    /** Returns the summaries of all chunks of a job that have been claimed or closed at least once. */
    suspend fun chunkSummaries(jobId: String): Result<List<ChunkSummary>, StoreError> =
        listAll(ObjectKind.BATCH_CHUNKS, mapOf(BatchNames.LABEL_JOB to jobId), metadataOnly = true).map { chunks ->
            chunks.mapNotNull { BatchNames.chunkSummary(it.labels, it.version)?.second }
        }

    /** Lists every object with [labels], page by page. */
    suspend fun listAll(
        kind: ObjectKind,
        labels: Map<String, String>,
        metadataOnly: Boolean,
        pageSize: Int = 500,
    ): Result<List<StoredObject>, StoreError> {
        val objects = ArrayList<StoredObject>()
        var token: String? = null
        do {
            val page = store.list(kind, labels, pageSize, token, metadataOnly).getOrElse { return Err(it) }
            objects += page.items
            token = page.continueToken
        } while (token != null)
        return Ok(objects)
    }

    suspend fun inputContent(fileId: String, record: FileRecord): Result<ByteArray, StoreError> {
        val content = ByteArrayOutputStream()
        record.partItemCounts.indices.forEach { index ->
            val part = part(fileId, index).getOrElse { return Err(it) }
            part.lines.forEach { content.writeLine(it) }
        }
        return Ok(content.toByteArray())
    }

    /** Returns the recorded results of a job as JSON lines, in the order of its input. */
    suspend fun outputContent(jobId: String): Result<ByteArray, StoreError> {
        val content = ByteArrayOutputStream()
        var token: String? = null
        do {
            val labels = mapOf(BatchNames.LABEL_JOB to jobId)
            val page = store.list(ObjectKind.BATCH_CHUNKS, labels, OUTPUT_PAGE_SIZE, token)
                .getOrElse { return Err(it) }
            for (stored in page.items) {
                val chunk = stored.record<ChunkRecord>()
                val results = results(chunk).getOrElse { return Err(it) }
                results.forEach { (item, result) ->
                    content.writeLine(BatchOutput.line(jobId, chunk.index, item, result).toString())
                }
            }
            token = page.continueToken
        } while (token != null)
        return Ok(content.toByteArray())
    }

    private suspend fun results(chunk: ChunkRecord): Result<List<Pair<Int, ItemResult>>, StoreError> {
        val overflow = HashMap<String, OverflowRecord>()
        for (name in chunk.items.mapNotNull { it.overflow }.distinct()) {
            overflow[name] = store.get(ObjectKind.BATCH_CHUNKS, name).getOrElse { return Err(it) }.record()
        }
        return Ok(
            chunk.items.sortedBy { it.index }.mapNotNull { item ->
                val result = item.result ?: item.overflow?.let { overflow.getValue(it).results[item.index] }
                result?.let { item.index to it }
            },
        )
    }

    private fun ByteArrayOutputStream.writeLine(line: String) {
        write(line.encodeToByteArray())
        write('\n'.code)
    }

    private companion object {
        /** Small, because a chunk with its results takes up to a megabyte. */
        const val OUTPUT_PAGE_SIZE = 20
    }
}
