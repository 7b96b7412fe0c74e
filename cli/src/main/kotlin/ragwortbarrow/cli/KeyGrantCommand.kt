package ragwortbarrow.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.michaelbull.result.fold
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.KeyId
import ragwortbarrow.core.keys.KeyGrant
import ragwortbarrow.core.keys.sha256Hex
import java.security.SecureRandom
import java.util.Base64
import java.util.UUID

/** `ragwortbarrow key grant`: makes a key, prints it once and stores only its digest. */
class KeyGrantCommand(private val random: SecureRandom = SecureRandom()) : CliktCommand(name = "grant") {
    private val platform by PlatformOptions()
    private val customer by option("--customer", metavar = "ID", help = "Customer the key belongs to").required()
    private val id by option("--id", help = "Id of the key; a random one if not given")

    override fun help(context: Context): String = "Grants a new key to a customer and prints it; it is shown only once."

    override fun run() {
        val key = "rb-" + Base64.getUrlEncoder().withoutPadding().encodeToString(ByteArray(32).also(random::nextBytes))
        val keyId = id ?: UUID.randomUUID().toString()
        val grant = KeyGrant(KeyId(keyId), CustomerId(customer), sha256Hex(key))
        platform.use { grantKey(grant) }.fold(
            { echo("id=$keyId key=$key") },
            { failWith("key $keyId was not granted: $it") },
        )
    }
}
