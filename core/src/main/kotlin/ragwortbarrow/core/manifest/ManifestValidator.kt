package ragwortbarrow.core.manifest

import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import java.net.URI
import java.net.URISyntaxException

/** Size limits. The system is designed for 2,900 backend servers and 660 customers; the limits leave room to grow. */
data class ManifestLimits(
    val idLength: Int = 128,
    val failureDomains: Int = 64,
    val limitShardsPerDomain: Int = 64,
    val models: Int = 200,
    val services: Int = 1_000,
    val customers: Int = 100_000,
    val backendServers: Int = 100_000,
    val bodyLimitBytes: Int = 64_000_000,
)

/** Validates manifests and reports all errors at once, so that an operator can correct them in one pass. */
class ManifestValidator(private val limits: ManifestLimits = ManifestLimits()) {
    /** Returns all errors of [manifest] in the order of its fields; empty if the manifest is valid. */
    fun validate(manifest: Manifest): List<ManifestError> = ManifestErrorCollector(manifest, limits).collect()
}

private class ManifestErrorCollector(private val manifest: Manifest, private val limits: ManifestLimits) {
    private val errors = mutableListOf<ManifestError>()
    private val failureDomains: Set<FailureDomainId> = manifest.fleet.failureDomains.mapTo(HashSet()) { it.id }
    private val models: Set<String> = manifest.models.mapTo(HashSet()) { it.id }
    private val services: Set<String> = manifest.services.mapTo(HashSet()) { it.id }
    private val customers: Set<CustomerId> = manifest.customers.mapTo(HashSet()) { it.id }

    fun collect(): List<ManifestError> {
        checkName("name", manifest.name)
        checkFleet()
        checkModels()
        checkServices()
        checkCustomers()
        checkBackendServers()
        checkKeys()
        checkBatchJobs()
        return errors
    }

    private fun checkFleet() = with(manifest.fleet) {
        checkIds("fleet.failureDomains", failureDomains.map { it.id.value }, limits.failureDomains)
        errorAt("fleet.failureDomains", "must not be empty").takeIf { failureDomains.isEmpty() }.add()
        failureDomains.forEachIndexed { index, domain ->
            val path = "fleet.failureDomains[$index]"
            checkRange("$path.limitShards", domain.limitShards, 1..limits.limitShardsPerDomain)
            checkName("$path.region", domain.region)
        }
        checkPositive("fleet.keyStalenessLimitSeconds", keyStalenessLimitSeconds)
        checkRange("fleet.bodyLimitBytes", bodyLimitBytes, 1..limits.bodyLimitBytes)
        checkPositive("fleet.queueWaitMillis", queueWaitMillis)
        checkPositive("fleet.queueLengthPerCustomer", queueLengthPerCustomer)
    }

    private fun checkModels() {
        checkIds("models", manifest.models.map { it.id }, limits.models)
        manifest.models.forEachIndexed { index, model -> checkPositive("models[$index].maxTokens", model.maxTokens) }
    }

    private fun checkServices() {
        checkIds("services", manifest.services.map { it.id }, limits.services)
        manifest.services.forEachIndexed { index, service ->
            val path = "services[$index]"
            checkPathPrefix(index, service.pathPrefix)
            service.customers.forEachIndexed { at, customer -> checkCustomer("$path.customers[$at]", customer) }
            checkDuplicates("$path.customers", service.customers.map { it.value })
            if (service.access == Access.OPEN && service.customers.isNotEmpty()) {
                errorAt("$path.customers", "must be empty because the service needs no key").add()
            }
        }
    }

    private fun checkPathPrefix(index: Int, prefix: String) {
        val path = "services[$index].pathPrefix"
        val normalized = prefix.trimEnd('/')
        when {
            !prefix.startsWith("/") -> errorAt(path, "must start with '/'").add()
            normalized.isEmpty() -> errorAt(path, "must not be the root path").add()
            !PATH.matches(prefix) -> errorAt(path, "contains characters that are not allowed in a path").add()
            "//" in prefix || normalized.split('/').any { it == "." || it == ".." } ->
                errorAt(path, "must not contain empty, '.' or '..' segments").add()
        }
        if (normalized.isEmpty()) return
        RESERVED_PATHS.filter { normalized.overlaps(it) }
            .forEach { errorAt(path, "overlaps the reserved path '$it'").add() }
        manifest.services.take(index).forEachIndexed { other, service ->
            if (normalized.overlaps(service.pathPrefix.trimEnd('/'))) {
                errorAt(path, "overlaps services[$other].pathPrefix '${service.pathPrefix}'").add()
            }
        }
    }

    private fun checkCustomers() {
        checkIds("customers", manifest.customers.map { it.id.value }, limits.customers)
        manifest.customers.forEachIndexed { index, customer ->
            val path = "customers[$index]"
            if (!customer.ratePerSecond.isFinite() || customer.ratePerSecond <= 0.0) {
                errorAt("$path.ratePerSecond", "must be a finite number over 0, not ${customer.ratePerSecond}").add()
            }
            checkPositive("$path.burst", customer.burst)
            checkPositive("$path.weight", customer.weight)
            customer.models.forEachIndexed { at, model -> checkModel("$path.models[$at]", model) }
            checkDuplicates("$path.models", customer.models)
        }
    }

    private fun checkBackendServers() {
        checkIds("backendServers", manifest.backendServers.map { it.id.value }, limits.backendServers)
        manifest.backendServers.forEachIndexed { index, server ->
            val path = "backendServers[$index]"
            urlError(server.url)?.let { errorAt("$path.url", it).add() }
            if (server.failureDomain !in failureDomains) {
                errorAt("$path.failureDomain", "unknown failure domain '${server.failureDomain}'").add()
            }
            server.models.forEachIndexed { at, model -> checkModel("$path.models[$at]", model) }
            checkDuplicates("$path.models", server.models)
            checkPositive("$path.slots", server.slots)
            val service = server.service
            when {
                service == null && server.models.isEmpty() -> errorAt(path, "needs 'models' or 'service'").add()
                service != null && server.models.isNotEmpty() ->
                    errorAt(path, "must not have both 'models' and 'service'").add()
                service != null && service !in services -> errorAt("$path.service", "unknown service '$service'").add()
            }
        }
    }

    private fun checkKeys() {
        checkIds("keys", manifest.keys.map { it.id }, limits.customers)
        manifest.keys.forEachIndexed { index, key ->
            checkCustomer("keys[$index].customer", key.customer)
            if (!SHA256.matches(key.sha256)) {
                errorAt("keys[$index].sha256", "must be a SHA-256 digest of 64 lower-case hexadecimal digits").add()
            }
        }
        manifest.keys.withIndex().groupBy { it.value.sha256 }.values.filter { it.size > 1 }.flatMap { it.drop(1) }
            .forEach { errorAt("keys[${it.index}].sha256", "is the digest of another key of this manifest").add() }
    }

    private fun checkBatchJobs() {
        checkIds("batchJobs", manifest.batchJobs.map { it.id }, limits.customers)
        manifest.batchJobs.forEachIndexed { index, job ->
            val path = "batchJobs[$index]"
            checkCustomer("$path.customer", job.customer)
            if (job.inputFile.isBlank()) errorAt("$path.inputFile", "must not be empty").add()
            if (!job.endpoint.startsWith("/")) errorAt("$path.endpoint", "must start with '/'").add()
            checkPositive("$path.completionWindowSeconds", job.completionWindowSeconds)
        }
    }

    private fun checkIds(path: String, ids: List<String>, limit: Int) {
        if (ids.size > limit) errorAt(path, "has ${ids.size} entries, which is over the limit of $limit").add()
        val firstIndex = HashMap<String, Int>()
        ids.forEachIndexed { index, id ->
            checkName("$path[$index].id", id)
            val first = firstIndex.putIfAbsent(id, index)
            if (first != null) errorAt("$path[$index].id", "duplicate id '$id', first used by $path[$first]").add()
        }
    }

    private fun checkName(path: String, name: String) {
        when {
            name.isEmpty() -> errorAt(path, "must not be empty").add()
            name.length > limits.idLength -> errorAt(path, "must not exceed ${limits.idLength} characters").add()
            !NAME.matches(name) ->
                errorAt(path, "'$name' must start with a letter or digit and contain only those, '.', '_', '-'").add()
        }
    }

    private fun checkDuplicates(path: String, values: List<String>) {
        val seen = HashSet<String>()
        values.forEachIndexed { index, value ->
            if (!seen.add(value)) errorAt("$path[$index]", "repeats '$value'").add()
        }
    }

    private fun checkModel(path: String, model: String) {
        if (model !in models) errorAt(path, "unknown model '$model'").add()
    }

    private fun checkCustomer(path: String, customer: CustomerId) {
        if (customer !in customers) errorAt(path, "unknown customer '$customer'").add()
    }

    private fun checkPositive(path: String, value: Number) {
        if (value.toLong() <= 0) errorAt(path, "must be over 0, not $value").add()
    }

    private fun checkRange(path: String, value: Int, range: IntRange) {
        if (value !in range) errorAt(path, "must be between ${range.first} and ${range.last}, not $value").add()
    }

    private fun errorAt(path: String, message: String) = ManifestError(path, message)

    private fun ManifestError?.add() {
        if (this != null) errors += this
    }

    private companion object {
        val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]*")
        val PATH = Regex("/[A-Za-z0-9._~/-]*")
        val SHA256 = Regex("[0-9a-f]{64}")
        val RESERVED_PATHS = listOf("/v1", "/livez", "/readyz", "/metrics")
    }
}

private fun String.overlaps(other: String) = this == other || startsWith("$other/") || other.startsWith("$this/")

private fun urlError(url: String): String? = try {
    val uri = URI(url)
    when {
        uri.scheme !in setOf("http", "https") -> "must be an http or https URL, not '$url'"
        uri.host == null -> "has no host: '$url'"
        uri.rawUserInfo != null -> "must not contain user information"
        uri.rawQuery != null || uri.rawFragment != null -> "must not have a query or fragment: '$url'"
        else -> null
    }
} catch (failure: URISyntaxException) {
    "is not a URL: ${failure.reason}"
}
