package ragwortbarrow.entry

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class ServerDirectoryTest {
    private val timer = ManualTimerService()
    private val log = ArrayList<String>()

    private fun directory(tracker: ServerTracker) =
        ServerDirectory(::decode, tracker, timer, { event, fields -> log += "$event $fields" })

    private fun decode(entry: StoredObject): BackendServer? {
        val address = (entry.spec["address"] as? JsonPrimitive)?.content ?: return null
        return BackendServer(BackendServerId(entry.name), "engines", address, FailureDomainId("dalton"), slots = 8)
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
        watching.replaceAll(listOf(entry("a", 3, "address" to "10.0.0.1:80")))
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
        directory.replaceAll(listOf(entry(name, 21)))
        val lines = log.filter { it.startsWith("backend_server_unusable") }
        expectThat(lines).hasSize(1)
        expectThat(log.maxOf { it.length }).isLessThan(1_000)
    }
}
