package ragwortbarrow.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

/** Kinds of online requests, one for each online route. */
internal enum class SoakKind(val prefix: String, val isRepeatable: Boolean, val isStream: Boolean) {
    PAGE("/page/", isRepeatable = true, isStream = false),
    ORDER("/order/", isRepeatable = false, isStream = false),
    ASK("/ask/", isRepeatable = true, isStream = true),
    BLURB("/blurb/", isRepeatable = false, isStream = true),
}

/** An online request as its caller observed it. */
internal data class SoakCall(
    val id: String,
    val kind: SoakKind,
    val node: String,
    val key: String,
    val sentMillis: Long,
    val endedMillis: Long,
    /** 0 if the connection ended without a response. */
    val status: Int,
    val body: String,
    val isStamped: Boolean,
    /** Whether the body ended normally. */
    val isComplete: Boolean,
    val failure: String? = null,
    val serverAnswer: ServerAnswer? = null,
)

/** What [server] stated about itself in a response that a node had passed on at [atMillis]. */
internal data class ServerAnswer(
    val server: String,
    val atMillis: Long,
    val isLeaving: Boolean = false,
    val requestLimit: String? = null,
)

/** Result of one item of a batch job. */
internal data class SoakResult(val item: String, val state: String, val output: String)

/** A batch job as its caller observed it. */
internal class SoakJob(val id: String, val items: List<String>, val sentMillis: Long = nowMillis()) {
    val statuses = ConcurrentLinkedQueue<Int>()
    val results = ConcurrentHashMap<Int, SoakResult>()

    @Volatile
    var acceptedMillis: Long? = null

    @Volatile
    var cancelledMillis: Long? = null

    @Volatile
    var cancelledAtNode: String = ""

    val isComplete: Boolean get() = results.size == items.size
}

/** What callers observed, and the violations that were detected during the run. */
internal class SoakRecords {
    val calls = ConcurrentLinkedQueue<SoakCall>()
    val jobs = ConcurrentLinkedQueue<SoakJob>()
    val violations = ConcurrentLinkedQueue<String>()
    val withdrawals = ConcurrentLinkedQueue<KeyWithdrawal>()
    val drains = ConcurrentLinkedQueue<ServerDrain>()
    val restarts = ConcurrentLinkedQueue<NodeRestart>()
    val limits = ConcurrentLinkedQueue<ServerLimit>()
    val coldStarts = ConcurrentLinkedQueue<ColdStart>()
    val evacuations = ConcurrentLinkedQueue<Evacuation>()

    /** Times when the process of a node was paused or not running. */
    val interruptions = Disturbances()

    /** Times when a link had a fault. */
    val linkFaults = Disturbances()
}

/** The store acknowledged at [atMillis] that [key] is withdrawn, and at [untilMillis] that it is granted again. */
internal data class KeyWithdrawal(val key: String, val atMillis: Long, val untilMillis: Long)

/** The store acknowledged at [atMillis] that [server] is draining. */
internal data class ServerDrain(val server: String, val atMillis: Long)

/** [node] was stopped gracefully at [fromMillis], and its process had ended at [untilMillis]. */
internal data class NodeRestart(val node: String, val fromMillis: Long, val untilMillis: Long)

/** [server] is cold between [fromMillis] and [untilMillis]. */
internal data class ColdStart(val server: String, val fromMillis: Long, val untilMillis: Long)

/** The store acknowledged at [fromMillis] that [failureDomain] is evacuated; it was until [untilMillis]. */
internal data class Evacuation(val failureDomain: String, val fromMillis: Long, val untilMillis: Long)

/** [server], behind [link], named [limit] in its responses between [fromMillis] and [untilMillis]. */
internal data class ServerLimit(
    val server: String,
    val link: String,
    val limit: String,
    val fromMillis: Long,
    val untilMillis: Long,
) {
    /** Null if [limit] is not valid. */
    val requestsPerSecond: Double? get() = limit.toDoubleOrNull()?.takeIf { it.isFinite() && it >= 0 }
}
