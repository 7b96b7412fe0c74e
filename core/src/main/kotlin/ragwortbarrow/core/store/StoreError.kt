package ragwortbarrow.core.store

/** Why a platform call failed. The subtypes differ in whether a write may have taken effect. */
sealed interface StoreError {
    val message: String

    data class NotFound(override val message: String) : StoreError

    data class AlreadyExists(override val message: String) : StoreError

    /** The object does not have the expected version; the write did not take effect. */
    data class Conflict(override val message: String) : StoreError

    /** The call was not made or was refused; a write did not take effect. */
    data class Unavailable(override val message: String) : StoreError

    /** The reply was lost; a write may have taken effect. */
    data class OutcomeUnknown(override val message: String) : StoreError

    /** The platform rejected the object, for example because it is larger than one megabyte. */
    data class Rejected(override val message: String) : StoreError
}
