package ragwortbarrow.core.config

import kotlinx.serialization.Serializable

/** The head of the configuration chain: a version that only grows and the parts that make it up. */
@Serializable
data class ConfigurationHead(val version: Long, val parts: List<ConfigurationPartRef>, val writer: String)

/** A part of a configuration by name, with the digest of its content. */
@Serializable
data class ConfigurationPartRef(val name: String, val sha256: String)

/** The content of a part: JSON text whose SHA-256 digest is [sha256]. */
@Serializable
data class ConfigurationPart(val sha256: String, val json: String)
