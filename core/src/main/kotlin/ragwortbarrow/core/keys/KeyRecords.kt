package ragwortbarrow.core.keys

import kotlinx.serialization.Serializable
import org.apache.commons.codec.digest.DigestUtils
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.KeyId

/** A granted key; [sha256] is the digest of the key in lower-case hexadecimal. */
@Serializable
data class KeyGrant(val id: KeyId, val customer: CustomerId, val sha256: String)

/** SHA-256 of [text] in lower-case hexadecimal. */
fun sha256Hex(text: String): String = DigestUtils.sha256Hex(text)

/** SHA-256 of [bytes] in lower-case hexadecimal. */
fun sha256Hex(bytes: ByteArray): String = DigestUtils.sha256Hex(bytes)
