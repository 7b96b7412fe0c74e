package ragwortbarrow.core.config

/**
 * The active version of a node and the newest version that it rejected, with the reason. A node reports both in its
 * `vmleases` object, modelled on the "Applied configuration resource" of 7/CMP (Kaa Configuration Management Protocol).
 */
data class ConfigurationStatus(
    val appliedVersion: Long = 0,
    val rejectedVersion: Long = 0,
    val rejectedReason: String = "",
)
