package ragwortbarrow.entry

import ragwortbarrow.core.allowance.CustomerRateLimiter
import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.placement.Evacuations
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.quarantine.PromptQuarantine
import ragwortbarrow.core.serverlimit.LimitHolders
import ragwortbarrow.core.serverlimit.ServerLimits
import ragwortbarrow.core.time.TimerService

/** The shared state of a node that knows [tracker]'s servers, and has no configuration. */
internal fun sharedStateOf(
    tracker: ServerTracker,
    timer: TimerService,
    quarantine: PromptQuarantine = PromptQuarantine(timer, DecisionLog.NONE),
    limits: ServerLimits = serverLimitsOf(timer),
    evacuations: Evacuations = Evacuations({ FailureDomainId(it.name) }, DecisionLog.NONE),
) = FleetStateExchange.SharedState(
    tracker,
    CustomerRateLimiter(timer, windowMillis = 5_000),
    ConfigurationHolder({ error("no configuration here") }, DecisionLog.NONE),
    ServerDirectory({ null }, tracker, timer, DecisionLog.NONE),
    CancelledJobs(timer),
    quarantine,
    limits,
    evacuations,
)

/** The limits that servers name to a fleet of one node. */
internal fun serverLimitsOf(
    timer: TimerService,
    members: FleetMembers =
        FleetMembers(FleetNode(VmId("vm-1"), "127.0.0.1:1", incarnation = 1, FailureDomainId("dalton")), timer),
) = ServerLimits(LimitHolders(members), timer, DecisionLog.NONE)
