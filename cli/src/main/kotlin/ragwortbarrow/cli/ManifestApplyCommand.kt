package ragwortbarrow.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onFailure
import ragwortbarrow.core.config.ConfigurationPublisher
import ragwortbarrow.core.ids.KeyId
import ragwortbarrow.core.keys.KeyGrant
import ragwortbarrow.core.manifest.Manifest
import java.nio.file.Path

/** Submits the batch jobs of a manifest; the error is a message for the operator. */
fun interface ManifestBatchJobs {
    suspend fun submit(session: PlatformSession, manifest: Manifest, file: Path): Result<Unit, String>
}

/**
 * `ragwortbarrow manifest apply FILE`: publishes a manifest as the next version and grants its keys.
 *
 * The keys come after the configuration, so that a manifest that lost a race grants none. Applying the same manifest
 * again changes nothing and grants the keys that are still missing.
 */
class ManifestApplyCommand(private val batchJobs: ManifestBatchJobs? = null) : CliktCommand(name = "apply") {
    private val platform by PlatformOptions()
    private val file by argument("FILE").path(mustExist = true, canBeDir = false)
    private val expectVersion by option("--expect-version", help = "Apply only if this version is in force").long()

    override fun help(context: Context): String =
        "Applies a manifest as the next version. A manifest with any fault is refused as a whole."

    override fun run() {
        val manifest = readManifest(file)
        // Refused before anything is published, so that a manifest is applied whole or not at all.
        if (manifest.batchJobs.isNotEmpty() && batchJobs == null) {
            failWith(
                "batchJobs: submitting the jobs of a manifest is not supported yet; use 'ragwortbarrow job submit'",
            )
        }
        platform.use {
            val published = ConfigurationPublisher(store, writer).publish(manifest, expectVersion)
            published.fold(
                { echo("version ${it.head.version} published, ${it.changedParts} changed parts") },
                { failWith(it.message) },
            )
            if (!grantKeys(manifest)) throw ProgramResult(ExitCodes.REFUSED)
            batchJobs?.submit(this, manifest, file)?.onFailure { failWith(it) }
        }
    }

    private suspend fun PlatformSession.grantKeys(manifest: Manifest): Boolean {
        val refused = manifest.keys.mapNotNull { key ->
            grantKey(KeyGrant(KeyId(key.id), key.customer, key.sha256)).fold({ null }, { "key ${key.id}: $it" })
        }
        refused.forEach { echo(it, err = true) }
        return refused.isEmpty()
    }
}
