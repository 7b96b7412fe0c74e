package ragwortbarrow.core.manifest

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId

/**
 * The manifest that an operator's build pipeline generates: everything that is configured, described whole.
 * `docs/manifest.schema.json` describes the same structure for other tools.
 */
@Serializable
data class Manifest(
    val name: String,
    val fleet: Fleet,
    val models: List<Model> = emptyList(),
    val services: List<Service> = emptyList(),
    val customers: List<Customer> = emptyList(),
    val backendServers: List<BackendServer> = emptyList(),
    val keys: List<ManifestKey> = emptyList(),
    val batchJobs: List<ManifestBatchJob> = emptyList(),
)

/** Settings of the fleet as a whole. */
@Serializable
data class Fleet(
    val failureDomains: List<FailureDomain>,
    val cutOffKeys: CutOffKeys = CutOffKeys.REFUSE,
    val keyStalenessLimitSeconds: Int = 9,
    val bodyLimitBytes: Int = 1_000_000,
    val queueWaitMillis: Long = 2_000,
    val queueLengthPerCustomer: Int = 64,
)

@Serializable
data class FailureDomain(val id: FailureDomainId, val region: String = "default", val limitShards: Int = 1)

/** What a failure domain that is cut off from everything does with requests that need a key. */
@Serializable
enum class CutOffKeys {
    @SerialName("refuse")
    REFUSE,

    @SerialName("serve")
    SERVE,
}

@Serializable
data class Model(val id: String, val maxTokens: Int = 512)

/** A plain service, reached by its path prefix. */
@Serializable
data class Service(
    val id: String,
    val pathPrefix: String,
    val access: Access = Access.KEY,
    val repeatable: Boolean = false,
    val customers: List<CustomerId> = emptyList(),
)

@Serializable
enum class Access {
    /** The request needs a key of a customer that may use the service. */
    @SerialName("key")
    KEY,

    /** The route is open to everyone. */
    @SerialName("open")
    OPEN,
}

/** A customer; an empty [models] list allows every model. */
@Serializable
data class Customer(
    val id: CustomerId,
    val ratePerSecond: Double,
    val burst: Int,
    val weight: Int = 1,
    val models: List<String> = emptyList(),
)

/** A backend server: an engine that serves [models], or a plain service named by [service]. */
@Serializable
data class BackendServer(
    val id: BackendServerId,
    val url: String,
    val failureDomain: FailureDomainId,
    val models: List<String> = emptyList(),
    val service: String? = null,
    val slots: Int = 8,
    val checksFencing: Boolean = false,
    val leaving: Boolean = false,
)

/** A key as the manifest describes it: only its SHA-256 digest in hexadecimal, never the key itself. */
@Serializable
data class ManifestKey(val id: String, val customer: CustomerId, val sha256: String)

/** A batch job of the manifest; [inputFile] is relative to the manifest and [id] makes the submission idempotent. */
@Serializable
data class ManifestBatchJob(
    val id: String,
    val customer: CustomerId,
    val inputFile: String,
    val endpoint: String = "/v1/chat/completions",
    val completionWindowSeconds: Long = 86_400,
)
