package ragwortbarrow.core.manifest

/** A validation error: the path of the field, such as `customers[3].burst`, and what is wrong with it. */
data class ManifestError(val path: String, val message: String) {
    override fun toString(): String = "$path: $message"
}
