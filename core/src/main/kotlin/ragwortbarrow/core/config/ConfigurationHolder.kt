package ragwortbarrow.core.config

import com.github.michaelbull.result.getOrElse
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.manifest.ManifestValidator
import java.util.concurrent.atomic.AtomicReference

/**
 * Holds the configuration in force. Its version only grows: a lower or equal one is ignored, whoever sends it. Readers
 * take no lock; changes and notifications are serialized, so that subscribers see versions in their order.
 */
class ConfigurationHolder(
    private val check: ManifestValidator = ManifestValidator(),
    private val decisionLog: DecisionLog = DecisionLog.NONE,
) : ConfigurationView {
    private val state = AtomicReference(State())
    private val subscribers = mutableListOf<(ConfigurationSnapshot) -> Unit>()

    override val current: ConfigurationSnapshot? get() = state.get().snapshot

    val status: ConfigurationStatus get() = state.get().status

    /** The head of the configuration in force. */
    val head: ConfigurationHead? get() = state.get().head

    /** A part of the configuration in force by its digest. */
    fun part(sha256: String): ConfigurationPart? = state.get().parts[sha256]

    /** Whether [version] is still to be tried: it is neither in force nor older, and was not rejected before. */
    fun wants(version: Long): Boolean = status.let { version > it.appliedVersion && version > it.rejectedVersion }

    @Synchronized
    override fun subscribe(listener: (ConfigurationSnapshot) -> Unit) {
        subscribers += listener
        current?.let(listener)
    }

    /** Puts the configuration of [head] in force, or keeps the present one and records the reason. */
    @Synchronized
    fun offer(head: ConfigurationHead, partOf: (String) -> ConfigurationPart?): OfferOutcome {
        if (!wants(head.version)) return OfferOutcome.Ignored
        val manifest = joinParts(head, partOf).getOrElse { return reject(head.version, it) }
        val faults = check.validate(manifest)
        if (faults.isNotEmpty()) {
            return reject(head.version, "${faults.size} faults, the first is ${faults.first()}")
        }
        val snapshot = ConfigurationSnapshot(head.version, manifest)
        val parts = head.parts.mapNotNull { partOf(it.sha256) }.associateBy { it.sha256 }
        state.updateAndGet { it.copy(it.status.copy(appliedVersion = head.version), head, parts, snapshot) }
        decisionLog.record("configuration_applied", "version" to head.version, "writer" to head.writer)
        subscribers.forEach { it(snapshot) }
        return OfferOutcome.Applied(snapshot)
    }

    private fun reject(version: Long, reason: String): OfferOutcome {
        state.updateAndGet { it.copy(status = it.status.copy(rejectedVersion = version, rejectedReason = reason)) }
        decisionLog.record("configuration_rejected", "version" to version, "reason" to reason)
        return OfferOutcome.Rejected(reason)
    }

    private data class State(
        val status: ConfigurationStatus = ConfigurationStatus(),
        val head: ConfigurationHead? = null,
        val parts: Map<String, ConfigurationPart> = emptyMap(),
        val snapshot: ConfigurationSnapshot? = null,
    )
}

/** What became of a configuration that was offered to a [ConfigurationHolder]. */
sealed interface OfferOutcome {
    data class Applied(val snapshot: ConfigurationSnapshot) : OfferOutcome

    data class Rejected(val reason: String) : OfferOutcome

    /** The version is not newer than the one in force, or was rejected before. */
    data object Ignored : OfferOutcome
}
