package ragwortbarrow.core.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.manifest.ManifestError
import ragwortbarrow.core.manifest.ManifestValidator
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.lastWriter

/**
 * Publishes a manifest as the next version: creates the parts that the platform lacks, then updates the head under the
 * condition that nobody else has. When two operators race, one update fails and names the winner; nothing is merged.
 */
class ConfigurationPublisher(
    private val store: ObjectStore,
    private val writer: IdempotentWriter,
    private val check: ManifestValidator = ManifestValidator(),
) {
    /** Publishes [manifest]; with [expectedVersion] only if that is the version in force. */
    suspend fun publish(manifest: Manifest, expectedVersion: Long? = null): Result<Published, PublishError> {
        val faults = check.validate(manifest)
        if (faults.isNotEmpty()) return Err(PublishError.Invalid(faults))
        val current = readHead().getOrElse { return Err(PublishError.Platform(it)) }
        val head = current?.let(ConfigurationObjects::headOf)
        val version = head?.version ?: 0
        if (expectedVersion != null && expectedVersion != version) {
            return Err(PublishError.LostRace(version, head?.writer.orEmpty()))
        }
        val cut = manifest.splitIntoParts()
        if (head?.parts == cut.refs) return Ok(Published(head, changedParts = 0))
        return write(current, cut)
    }

    private suspend fun write(current: StoredObject?, cut: ManifestParts): Result<Published, PublishError> {
        val head = current?.let(ConfigurationObjects::headOf)
        val known = head?.parts.orEmpty().mapTo(HashSet()) { it.sha256 }
        val missing = cut.parts.values.filter { it.sha256 !in known }
        missing.forEach { part -> createPart(part).onFailure { return Err(PublishError.Platform(it)) } }
        return writeHead(current, ConfigurationHead((head?.version ?: 0) + 1, cut.refs, writer = ""))
            .map { Published(it, missing.size) }
    }

    private suspend fun createPart(part: ConfigurationPart): Result<Unit, StoreError> =
        writer.create(ObjectKind.CONFIGURATION_PARTS, part.sha256, ConfigurationObjects.specOf(part)).fold(
            { Ok(Unit) },
            // A part is named by its content, so an existing one is the same.
            { error ->
                when (error) {
                    is StoreError.AlreadyExists -> Ok(Unit)
                    // The head does not refer to the part yet, so nothing has changed in any case.
                    is StoreError.OutcomeUnknown -> Err(StoreError.Unavailable(error.message))
                    else -> Err(error)
                }
            },
        )

    private suspend fun writeHead(
        current: StoredObject?,
        head: ConfigurationHead,
    ): Result<ConfigurationHead, PublishError> {
        val spec = ConfigurationObjects.specOf(head)
        val written = when (current) {
            null -> writer.create(ObjectKind.CONFIGURATIONS, ConfigurationObjects.HEAD, spec)
            else -> writer.update(current, spec)
        }
        return written.fold(
            // A newer version may already be in force; what counts is that this one was.
            { Ok(head.copy(writer = it.lastWriter().orEmpty())) },
            { error ->
                when (error) {
                    is StoreError.Conflict, is StoreError.AlreadyExists -> Err(lostRace())
                    else -> Err(PublishError.Platform(error))
                }
            },
        )
    }

    private suspend fun lostRace(): PublishError {
        val winner = readHead().get()?.let(ConfigurationObjects::headOf)
        return PublishError.LostRace(winner?.version ?: 0, winner?.writer.orEmpty())
    }

    private suspend fun readHead(): Result<StoredObject?, StoreError> =
        store.get(ObjectKind.CONFIGURATIONS, ConfigurationObjects.HEAD)
            .fold({ Ok(it) }, { if (it is StoreError.NotFound) Ok(null) else Err(it) })
}

/** The head in force after publishing; [changedParts] is 0 if the manifest was in force already. */
data class Published(val head: ConfigurationHead, val changedParts: Int)

/** Why a manifest was not published. */
sealed interface PublishError {
    val message: String

    data class Invalid(val faults: List<ManifestError>) : PublishError {
        override val message: String get() = faults.joinToString("\n")
    }

    /** Another version is in force than the one that this manifest was to replace. */
    data class LostRace(val version: Long, val writer: String) : PublishError {
        override val message: String get() = "version $version of $writer is in force; nothing was changed"
    }

    /** The platform failed; only [StoreError.OutcomeUnknown] leaves open whether the manifest is in force. */
    data class Platform(val error: StoreError) : PublishError {
        override val message: String get() = when (error) {
            is StoreError.OutcomeUnknown -> "it is not known whether the manifest is in force: ${error.message}"
            else -> "nothing was changed: ${error.message}"
        }
    }
}
