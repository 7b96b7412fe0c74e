package ragwortbarrow.entry

/** The beginning of [name]: names of objects that other writers leave in the platform's store may have any length. */
internal fun loggedName(name: String): String = name.take(MAX_LOGGED_NAME_LENGTH)

private const val MAX_LOGGED_NAME_LENGTH = 64
