package ragwortbarrow.core.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse

/**
 * Lists all objects of [kind], page by page. The returned version is that of the first page: later pages may be newer,
 * so a watch from that version may repeat changes but misses none. Fails with [StoreError.Rejected] if a page begins
 * where an earlier one began, since the list would not end.
 */
suspend fun ObjectStore.listAll(kind: ObjectKind, metadataOnly: Boolean = false): Result<ObjectPage, StoreError> {
    val objects = mutableListOf<StoredObject>()
    val tokens = HashSet<String>()
    var token: String? = null
    var version: Long? = null
    do {
        val page = list(kind, continueToken = token, metadataOnly = metadataOnly).getOrElse { return Err(it) }
        objects += page.items
        version = version ?: page.listVersion
        token = page.continueToken
        if (token != null && !tokens.add(token)) {
            return Err(StoreError.Rejected("the list of $kind does not advance after ${tokens.size} pages"))
        }
    } while (token != null)
    return Ok(ObjectPage(objects, version))
}
