package ragwortbarrow.core.quarantine

/** A batch item that could be sent at once if no part of its prompt were refused; [id] is unique among all nodes. */
data class HeldItem(val id: String, val sharedParts: List<String>)
