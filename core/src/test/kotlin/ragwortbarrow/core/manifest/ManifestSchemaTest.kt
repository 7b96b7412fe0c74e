package ragwortbarrow.core.manifest

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.File

/** Guards against a published schema that no longer matches the manifest classes. */
@OptIn(ExperimentalSerializationApi::class)
class ManifestSchemaTest {
    private val schema = Json.parseToJsonElement(File("../docs/manifest.schema.json").readText()).jsonObject
    private val definitions = schema.getValue("\$defs").jsonObject

    @Test
    fun `the schema has the same fields and required fields as the manifest`() {
        val types = mapOf(
            schema to Manifest.serializer().descriptor,
            definition("fleet") to Fleet.serializer().descriptor,
            definition("failureDomain") to FailureDomain.serializer().descriptor,
            definition("model") to Model.serializer().descriptor,
            definition("service") to Service.serializer().descriptor,
            definition("customer") to Customer.serializer().descriptor,
            definition("backendServer") to BackendServer.serializer().descriptor,
            definition("key") to ManifestKey.serializer().descriptor,
            definition("batchJob") to ManifestBatchJob.serializer().descriptor,
        )
        types.forEach { (definition, descriptor) ->
            expectThat(definition.getValue("properties").jsonObject.keys).isEqualTo(descriptor.elementNames.toSet())
            expectThat(definition.getValue("required").jsonArray.map { it.jsonPrimitive.content }.toSet())
                .isEqualTo(descriptor.requiredNames())
        }
    }

    private fun definition(name: String): JsonObject = definitions.getValue(name).jsonObject

    private fun SerialDescriptor.requiredNames() =
        (0 until elementsCount).filterNot { isElementOptional(it) }.mapTo(HashSet()) { getElementName(it) }
}
