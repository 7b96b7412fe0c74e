package ragwortbarrow.node.metrics

import ragwortbarrow.node.drain.Drain

/** Where the gauges of a node read their values. */
class NodeGauges(
    val drain: Drain,
    val liveMembers: () -> Int = { 0 },
    val platformAgeMillis: () -> Long? = { null },
    val configurationVersion: () -> Long = { 0L },
    val ownedShards: () -> Int = { 0 },
    val waitingRequests: () -> Int = { 0 },
)
