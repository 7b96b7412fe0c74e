package ragwortbarrow.core.placement

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId

/** A backend server as it last described itself. */
data class BackendServer(
    val id: BackendServerId,
    val service: String,
    val address: String,
    val failureDomain: FailureDomainId,
    /** Requests that it runs at the same time. */
    val slots: Int,
    val isDraining: Boolean = false,
)
