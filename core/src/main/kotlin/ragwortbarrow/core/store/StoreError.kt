package ragwortbarrow.core.store

/** Why a platform call failed. The cases differ in what the caller may conclude about the write. */
sealed interface StoreError {
    val message: String

    data class NotFound(override val message: String) : StoreError

    data class AlreadyExists(override val message: String) : StoreError

    /** The object no longer has the expected version; the write did not take effect. */
    data class Conflict(override val message: String) : StoreError

    /** The call was not made or was refused as a whole; a write did not take effect. */
    data class Unavailable(override val message: String) : StoreError

    /** The reply was lost; a write may have taken effect. */
    data class OutcomeUnknown(override val message: String) : StoreError

    /** The platform refused the object, for example because it is over one megabyte. */
    data class Rejected(override val message: String) : StoreError
}
