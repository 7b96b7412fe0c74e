package ragwortbarrow.soak

/** What servers stated in responses that nodes had passed on, and the nodes that may have sent each request. */
internal class PassedAnswers(records: SoakRecords, private val nodes: List<String>) {
    private val answers = records.calls.filter { it.serverAnswer != null }
        .groupBy({ it.node to checkNotNull(it.serverAnswer).server }, { checkNotNull(it.serverAnswer) })
    private val callsById = records.calls.associateBy { it.id }
    private val jobsByItem = records.jobs.flatMap { job -> job.items.map { it to job } }.toMap()

    /** Responses of [server] that [node] had passed on. */
    fun of(server: String, node: String): List<ServerAnswer> = answers[node to server].orEmpty()

    /** Responses of [server] that any node had passed on. */
    fun of(server: String): List<ServerAnswer> = nodes.flatMap { of(server, it) }

    /** The node that the caller used; each node may send the items of a job. */
    fun possibleSenders(requestId: String): List<String> = callsById[requestId]?.let { listOf(it.node) } ?: nodes

    /** When the caller sent the request, or the job of the item; null if neither is known. */
    fun sentMillis(requestId: String): Long? = callsById[requestId]?.sentMillis ?: jobsByItem[requestId]?.sentMillis
}
