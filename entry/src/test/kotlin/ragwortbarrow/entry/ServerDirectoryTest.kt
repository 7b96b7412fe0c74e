package ragwortbarrow.entry

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectPage
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.time.monotonicMillis
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class ServerDirectoryTest {
    private val timer = ManualTimerService()
    private val log = ArrayList<String>()

    private var millisOfStoreFailure: Long? = null

    private fun directory(tracker: ServerTracker) = ServerDirectory(
        ::decode,
        tracker,
        timer,
        { event, fields -> log += "$event $fields" },
        { millisOfStoreFailure?.let { timer.monotonicMillis() - it } },
    )

    private fun failStore() {
        millisOfStoreFailure = timer.monotonicMillis()
    }

    private fun list(revision: Long, vararg entries: StoredObject) = ObjectPage(entries.toList(), revision)

    private fun server(name: String, version: Long) = entry(name, version, "address" to "10.0.0.1:80")

    private fun ServerTracker.names() = all().map { it.id.value }

    private fun decode(entry: StoredObject): BackendServer? {
        val address = (entry.spec["address"] as? JsonPrimitive)?.content ?: return null
        return BackendServer(
            BackendServerId(entry.name),
            "engines",
            address,
            FailureDomainId("dalton"),
            slots = 8,
            coldRemainingMillis = (entry.spec["cold"] as? JsonPrimitive)?.content?.toLong(),
            entryRevision = entry.version,
        )
    }

    private fun entry(name: String, version: Long, vararg fields: Pair<String, String>) = StoredObject(
        ObjectKind.BACKEND_SERVERS,
        name,
        version,
        JsonObject(fields.associate { (field, value) -> field to JsonPrimitive(value) }),
    )

    /** Peers refuse a message over their size limit, and would never learn of another change. */
    @Test
    fun `an entry that names no server is not passed on to peers, and the revision is`() {
        val watching = directory(ServerTracker(timer))
        watching.replaceAll(list(3, entry("a", 3, "address" to "10.0.0.1:80")))
        watching.update(entry("odd", 4, "note" to "x".repeat(5_000_000)))
        expectThat(watching.snapshot.document.length).isLessThan(1_000)
        val tracker = ServerTracker(timer)
        val following = directory(tracker)
        following.tryApply(watching.snapshot)
        expectThat(following.revision).isEqualTo(4)
        expectThat(tracker.all().map { it.id.value }).containsExactly("a")
    }

    @Test
    fun `an entry that names no server leaves one short line, not one for each of its changes`() {
        val directory = directory(ServerTracker(timer))
        val name = "odd".repeat(100_000)
        for (version in 1L..20L) directory.update(entry(name, version))
        directory.replaceAll(list(21, entry(name, 21)))
        val lines = log.filter { it.startsWith("backend_server_unusable") }
        expectThat(lines).hasSize(1)
        expectThat(log.maxOf { it.length }).isLessThan(1_000)
    }

    /** The server may go on serving, so that its own answers don't show that it has left. */
    @Test
    fun `a server that is missing in a list of a store that did not fail is removed at once`() {
        val tracker = ServerTracker(timer)
        val directory = directory(tracker)
        directory.replaceAll(list(3, server("a", 2), server("b", 3)))
        directory.replaceAll(list(4, server("b", 3)))
        expectThat(tracker.names()).containsExactly("b")
    }

    @Test
    fun `a server that is missing after an outage is kept as long as it may take to register again`() {
        val tracker = ServerTracker(timer)
        val directory = directory(tracker)
        directory.replaceAll(list(3, server("a", 2), server("b", 3)))
        failStore()
        timer.advance(500)
        directory.replaceAll(list(5))
        timer.advance(2_000)
        directory.update(server("b", 6))
        expectThat(tracker.names()).containsExactlyInAnyOrder("a", "b")
        timer.advance(1_000)
        expectThat(tracker.names()).containsExactly("b")
    }

    @Test
    fun `calls that fail now and then do not keep a missing server`() {
        val tracker = ServerTracker(timer)
        val directory = directory(tracker)
        directory.replaceAll(list(3, server("a", 2), server("b", 3)))
        failStore()
        directory.replaceAll(list(4, server("b", 3)))
        repeat(10) {
            timer.advance(2_000)
            failStore()
        }
        expectThat(tracker.names()).containsExactly("b")
    }

    @Test
    fun `a server that lapsed in an outage is kept when a peer that did not see the outage lacks it`() {
        val tracker = ServerTracker(timer)
        val directory = directory(tracker)
        directory.replaceAll(list(3, server("a", 2), server("b", 3)))
        failStore()
        timer.advance(500)
        val started = ServerDirectory(::decode, ServerTracker(timer), timer, { _, _ -> })
        started.replaceAll(list(5, server("b", 5)))
        directory.tryApply(started.snapshot)
        expectThat(tracker.names()).containsExactlyInAnyOrder("a", "b")
        timer.advance(3_000)
        expectThat(tracker.names()).containsExactly("b")
    }

    @Test
    fun `repeated lists do not keep a missing server`() {
        val tracker = ServerTracker(timer)
        val directory = directory(tracker)
        directory.replaceAll(list(3, server("a", 2), server("b", 3)))
        failStore()
        repeat(3) {
            timer.advance(1_000)
            directory.replaceAll(list(4L + it, server("b", 3)))
        }
        expectThat(tracker.names()).containsExactly("b")
    }

    @Test
    fun `a server that is missing when the store fails again is kept until its return`() {
        val tracker = ServerTracker(timer)
        val directory = directory(tracker)
        directory.replaceAll(list(3, server("a", 2)))
        failStore()
        directory.replaceAll(list(4))
        timer.advance(2_000)
        failStore()
        timer.advance(2_500)
        expectThat(tracker.names()).containsExactly("a")
        timer.advance(500)
        expectThat(tracker.names()).isEmpty()
    }

    /** A node whose watch was cut off gets its events again when it is back, after it has asked a peer. */
    @Test
    fun `a late event does not bring back a server that a peer's newer list lacks`() {
        val tracker = ServerTracker(timer)
        val directory = directory(tracker)
        directory.replaceAll(list(3, server("a", 2), server("b", 3)))
        directory.tryApply(snapshotOf(list(3, server("a", 2), server("b", 3))) { remove("a", 9) })
        directory.update(server("a", 4))
        expectThat(tracker.names()).containsExactly("b")
    }

    @Test
    fun `a list that was read before a peer's snapshot does not bring back a server`() {
        val tracker = ServerTracker(timer)
        val directory = directory(tracker)
        directory.tryApply(snapshotOf(list(3, server("a", 2), server("b", 3))) { remove("a", 9) })
        directory.replaceAll(list(5, server("a", 2), server("b", 3)))
        expectThat(tracker.names()).containsExactly("b")
        expectThat(directory.revision).isEqualTo(9)
    }

    @Test
    fun `a late removal does not remove a server that has registered again`() {
        val tracker = ServerTracker(timer)
        val directory = directory(tracker)
        directory.replaceAll(list(8, server("a", 8)))
        directory.remove("a", 6)
        expectThat(tracker.names()).containsExactly("a")
    }

    /** Servers write a few times a second, and each node would fetch the list from its peer each time. */
    @Test
    fun `a heartbeat is no change for peers, and a removal after it is`() {
        val tracker = ServerTracker(timer)
        val watching = directory(ServerTracker(timer))
        val following = directory(tracker)
        watching.replaceAll(list(3, server("a", 2), server("b", 3)))
        following.tryApply(watching.snapshot)
        log.clear()
        watching.update(server("a", 7))
        expectThat(watching.revision).isEqualTo(3)
        expectThat(log).isEmpty()
        watching.remove("a", 5)
        watching.remove("b", 8)
        following.tryApply(watching.snapshot)
        expectThat(tracker.names()).containsExactly("a")
    }

    @Test
    fun `a remaining time that runs down is no change, and a new one is`() {
        val watching = directory(ServerTracker(timer))
        val heartbeats = ArrayList<Long?>()
        watching.onHeartbeat = { heartbeats += it.coldRemainingMillis }
        watching.replaceAll(list(3, coldServer("a", 2, "3000")))
        watching.update(coldServer("a", 4, "1800"))
        watching.update(coldServer("a", 5, "0"))
        expectThat(watching.revision).isEqualTo(2)
        expectThat(heartbeats).containsExactly(1_800, 0)
        watching.update(coldServer("a", 6, "3000"))
        expectThat(watching.revision).isEqualTo(6)
    }

    private fun coldServer(name: String, version: Long, remainingMillis: String) =
        entry(name, version, "address" to "10.1.0.9:80", "cold" to remainingMillis)

    /** The watch begins at the revision of the first page, and delivers the removal. */
    @Test
    fun `a removal is applied although a later page of the list had a newer entry`() {
        val tracker = ServerTracker(timer)
        val directory = directory(tracker)
        directory.replaceAll(list(5, server("a", 2), server("b", 9)))
        expectThat(directory.revision).isEqualTo(5)
        directory.remove("a", 7)
        directory.update(server("c", 8))
        expectThat(tracker.names()).containsExactlyInAnyOrder("b", "c")
    }

    /** The peer's revision does not grow when it gives the server up, so that this node does not ask it again. */
    @Test
    fun `a node gives up the servers that it took over from a peer that kept them`() {
        val tracker = ServerTracker(timer)
        val watching = directory(ServerTracker(timer))
        watching.replaceAll(list(3, server("a", 2), server("b", 3)))
        failStore()
        watching.replaceAll(list(5, server("b", 3)))
        val snapshot = watching.snapshot
        millisOfStoreFailure = null
        val following = directory(tracker)
        following.tryApply(snapshot)
        expectThat(tracker.names()).containsExactlyInAnyOrder("a", "b")
        timer.advance(3_000)
        expectThat(tracker.names()).containsExactly("b")
    }

    @Test
    fun `a server that has left does not come back with a peer that keeps it`() {
        val tracker = ServerTracker(timer)
        val following = directory(tracker)
        following.replaceAll(list(3, server("a", 2), server("b", 3)))
        following.remove("a", 4)
        failStore()
        following.tryApply(snapshotOf(list(3, server("a", 2), server("b", 3))) { replaceAll(list(5, server("b", 3))) })
        expectThat(tracker.names()).containsExactly("b")
    }

    @Test
    fun `a server that a node keeps after an outage stays when it takes over the list of a peer`() {
        val tracker = ServerTracker(timer)
        val directory = directory(tracker)
        directory.replaceAll(list(3, server("a", 2), server("b", 3)))
        failStore()
        directory.replaceAll(list(5, server("b", 3)))
        directory.tryApply(snapshotOf(list(7, server("b", 7))))
        expectThat(tracker.names()).containsExactlyInAnyOrder("a", "b")
        timer.advance(3_000)
        expectThat(tracker.names()).containsExactly("b")
    }

    @Test
    fun `a server that is missing in a list is removed at peers that take the list over`() {
        val tracker = ServerTracker(timer)
        val watching = directory(ServerTracker(timer))
        val following = directory(tracker)
        watching.replaceAll(list(3, server("a", 2), server("b", 3)))
        following.tryApply(watching.snapshot)
        watching.replaceAll(list(5, server("b", 3)))
        following.tryApply(watching.snapshot)
        expectThat(tracker.names()).containsExactly("b")
    }

    /** The snapshot of a peer that read [list], after the [changes] to it. */
    private fun snapshotOf(list: ObjectPage, changes: ServerDirectory.() -> Unit = {}) =
        directory(ServerTracker(timer)).apply { replaceAll(list) }.apply(changes).snapshot
}
