package ragwortbarrow.standins.operators

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.JsonUnquotedLiteral
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import ragwortbarrow.core.time.NANOS_PER_MILLI
import java.net.InetSocketAddress
import java.net.URLDecoder
import java.util.TreeMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport

/**
 * In-memory test server for the operators' metadata store: objects with revisions, conditional writes, paged lists and
 * long-polling watches. Injected faults make it reject calls, drop responses to writes that took effect, or drop its
 * history.
 */
class OperatorStoreStandIn(private val pageSize: Int = 500) : AutoCloseable {
    private class Stored(
        val name: String,
        val rev: Long,
        val createdRev: Long,
        val spec: JsonElement,
        val status: JsonElement,
        /** Listed in place of the other fields. */
        val document: JsonElement? = null,
    )

    private class Change(val rev: Long, val kind: String, val stored: Stored, val isDeleted: Boolean)

    private val monitor = Object()
    private val kinds = HashMap<String, TreeMap<String, Stored>>()
    private val history = ArrayList<Change>()
    private var revision = 1L
    private var oldestKept = 0L
    private val executor = Executors.newCachedThreadPool()
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)

    /** Responds with 503 to every call. */
    @Volatile
    var isDown = false

    /** Lists always begin with their first page. */
    @Volatile
    var isStuck = false

    /** Delays the response to each call. */
    @Volatile
    var responseDelayMillis = 0L

    /** Rejects larger objects with 413. */
    @Volatile
    var maxValueBytes = 1024 * 1024

    /** The number of writes that were rejected as too large. */
    val tooLargeWrites = AtomicInteger()

    /** The number of further writes that take effect but whose connection is closed without a response. */
    val answersToLose = AtomicInteger()

    /** The number of calls received. */
    val calls = AtomicInteger()

    val address: String get() = "127.0.0.1:${server.address.port}"

    init {
        server.executor = executor
        server.createContext("/objects/") { exchange ->
            try {
                handle(exchange)
            } catch (failure: IllegalArgumentException) {
                respond(exchange, 400, buildJsonObject { put("error", failure.message) })
            }
        }
        server.start()
    }

    override fun close() {
        server.stop(0)
        executor.shutdownNow()
    }

    /** Writes an object unconditionally, like the operator or a backend server. */
    fun put(kind: String, name: String, spec: JsonObject) {
        synchronized(monitor) { store(kind, name, spec, kinds[kind]?.get(name)?.status ?: JsonNull) }
    }

    /** Writes an object whose spec is [text] as it stands, like another writer that may store anything. */
    fun putText(kind: String, name: String, text: String) {
        synchronized(monitor) { store(kind, name, rawJson(text), JsonNull) }
    }

    /** Writes an object that is listed as [text] in place of its metadata, spec and status. */
    fun putDocument(kind: String, name: String, text: String) {
        synchronized(monitor) { store(kind, name, JsonNull, JsonNull, document = rawJson(text)) }
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun rawJson(text: String) = JsonUnquotedLiteral(text)

    /** Writes the entry of a backend server, like the server itself. */
    fun putServer(
        id: String,
        address: String,
        zone: String,
        state: String = "ready",
        service: String = "engines",
        bornMillis: Long = 1_700_000_000_000L,
        coldRemainingMillis: Long = 0,
    ) {
        val entry = buildJsonObject {
            put("service", service)
            put("address", address)
            put("zone", zone)
            put("version", "v1")
            put("slots", SERVER_SLOTS)
            put("state", state)
            put("cold_remaining_ms", coldRemainingMillis)
            put("sequence", 1)
            put("born", bornMillis)
        }
        put("servers", id, entry)
    }

    fun remove(kind: String, name: String) {
        synchronized(monitor) { delete(kind, name) }
    }

    fun spec(kind: String, name: String): JsonObject? = synchronized(monitor) {
        kinds[kind]?.get(name)?.spec as? JsonObject
    }

    fun status(kind: String, name: String): JsonObject? =
        synchronized(monitor) { kinds[kind]?.get(name)?.status as? JsonObject }

    fun names(kind: String): List<String> = synchronized(monitor) { kinds[kind]?.keys.orEmpty().toList() }

    /** Drops the change history; watches from an earlier revision get 410. */
    fun dropHistory() = synchronized(monitor) {
        history.clear()
        oldestKept = revision
        monitor.notifyAll()
    }

    /** Removes an object and drops the history, so that watches get 410 and no event of the removal. */
    fun removeUnseen(kind: String, name: String) = synchronized(monitor) {
        delete(kind, name)
        dropHistory()
    }

    /** Writes an object and drops the history, so that watches get 410 and no event of the change. */
    fun putUnseen(kind: String, name: String, spec: JsonObject) = synchronized(monitor) {
        put(kind, name, spec)
        dropHistory()
    }

    private fun handle(exchange: HttpExchange) {
        calls.incrementAndGet()
        if (responseDelayMillis > 0) LockSupport.parkNanos(responseDelayMillis * NANOS_PER_MILLI)
        if (isDown) return respond(exchange, 503, JsonObject(emptyMap()))
        val parts = exchange.requestURI.rawPath.removePrefix("/objects/").split('/').map(::percentDecode)
        val query = exchange.requestURI.rawQuery.orEmpty().split('&').filter { '=' in it }
            .associate { it.substringBefore('=') to percentDecode(it.substringAfter('=')) }
        val kind = parts[0]
        val name = parts.getOrNull(1)
        val bytes = exchange.requestBody.readBytes()
        if (bytes.size > maxValueBytes) {
            tooLargeWrites.incrementAndGet()
            return respond(exchange, 413, JsonObject(emptyMap()))
        }
        val body = bytes.decodeToString().takeIf { it.isNotEmpty() }?.let { Json.parseToJsonElement(it).jsonObject }
        val (status, document) = when (exchange.requestMethod) {
            "GET" -> read(kind, name, query)
            "POST" -> synchronized(monitor) { create(kind, checkNotNull(body)) }
            "PUT" -> synchronized(monitor) { replace(kind, checkNotNull(name), parts.getOrNull(2), checkNotNull(body)) }
            "DELETE" -> synchronized(monitor) { deleteIf(kind, checkNotNull(name), query["rev"]?.toLong()) }
            else -> 405 to JsonObject(emptyMap())
        }
        val isWrite = exchange.requestMethod != "GET"
        if (isWrite && answersToLose.getAndUpdate { maxOf(0, it - 1) } > 0) return exchange.close()
        respond(exchange, status, document)
    }

    private fun percentDecode(text: String) = URLDecoder.decode(text.replace("+", "%2B"), Charsets.UTF_8)

    private fun read(kind: String, name: String?, query: Map<String, String>): Pair<Int, JsonElement> = when {
        name != null -> synchronized(monitor) { kinds[kind]?.get(name) }?.let { 200 to it.document() }
            ?: (404 to JsonObject(emptyMap()))
        "watch" in query -> watch(kind, query.getValue("watch").toLong(), query["wait_ms"]?.toLong() ?: 0)
        else -> synchronized(monitor) { 200 to page(kind, query["after"].takeUnless { isStuck }) }
    }

    private fun page(kind: String, after: String?) = buildJsonObject {
        val all = kinds[kind]?.values.orEmpty().filter { after == null || it.name > after }
        putJsonArray("items") { all.take(pageSize).forEach { add(it.document()) } }
        put("truncated", all.size > pageSize)
        put("store_revision", revision)
    }

    private fun watch(kind: String, from: Long, waitMillis: Long): Pair<Int, JsonElement> = synchronized(monitor) {
        val until = System.nanoTime() + waitMillis * 1_000_000
        while (true) {
            if (from < oldestKept) return 410 to JsonObject(emptyMap())
            val changes = history.filter { it.rev > from && it.kind == kind }
            val leftMillis = (until - System.nanoTime()) / 1_000_000
            if (changes.isNotEmpty() || leftMillis <= 0 || isDown) return 200 to events(changes)
            monitor.wait(leftMillis)
        }
        @Suppress("UNREACHABLE_CODE")
        error("unreachable: the loop only ends by returning")
    }

    private fun events(changes: List<Change>) = buildJsonObject {
        put(
            "events",
            JsonArray(
                changes.map {
                    buildJsonObject {
                        put("deleted", it.isDeleted)
                        put("object", it.stored.document())
                    }
                },
            ),
        )
        put("store_revision", revision)
    }

    private fun create(kind: String, body: JsonObject): Pair<Int, JsonElement> {
        val name = body.getValue("metadata").jsonObject.getValue("name").jsonPrimitive.content
        kinds[kind]?.get(name)?.let { return 409 to it.document() }
        return 200 to store(kind, name, body["spec"] ?: JsonNull, JsonNull).document()
    }

    private fun replace(kind: String, name: String, part: String?, body: JsonObject): Pair<Int, JsonElement> {
        val before = kinds[kind]?.get(name) ?: return 404 to JsonObject(emptyMap())
        val expected = (body["metadata"] as? JsonObject)?.get("rev")?.jsonPrimitive?.longOrNull
        if (expected != null && expected != before.rev) return 409 to before.document()
        val spec = if (part == null) body["spec"] ?: JsonNull else before.spec
        val status = if (part == "status") body["status"] ?: JsonNull else before.status
        if (spec == before.spec && status == before.status) return 200 to before.document()
        return 200 to store(kind, name, spec, status).document()
    }

    private fun deleteIf(kind: String, name: String, expected: Long?): Pair<Int, JsonElement> {
        val before = kinds[kind]?.get(name) ?: return 404 to JsonObject(emptyMap())
        if (expected != null && expected != before.rev) return 409 to before.document()
        delete(kind, name)
        return 200 to before.document()
    }

    private fun store(
        kind: String,
        name: String,
        spec: JsonElement,
        status: JsonElement,
        document: JsonElement? = null,
    ): Stored {
        val objects = kinds.getOrPut(kind) { TreeMap() }
        val rev = ++revision
        val stored = Stored(name, rev, objects[name]?.createdRev ?: rev, spec, status, document)
        objects[name] = stored
        history += Change(rev, kind, stored, isDeleted = false)
        monitor.notifyAll()
        return stored
    }

    private fun delete(kind: String, name: String) {
        val last = kinds[kind]?.remove(name) ?: return
        val rev = ++revision
        history += Change(rev, kind, Stored(name, rev, last.createdRev, last.spec, last.status), isDeleted = true)
        monitor.notifyAll()
    }

    private fun Stored.document(): JsonElement = document ?: buildJsonObject {
        putJsonObject("metadata") {
            put("name", name)
            put("rev", rev)
            put("created_rev", createdRev)
            put("finalizers", JsonArray(emptyList()))
            put("deleting", JsonPrimitive(false))
        }
        put("spec", spec)
        put("status", status)
    }

    private fun respond(exchange: HttpExchange, status: Int, document: JsonElement) {
        val bytes = document.toString().encodeToByteArray()
        exchange.responseHeaders.set("Content-Type", "application/json")
        exchange.sendResponseHeaders(status, bytes.size.toLong())
        exchange.responseBody.use { it.write(bytes) }
    }

    private companion object {
        /** Concurrent requests per backend server, as in the operators' deployments. */
        const val SERVER_SLOTS = 8
    }
}
