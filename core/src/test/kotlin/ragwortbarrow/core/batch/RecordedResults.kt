package ragwortbarrow.core.batch

import kotlinx.coroutines.launch
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.WatchEvent
import ragwortbarrow.core.store.WatchFailedException
import ragwortbarrow.core.store.resourceVersion
import ragwortbarrow.core.time.pause

/** Watches every version of every chunk and records results that change or disappear. */
internal class RecordedResults(fleet: SimulatedFleet) {
    private val results = HashMap<Pair<String, Int>, ItemResult>()
    private val violations = ArrayList<String>()

    init {
        fleet.scope.launch {
            var version = 0L
            while (true) {
                try {
                    fleet.store.watch(ObjectKind.BATCH_CHUNKS, version).collect { event ->
                        version = event.resourceVersion()
                        if (event is WatchEvent.Changed) check(event.stored)
                    }
                } catch (e: WatchFailedException) {
                    fleet.timer.pause(100)
                }
            }
        }
    }

    fun firstViolation(): String? = violations.firstOrNull()

    private fun check(stored: StoredObject) {
        val chunk = stored.record<ChunkRecord>()
        val recorded = chunk.items.mapNotNull { item -> item.result?.let { item.index to it } }.toMap()
        recorded.forEach { (index, result) ->
            val earlier = results.put(stored.name to index, result)
            if (earlier != null && earlier != result) violations += "${stored.name}/$index changed"
        }
        results.keys.filter { it.first == stored.name && it.second !in recorded }
            .forEach { violations += "${it.first}/${it.second} disappeared" }
    }
}
