package ragwortbarrow.cli

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.check
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import kotlinx.coroutines.runBlocking

/** The options of every command that calls a node as a customer does. */
class NodeOptions : OptionGroup("Node") {
    private val nodeUrl by option(
        "--node-url",
        envvar = "RAGWORTBARROW_NODE_URL",
        help = "URL of a node, or of the load balancer in front of the nodes",
    ).required().check("must be an http or https URL") { it.startsWith("http://") || it.startsWith("https://") }
    private val key by option("--key", envvar = "RAGWORTBARROW_KEY", help = "Key of the customer")

    /** Runs [body] with a client of the node. */
    fun <T> use(body: suspend NodeApi.() -> T): T = NodeApi(nodeUrl, key).use { api -> runBlocking { api.body() } }
}
