package ragwortbarrow.peer

import com.google.protobuf.ByteString
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.fleet.JobPage
import ragwortbarrow.core.fleet.NodeState
import ragwortbarrow.core.fleet.Snapshot
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.jobs.ItemResult
import ragwortbarrow.core.placement.Occupancy
import ragwortbarrow.fleet.v1.CustomerUse
import ragwortbarrow.fleet.v1.ResultsReply
import ragwortbarrow.fleet.v1.ServerLoad
import ragwortbarrow.fleet.v1.Node as WireNode
import ragwortbarrow.fleet.v1.NodeState as WireNodeState
import ragwortbarrow.fleet.v1.Result as WireResult
import ragwortbarrow.fleet.v1.Snapshot as WireSnapshot

internal fun FleetNode.toWire(): WireNode =
    WireNode.newBuilder().setVm(vm.value).setAddress(address).setIncarnation(incarnation)
        .setFailureDomain(failureDomain.value).build()

internal fun WireNode.toCore() = FleetNode(VmId(vm), address, incarnation, FailureDomainId(failureDomain))

internal fun NodeState.toWire(): WireNodeState = WireNodeState.newBuilder()
    .setSender(sender.toWire())
    .setLeaving(isLeaving)
    .setConfigurationVersion(configurationVersion)
    .setServersRevision(serversRevision)
    .addAllLoads(
        loads.map { (server, load) ->
            ServerLoad.newBuilder().setServer(server.value).setOnline(load.online).setBatch(load.batch).build()
        },
    )
    .addAllUses(
        admitted.map { (customer, count) ->
            CustomerUse.newBuilder().setCustomer(customer.value).setAdmitted(count).build()
        },
    )
    .addAllMembers(members.map { it.toWire() })
    .addAllEndedJobs(endedJobs)
    .addAllTakenJobs(takenJobs)
    .addAllAcceptedJobs(acceptedJobs)
    .build()

internal fun WireNodeState.toCore() = NodeState(
    sender = sender.toCore(),
    isLeaving = leaving,
    configurationVersion = configurationVersion,
    serversRevision = serversRevision,
    loads = loadsList.associate { BackendServerId(it.server) to Occupancy(online = it.online, batch = it.batch) },
    admitted = usesList.associate { CustomerId(it.customer) to it.admitted },
    members = membersList.map { it.toCore() },
    endedJobs = endedJobsList.toList(),
    takenJobs = takenJobsList.toList(),
    acceptedJobs = acceptedJobsList.toList(),
)

internal fun Snapshot.toWire(): WireSnapshot =
    WireSnapshot.newBuilder().setRevision(revision).setDocument(ByteString.copyFromUtf8(document)).build()

internal fun WireSnapshot.toCore() = Snapshot(revision, document.toStringUtf8())

internal fun JobPage?.toWire(): ResultsReply {
    if (this == null) return ResultsReply.getDefaultInstance()
    return ResultsReply.newBuilder().setHeld(true).setTotal(total).addAllResults(results.map { it.toWire() }).build()
}

internal fun ResultsReply.toCore(): JobPage? =
    if (held) JobPage(total, resultsList.map { ItemResult(it.item, it.completed, it.output) }) else null

private fun ItemResult.toWire(): WireResult =
    WireResult.newBuilder().setItem(id).setCompleted(isCompleted).setOutput(output).build()
