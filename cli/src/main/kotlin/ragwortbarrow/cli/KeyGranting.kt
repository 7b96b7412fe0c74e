package ragwortbarrow.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import ragwortbarrow.core.keys.KeyGrant
import ragwortbarrow.core.keys.KeyObjects
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoreError

/**
 * Creates the grant on the platform; granting the same again is no error. The error is a message for the operator. A
 * withdrawn id is refused, because its tombstone outlasts every grant.
 */
internal suspend fun PlatformSession.grantKey(grant: KeyGrant): Result<Unit, String> {
    val name = grant.id.value
    val withdrawn = store.get(ObjectKind.KEY_TOMBSTONES, name).fold({ true }, { error ->
        if (error is StoreError.NotFound) false else return Err(error.message)
    })
    if (withdrawn) return Err("the id was withdrawn and is never granted again")
    return writer.create(ObjectKind.KEY_GRANTS, name, KeyObjects.specOf(grant)).fold(
        { Ok(Unit) },
        { error -> if (error is StoreError.AlreadyExists) compareWithExisting(grant) else Err(error.message) },
    )
}

private suspend fun PlatformSession.compareWithExisting(grant: KeyGrant): Result<Unit, String> =
    store.get(ObjectKind.KEY_GRANTS, grant.id.value).fold(
        { stored ->
            if (KeyObjects.grantOf(stored) == grant) Ok(Unit) else Err("the id is granted already with another content")
        },
        { Err(it.message) },
    )
