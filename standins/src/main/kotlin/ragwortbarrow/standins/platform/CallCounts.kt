package ragwortbarrow.standins.platform

import kotlinx.serialization.Serializable
import ragwortbarrow.core.store.ObjectKind
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** The verbs of the object API as the platform counts them; an open watch counts as one call. */
enum class CallVerb(val wire: String) {
    GET("get"),
    LIST("list"),
    WATCH("watch"),
    CREATE("create"),
    UPDATE("update"),
    DELETE("delete"),
}

/** Counts calls by verb and kind, including rejected ones. */
class CallCounts {
    private val counts = ConcurrentHashMap<Pair<CallVerb, ObjectKind>, LongAdder>()

    val total: Long get() = counts.values.sumOf { it.sum() }

    fun of(verb: CallVerb, kind: ObjectKind): Long = counts[verb to kind]?.sum() ?: 0

    /** The response body of `GET /dev/calls`. */
    fun report(): CallReport = CallReport(
        total = total,
        calls = counts.map { (key, count) -> CallCount(key.first.wire, key.second.path, count.sum()) }
            .sortedWith(compareBy({ it.kind }, { it.verb })),
    )

    internal fun add(verb: CallVerb, kind: ObjectKind) = counts.computeIfAbsent(verb to kind) {
        LongAdder()
    }.increment()

    internal fun clear() = counts.clear()
}

@Serializable
data class CallReport(val total: Long, val calls: List<CallCount>)

@Serializable
data class CallCount(val verb: String, val kind: String, val count: Long)
