package ragwortbarrow.core.store

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/*
 * JSON documents of the object API, which follows the conventions of the Kubernetes API: resource versions are strings
 * that are opaque to other clients, errors are `Status` objects, and a watch sends one event per line.
 */

/** JSON format of the object API; unknown fields are ignored, as the Kubernetes conventions require. */
val storeJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/** Base path of this system's kinds in the object API. */
const val OBJECT_API_PATH: String = "/apis/ragwortbarrow/v1"

/** Media type that requests a list or watch without specs. */
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

/** Error response of the object API. */
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

/** Converts this object to its document in the object API. */
fun StoredObject.toDocument(): ObjectDocument =
    ObjectDocument(kind.path, ObjectMetadata(name, version.toString(), labels), spec)

/** Converts this document to an object; [kind] comes from the request path. */
fun ObjectDocument.toStoredObject(kind: ObjectKind): StoredObject =
    StoredObject(kind, metadata.name, metadata.resourceVersion.toLong(), spec, metadata.labels)
