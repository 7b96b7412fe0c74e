package ragwortbarrow.core.config

import com.github.michaelbull.result.getOrElse
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.manifest.ManifestValidator
import java.util.concurrent.atomic.AtomicReference

/**
 * Holds the active configuration. Its version never decreases: a version that is not higher is ignored, whatever its
 * source. Reads take no lock. Updates and notifications run under one lock, so subscribers receive versions in order.
 */
class ConfigurationHolder(
    private val validator: ManifestValidator = ManifestValidator(),
    private val decisionLog: DecisionLog = DecisionLog.NONE,
) : ConfigurationView {
    private val state = AtomicReference(State())
    private val subscribers = mutableListOf<(ConfigurationSnapshot) -> Unit>()

    override val current: ConfigurationSnapshot? get() = state.get().snapshot

    val status: ConfigurationStatus get() = state.get().status

    /** The head of the active configuration. */
    val head: ConfigurationHead? get() = state.get().head

    /** Returns the part of the active configuration with the digest [sha256]. */
    fun part(sha256: String): ConfigurationPart? = state.get().parts[sha256]

    /** Whether [version] is newer than both the active version and the last rejected one. */
    fun isCandidate(version: Long): Boolean = status.let { version > it.appliedVersion && version > it.rejectedVersion }

    @Synchronized
    override fun subscribe(listener: (ConfigurationSnapshot) -> Unit) {
        subscribers += listener
        current?.let(listener)
    }

    /** Activates the configuration of [head], or keeps the current one and logs why the new one was rejected. */
    @Synchronized
    fun tryApply(head: ConfigurationHead, partOf: (String) -> ConfigurationPart?): ApplyOutcome {
        if (!isCandidate(head.version)) return ApplyOutcome.Ignored
        val manifest = joinParts(head, partOf).getOrElse { return reject(head.version, it) }
        val errors = validator.validate(manifest)
        if (errors.isNotEmpty()) {
            return reject(head.version, "the manifest has ${errors.size} errors, the first is ${errors.first()}")
        }
        val snapshot = ConfigurationSnapshot(head.version, manifest)
        val parts = head.parts.mapNotNull { partOf(it.sha256) }.associateBy { it.sha256 }
        state.updateAndGet { it.copy(it.status.copy(appliedVersion = head.version), head, parts, snapshot) }
        decisionLog.record("configuration_applied", "version" to head.version, "writer" to head.writer)
        subscribers.forEach { it(snapshot) }
        return ApplyOutcome.Applied(snapshot)
    }

    private fun reject(version: Long, reason: String): ApplyOutcome {
        state.updateAndGet { it.copy(status = it.status.copy(rejectedVersion = version, rejectedReason = reason)) }
        decisionLog.record("configuration_rejected", "version" to version, "reason" to reason)
        return ApplyOutcome.Rejected(reason)
    }

    private data class State(
        val status: ConfigurationStatus = ConfigurationStatus(),
        val head: ConfigurationHead? = null,
        val parts: Map<String, ConfigurationPart> = emptyMap(),
        val snapshot: ConfigurationSnapshot? = null,
    )
}

/** Result of [ConfigurationHolder.tryApply]. */
sealed interface ApplyOutcome {
    data class Applied(val snapshot: ConfigurationSnapshot) : ApplyOutcome

    data class Rejected(val reason: String) : ApplyOutcome

    /** The version is not newer than the active one, or was rejected before. */
    data object Ignored : ApplyOutcome
}
