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
 * Publishes a manifest as the next version: creates the parts that are new, then replaces the head with a conditional
 * update. If two operators publish at the same time, one update fails and its error names the version and the writer
 * that won; manifests are never merged.
 */
class ConfigurationPublisher(
    private val store: ObjectStore,
    private val writer: IdempotentWriter,
    private val validator: ManifestValidator = ManifestValidator(),
) {
    /** Publishes [manifest]; if [expectedVersion] is set, only when that is the current version. */
    suspend fun publish(manifest: Manifest, expectedVersion: Long? = null): Result<PublishedVersion, PublishError> {
        val errors = validator.validate(manifest)
        if (errors.isNotEmpty()) return Err(PublishError.Invalid(errors))
        val current = readHead().getOrElse { return Err(PublishError.PlatformFailed(it)) }
        val head = current?.let(ConfigurationObjects::headOf)
        val version = head?.version ?: 0
        if (expectedVersion != null && expectedVersion != version) {
            return Err(PublishError.VersionConflict(version, head?.writer.orEmpty()))
        }
        val split = manifest.splitIntoParts()
        if (head?.parts == split.refs) return Ok(PublishedVersion(head, changedParts = 0))
        return write(current, split)
    }

    private suspend fun write(current: StoredObject?, split: ManifestParts): Result<PublishedVersion, PublishError> {
        val head = current?.let(ConfigurationObjects::headOf)
        val known = head?.parts.orEmpty().mapTo(HashSet()) { it.sha256 }
        val missing = split.parts.values.filter { it.sha256 !in known }
        missing.forEach { part -> createPart(part).onFailure { return Err(PublishError.PlatformFailed(it)) } }
        return writeHead(current, ConfigurationHead((head?.version ?: 0) + 1, split.refs, writer = ""))
            .map { PublishedVersion(it, missing.size) }
    }

    private suspend fun createPart(part: ConfigurationPart): Result<Unit, StoreError> =
        writer.create(ObjectKind.CONFIGURATION_PARTS, part.sha256, ConfigurationObjects.specOf(part)).fold(
            { Ok(Unit) },
            // Parts are named by the digest of their content, so an existing part has the same content.
            { error ->
                when (error) {
                    is StoreError.AlreadyExists -> Ok(Unit)
                    // No head refers to the part yet, so the configuration is unchanged whether or not it was created.
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
            // A newer version may already have replaced this one; publishing succeeded all the same.
            { Ok(head.copy(writer = it.lastWriter().orEmpty())) },
            { error ->
                when (error) {
                    is StoreError.Conflict, is StoreError.AlreadyExists -> Err(versionConflict())
                    else -> Err(PublishError.PlatformFailed(error))
                }
            },
        )
    }

    private suspend fun versionConflict(): PublishError {
        val winner = readHead().get()?.let(ConfigurationObjects::headOf)
        return PublishError.VersionConflict(winner?.version ?: 0, winner?.writer.orEmpty())
    }

    private suspend fun readHead(): Result<StoredObject?, StoreError> =
        store.get(ObjectKind.CONFIGURATIONS, ConfigurationObjects.HEAD)
            .fold({ Ok(it) }, { if (it is StoreError.NotFound) Ok(null) else Err(it) })
}

/** The current head after publishing; [changedParts] is 0 if the manifest was already published. */
data class PublishedVersion(val head: ConfigurationHead, val changedParts: Int)

/** Why a manifest was not published. */
sealed interface PublishError {
    val message: String

    data class Invalid(val errors: List<ManifestError>) : PublishError {
        override val message: String get() = errors.joinToString("\n")
    }

    /** The current version is not the one that this manifest was meant to replace. */
    data class VersionConflict(val version: Long, val writer: String) : PublishError {
        override val message: String get() = "version $version of $writer is in force; nothing was changed"
    }

    /** The platform call failed; only after [StoreError.OutcomeUnknown] may the manifest have been published. */
    data class PlatformFailed(val error: StoreError) : PublishError {
        override val message: String get() = when (error) {
            is StoreError.OutcomeUnknown -> "it is unknown whether the manifest is in force: ${error.message}"
            else -> "nothing was changed: ${error.message}"
        }
    }
}
