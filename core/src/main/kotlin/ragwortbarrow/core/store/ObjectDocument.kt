package ragwortbarrow.core.store

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/*
 * The JSON form of the object API, which follows the conventions of the Kubernetes API: resource versions are strings
 * without a meaning to clients other than this one, errors are `Status` objects, and a watch is one event per line.
 */

/** Reads and writes the documents of the object API; unknown fields are ignored, as the conventions demand. */
val storeJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/** Where the kinds of the system live in the object API. */
const val OBJECT_API_PATH: String = "/apis/ragwortbarrow/v1"

/** The media type that asks for a list or watch without specs. */
const val METADATA_ONLY_MEDIA_TYPE: String = "application/json;as=PartialObjectMetadataList;g=meta.k8s.io;v=v1"

@Serializable
data class ObjectMetadata(
    val name: String = "",
    val resourceVersion: String = "",
    val labels: Map<String, String> = emptyMap(),
)

@Serializable
data class ObjectDocument(
    val kind: String = "",
    val metadata: ObjectMetadata = ObjectMetadata(),
    val spec: JsonObject = JsonObject(emptyMap()),
)

@Serializable
data class ListMetadata(val resourceVersion: String = "", val `continue`: String = "")

@Serializable
data class ObjectListDocument(
    val kind: String = "List",
    val metadata: ListMetadata = ListMetadata(),
    val items: List<ObjectDocument> = emptyList(),
)

/** An error as the object API reports it. */
@Serializable
data class StatusDocument(
    val kind: String = "Status",
    val status: String = "Failure",
    val reason: String = "",
    val message: String = "",
    val code: Int = 0,
)

@Serializable
data class Preconditions(val resourceVersion: String? = null)

@Serializable
data class DeleteOptions(val preconditions: Preconditions = Preconditions())

/** One line of a watch: `ADDED`, `MODIFIED`, `DELETED`, `BOOKMARK` or `ERROR`. */
@Serializable
data class WatchLine(val type: String, val `object`: JsonElement)

/** The document of this object. */
fun StoredObject.toDocument(): ObjectDocument =
    ObjectDocument(kind.path, ObjectMetadata(name, version.toString(), labels), spec)

/** The object that this document describes; [kind] is known from the path of the request. */
fun ObjectDocument.toStoredObject(kind: ObjectKind): StoredObject =
    StoredObject(kind, metadata.name, metadata.resourceVersion.toLong(), spec, metadata.labels)
