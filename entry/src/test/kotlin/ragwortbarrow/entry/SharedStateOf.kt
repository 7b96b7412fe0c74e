package ragwortbarrow.entry

import ragwortbarrow.core.allowance.CustomerRateLimiter
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.quarantine.PromptQuarantine
import ragwortbarrow.core.time.TimerService

/** The shared state of a node that knows [tracker]'s servers, and has no configuration. */
internal fun sharedStateOf(
    tracker: ServerTracker,
    timer: TimerService,
    quarantine: PromptQuarantine = PromptQuarantine(timer, DecisionLog.NONE),
) = FleetStateExchange.SharedState(
    tracker,
    CustomerRateLimiter(timer, windowMillis = 5_000),
    ConfigurationHolder({ error("no configuration here") }, DecisionLog.NONE),
    ServerDirectory({ null }, tracker, timer, DecisionLog.NONE),
    CancelledJobs(timer),
    quarantine,
)
