package ragwortbarrow.cli

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlTaggedNode
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.manifest.ManifestValidator
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText

/** A fault of a manifest file with its place; [line] is null where the place is not known. */
data class FileFault(val path: String, val line: Int?, val message: String) {
    override fun toString(): String = listOfNotNull(line?.let { "line $it" }, path.ifEmpty { null }, message)
        .joinToString(": ")
}

/** Reads and checks a manifest in YAML, or in JSON if the file's name ends in `.json`. */
class ManifestFile(private val check: ManifestValidator = ManifestValidator()) {
    fun read(file: Path): Result<Manifest, List<FileFault>> = try {
        parse(file.readText(), isJson = file.extension == "json")
    } catch (failure: IOException) {
        Err(listOf(FileFault("", null, "the file cannot be read: ${failure.message}")))
    }

    fun parse(text: String, isJson: Boolean): Result<Manifest, List<FileFault>> {
        val manifest = try {
            if (isJson) json.decodeFromString<Manifest>(text) else yaml.decodeFromString(Manifest.serializer(), text)
        } catch (failure: YamlException) {
            return Err(listOf(FileFault(failure.path.toHumanReadableString(), failure.line, failure.message)))
        } catch (failure: SerializationException) {
            return Err(listOf(FileFault("", lineIn(text, failure), failure.message.orEmpty().lineSequence().first())))
        }
        val faults = check.validate(manifest)
        if (faults.isEmpty()) return Ok(manifest)
        // JSON is also YAML, apart from rare spellings, so one parser finds the lines of both.
        val root = runCatching { yaml.parseToYamlNode(text) }.getOrNull()
        return Err(faults.map { FileFault(it.path, root?.lineOf(it.path), it.message) })
    }

    /** The JSON parser reports an offset in its message. */
    private fun lineIn(text: String, failure: SerializationException): Int? =
        Regex("offset (\\d+)").find(failure.message.orEmpty())
            ?.let { match -> 1 + text.take(match.groupValues[1].toInt()).count { it == '\n' } }

    private companion object {
        const val MAX_MANIFEST_CHARS = 256 * 1024 * 1024
        val json = Json
        val yaml = Yaml(configuration = YamlConfiguration(codePointLimit = MAX_MANIFEST_CHARS))
    }
}

/** The line of the field at [path], or of the nearest enclosing field that the file has. */
private fun YamlNode.lineOf(path: String): Int {
    var node = this
    for (step in Regex("[^.\\[\\]]+").findAll(path).map { it.value }) {
        node = node.child(step) ?: break
    }
    return node.location.line
}

private fun YamlNode.child(step: String): YamlNode? = when (this) {
    is YamlMap -> get<YamlNode>(step)
    is YamlList -> step.toIntOrNull()?.let { items.getOrNull(it) }
    is YamlTaggedNode -> innerNode.child(step)
    else -> null
}
