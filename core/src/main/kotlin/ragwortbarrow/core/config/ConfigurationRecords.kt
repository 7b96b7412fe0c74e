package ragwortbarrow.core.config

import kotlinx.serialization.Serializable

/** Entry point of a stored configuration: its version, which only increases, and references to its parts. */
@Serializable
data class ConfigurationHead(val version: Long, val parts: List<ConfigurationPartRef>, val writer: String)

/** Reference to a part of a configuration: the name of the part and the SHA-256 digest of its content. */
@Serializable
data class ConfigurationPartRef(val name: String, val sha256: String)

/** Content of a part: JSON text whose SHA-256 digest is [sha256]. */
@Serializable
data class ConfigurationPart(val sha256: String, val json: String)
