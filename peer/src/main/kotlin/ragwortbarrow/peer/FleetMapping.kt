package ragwortbarrow.peer

import com.google.protobuf.ByteString
import ragwortbarrow.core.allowance.CustomerUsage
import ragwortbarrow.core.fleet.ActivitySummary
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.fleet.JobPage
import ragwortbarrow.core.fleet.MemberReport
import ragwortbarrow.core.fleet.NodeState
import ragwortbarrow.core.fleet.Snapshot
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.jobs.ItemResult
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.placement.Occupancy
import ragwortbarrow.core.placement.ServerOutcomes
import ragwortbarrow.core.placement.ServerTimings
import ragwortbarrow.core.quarantine.CrashReport
import ragwortbarrow.core.quarantine.QuarantineEvidence
import ragwortbarrow.core.quarantine.QuarantineReport
import ragwortbarrow.core.quarantine.TrialReport
import ragwortbarrow.core.serverlimit.ServerLimitReport
import ragwortbarrow.fleet.v1.AcceptedJob
import ragwortbarrow.fleet.v1.AnsweredPart
import ragwortbarrow.fleet.v1.Member
import ragwortbarrow.fleet.v1.PromptCrash
import ragwortbarrow.fleet.v1.QuarantinedPart
import ragwortbarrow.fleet.v1.ResultsReply
import ragwortbarrow.fleet.v1.ServerLimit
import ragwortbarrow.fleet.v1.ServerLoad
import ragwortbarrow.fleet.v1.CustomerUse as WireCustomerUse
import ragwortbarrow.fleet.v1.Node as WireNode
import ragwortbarrow.fleet.v1.NodeState as WireNodeState
import ragwortbarrow.fleet.v1.Result as WireResult
import ragwortbarrow.fleet.v1.Snapshot as WireSnapshot

internal fun FleetNode.toWire(): WireNode =
    WireNode.newBuilder().setVm(vm.value).setAddress(address).setIncarnation(incarnation)
        .setFailureDomain(failureDomain.value).setCapacity(capacityMillicores).build()

internal fun WireNode.toCore() = FleetNode(VmId(vm), address, incarnation, FailureDomainId(failureDomain), capacity)

private fun MemberReport.toWire(): Member =
    Member.newBuilder().setNode(node.toWire()).setAgeMillis(ageMillis).setLeaving(isLeaving).build()

private fun Member.toCore() = MemberReport(node.toCore(), ageMillis, leaving)

internal fun NodeState.toWire(): WireNodeState = WireNodeState.newBuilder()
    .setSender(sender.toWire())
    .setLeaving(isLeaving)
    .setConfigurationVersion(configurationVersion)
    .setServersRevision(serversRevision)
    .addAllLoads(activity.serverLoads())
    .addAllUses(
        activity.usage.map { (customer, use) ->
            WireCustomerUse.newBuilder().setCustomer(customer.value)
                .setAdmitted(use.admitted).setOffered(use.offered).build()
        },
    )
    .addAllMembers(members.map { it.toWire() })
    .addAllEndedJobs(cancelledJobs)
    .addAllTakenJobs(activity.takenOverJobs)
    .addAllAcceptedJobs(
        activity.acceptedJobs.map { (job, holder) ->
            AcceptedJob.newBuilder().setJob(job).setVm(holder.vm).setIncarnation(holder.incarnation).build()
        },
    )
    .addAllPromptCrashes(activity.quarantineEvidence.crashes.map { it.toWire() })
    .addAllAnsweredParts(
        activity.quarantineEvidence.answerAgesMillis.map { (part, age) ->
            AnsweredPart.newBuilder().setPart(part).setAgeMillis(age).build()
        },
    )
    .addAllQuarantinedParts(
        activity.quarantineEvidence.quarantines.map { (part, report) ->
            QuarantinedPart.newBuilder().setPart(part).setCrashes(report.crashes).setRenewals(report.renewals)
                .setLastCrashAgeMillis(report.lastCrashAgeMillis)
                .setTrialsStarted(report.trials.started).setTrialsReturned(report.trials.returned)
                .setFirstCandidate(report.trials.firstCandidate.orEmpty()).build()
        },
    )
    .addAllServerLimits(activity.serverLimits.map { (server, report) -> report.toWire(server) })
    .setRelayed(isRelayed)
    .setUrgent(needsBatchSlot)
    .setPlatformAnswers(isStoreReachable)
    .setEvacuationsRevision(evacuationsRevision)
    .build()

private fun ActivitySummary.serverLoads(): List<ServerLoad> =
    (loads.keys + outcomes.keys + timings.keys).map { server ->
        val load = loads[server] ?: Occupancy()
        val outcome = outcomes[server] ?: ServerOutcomes()
        val timing = timings[server] ?: ServerTimings()
        ServerLoad.newBuilder().setServer(server.value).setOnline(load.online).setBatch(load.batch)
            .setAnswered(outcome.answered).setFailed(outcome.failed)
            .setEvents(timing.events).setEventMillis(timing.eventMillis).build()
    }

internal fun WireNodeState.toCore() = NodeState(
    sender = sender.toCore(),
    isLeaving = leaving,
    configurationVersion = configurationVersion,
    serversRevision = serversRevision,
    activity = ActivitySummary(
        loads = loadsList.associate { BackendServerId(it.server) to Occupancy(online = it.online, batch = it.batch) },
        outcomes = loadsList.filter { it.answered + it.failed > 0 }
            .associate { BackendServerId(it.server) to ServerOutcomes(it.answered, it.failed) },
        timings = loadsList.filter { it.events > 0 }
            .associate { BackendServerId(it.server) to ServerTimings(it.events, it.eventMillis) },
        usage = usesList.associate { CustomerId(it.customer) to CustomerUsage(it.admitted, it.offered) },
        takenOverJobs = takenJobsList.toList(),
        acceptedJobs = acceptedJobsList.associate { it.job to JobHolder(it.vm, it.incarnation) },
        quarantineEvidence = quarantineEvidence(),
        serverLimits = serverLimitsList.associate { BackendServerId(it.server) to it.toCore() },
    ),
    members = membersList.map { it.toCore() },
    cancelledJobs = endedJobsList.toList(),
    isRelayed = relayed,
    needsBatchSlot = urgent,
    isStoreReachable = platformAnswers,
    evacuationsRevision = evacuationsRevision,
)

private fun ServerLimitReport.toWire(server: BackendServerId): ServerLimit {
    val builder = ServerLimit.newBuilder().setServer(server.value).setAgeMillis(ageMillis)
    requestsPerSecond?.let { builder.setRequestsPerSecond(it) }
    incarnation?.let { builder.setIncarnation(it) }
    return builder.build()
}

private fun ServerLimit.toCore() = ServerLimitReport(
    requestsPerSecond = if (hasRequestsPerSecond()) requestsPerSecond else null,
    incarnation = if (hasIncarnation()) incarnation else null,
    ageMillis = ageMillis,
)

private fun CrashReport.toWire(): PromptCrash = PromptCrash.newBuilder()
    .setServer(server.value)
    .setRequest(requestId)
    .addAllParts(sharedParts)
    .setAgeMillis(ageMillis)
    .build()

private fun WireNodeState.quarantineEvidence() = QuarantineEvidence(
    crashes = promptCrashesList.map {
        CrashReport(BackendServerId(it.server), it.request, it.partsList.toList(), it.ageMillis)
    },
    answerAgesMillis = answeredPartsList.associate { it.part to it.ageMillis },
    quarantines = quarantinedPartsList.associate {
        val trials = TrialReport(it.trialsStarted, it.trialsReturned, it.firstCandidate.ifEmpty { null })
        it.part to QuarantineReport(it.crashes, it.renewals, it.lastCrashAgeMillis, trials)
    },
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
