package ragwortbarrow.core.keys

import com.github.michaelbull.result.Result
import ragwortbarrow.core.error.ServingError

/** Checks API keys against the grants and withdrawals known to this node. */
interface KeyView {
    /** Returns the grant of [bearerKey], or why it is refused: missing, unknown, withdrawn, or key state too old. */
    fun authenticate(bearerKey: String?): Result<KeyGrant, ServingError>

    /** Whether [grant] was withdrawn, or may have been; checked repeatedly during a stream. */
    fun isWithdrawn(grant: KeyGrant): Boolean
}
