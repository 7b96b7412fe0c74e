package ragwortbarrow.scenarios

import com.charleskorn.kaml.Yaml
import kotlinx.serialization.Serializable

/**
 * A scripted scenario: a fleet of separate processes, steps that act on it, and expectations.
 *
 * Each step sets exactly one field. Expectations wait for their condition with a long timeout, so a slow machine
 * prolongs a scenario but does not change its result.
 */
@Serializable
data class Scenario(val name: String, val guards: String, val fleet: FleetPlan, val steps: List<Step>)

@Serializable
data class FleetPlan(
    val nodes: List<NodePlan>,
    val engines: List<EnginePlan> = emptyList(),
    val services: List<ServicePlan> = emptyList(),
    val customers: List<CustomerPlan> = emptyList(),
)

@Serializable
data class NodePlan(val vm: String, val domain: String)

@Serializable
data class EnginePlan(
    val id: String,
    val domain: String,
    val model: String = "model",
    val slots: Int = 16,
    val tokenMillis: Int = 2,
    val arguments: List<String> = emptyList(),
)

@Serializable
data class ServicePlan(val id: String, val domain: String, val open: Boolean = false, val repeatable: Boolean = false)

@Serializable
data class CustomerPlan(val id: String, val ratePerSecond: Double = 1_000.0, val burst: Int = 1_000)

@Serializable
data class Step(
    val start: List<String>? = null,
    val stop: List<String>? = null,
    val kill: List<String>? = null,
    val freeze: List<String>? = null,
    val thaw: List<String>? = null,
    val cut: Cut? = null,
    val heal: Boolean? = null,
    val outage: Boolean? = null,
    val loseReplies: Double? = null,
    val apply: ManifestChange? = null,
    val grant: KeyGrantStep? = null,
    val withdraw: WithdrawStep? = null,
    val fault: EngineFault? = null,
    val send: Send? = null,
    val submit: Submit? = null,
    val cancel: String? = null,
    val expect: Expectation? = null,
)

/** Cuts the links between the nodes in [between] and all other nodes, and with [platform] also to the platform. */
@Serializable
data class Cut(val between: List<String> = emptyList(), val platform: Boolean = false)

/** Applies the fleet's manifest with these changes, from [racing] commands at once. */
@Serializable
data class ManifestChange(val leaving: List<String> = emptyList(), val racing: Int = 1)

@Serializable
data class KeyGrantStep(val key: String, val customer: String)

@Serializable
data class WithdrawStep(val key: String, val confirmed: Boolean = true)

@Serializable
data class EngineFault(val server: String, val settings: Map<String, String>)

/** Sends requests at a fixed rate to [nodes] in turn; with [balanced] only to those that report ready. */
@Serializable
data class Send(
    val name: String,
    val key: String? = null,
    val requests: Int,
    val ratePerSecond: Double,
    val nodes: List<String>,
    val kind: CallKind = CallKind.WHOLE,
    val service: String? = null,
    val background: Boolean = false,
    val balanced: Boolean = false,
)

@Serializable
enum class CallKind { WHOLE, STREAM, GET, POST }

@Serializable
data class Submit(val job: String, val key: String, val items: Int, val node: String, val poisonEvery: Int = 0)

/** Conditions that must hold within [withinSeconds]; absent fields are not checked. */
@Serializable
data class Expectation(
    val withinSeconds: Long = 60,
    val ready: List<String>? = null,
    val version: Long? = null,
    val sent: SentExpectation? = null,
    val job: JobExpectation? = null,
    val keyAnswers: KeyAnswers? = null,
    val runsAtMostOnce: List<String>? = null,
    val noKeySeen: Boolean? = null,
    val noNewWork: String? = null,
    val exited: List<String>? = null,
)

/**
 * Expected outcome of a [Send]: every response is complete and belongs to its request, and no request that was refused
 * as `not-run` ran. At least [answeredShare] of the requests were answered; with [withinRateOf] at most
 * `burst + rate * time` of them were admitted.
 */
@Serializable
data class SentExpectation(
    val name: String,
    val answeredShare: Double = 0.0,
    val withinRateOf: String? = null,
    val codes: List<Int>? = null,
)

@Serializable
data class JobExpectation(val name: String, val state: String, val completed: Int? = null, val failed: Int? = null)

/** Requests with [key] get [status] on each of [nodes]: 401 withdrawn, 503 key state is stale, 200 served. */
@Serializable
data class KeyAnswers(val key: String, val nodes: List<String>, val status: Int)

/** Parses a scenario; the error for an unknown field or a wrong type names its line. */
internal fun parseScenario(text: String): Scenario = Yaml.default.decodeFromString(Scenario.serializer(), text)
