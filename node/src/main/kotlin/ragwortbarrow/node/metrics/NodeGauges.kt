package ragwortbarrow.node.metrics

import ragwortbarrow.node.drain.Drain

/** Sources of the gauge values of a node. */
class NodeGauges(
    val drain: Drain,
    val liveMembers: () -> Int = { 0 },
    val platformAgeMillis: () -> Long? = { null },
    val configurationVersion: () -> Long = { 0L },
    val ownedShards: () -> Int = { 0 },
    val waitingRequests: () -> Int = { 0 },
)
