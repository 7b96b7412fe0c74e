package ragwortbarrow.node.http

import ragwortbarrow.core.batch.BatchService
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.keys.KeyView
import ragwortbarrow.core.limits.AdmissionLimiter
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.routing.OnlineService
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.node.drain.Drain
import ragwortbarrow.node.metrics.NodeMetrics

/** Components and limits that the callers' API uses. */
class CallerApiDependencies(
    val configuration: ConfigurationView,
    val keys: KeyView,
    val limiter: AdmissionLimiter,
    val online: OnlineService,
    val batch: BatchService,
    val drain: Drain,
    val metrics: NodeMetrics,
    val timer: TimerService,
    val log: DecisionLog,
    /** Whether keys can be checked; the node is not ready until then. */
    val keysLoaded: () -> Boolean = { true },
    /** Whether requests with a key can be admitted; the node is not ready until then. */
    val canAdmit: () -> Boolean = { true },
    val bodyLimitBytes: Int? = null,
    val fileLimitBytes: Long = 64_000_000,
    val requestTimeoutMillis: Long = 60_000,
)
