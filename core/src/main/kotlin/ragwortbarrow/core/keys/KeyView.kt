package ragwortbarrow.core.keys

import com.github.michaelbull.result.Result
import ragwortbarrow.core.error.ServingError

/** Checks callers' keys against the grants and withdrawals that this node knows. */
interface KeyView {
    /** The grant of [bearerKey], or why it is refused: missing, unknown, withdrawn, or key state too old. */
    fun authenticate(bearerKey: String?): Result<KeyGrant, ServingError>

    /** Whether [grant] still holds; asked again while a stream runs. */
    fun isWithdrawn(grant: KeyGrant): Boolean
}
