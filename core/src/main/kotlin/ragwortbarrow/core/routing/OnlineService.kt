package ragwortbarrow.core.routing

import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import ragwortbarrow.core.backend.BackendRequest
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.CustomerId

/** Serves admitted online requests: queue, choice of a backend server, attempts and check of the answer. */
interface OnlineService {
    /** The complete answer to [call]. */
    suspend fun execute(call: OnlineCall): Result<BackendResponse, ServingError>

    /** The answer as it is generated; the flow ends after [CallerEvent.Completed] or [CallerEvent.Failed]. */
    fun stream(call: OnlineCall): Flow<CallerEvent>
}

/** An admitted request; [customer] is null on routes open to everyone. */
data class OnlineCall(
    val customer: CustomerId?,
    val target: CallTarget,
    val request: BackendRequest,
    val repeatable: Boolean,
    val estimatedTokens: Int = 1,
    val prefix: String = "",
)

/** What an online call asks for. */
sealed interface CallTarget {
    data class ModelTarget(val model: String) : CallTarget

    data class ServiceTarget(val service: String) : CallTarget
}

/** One event towards the caller of a stream. */
sealed interface CallerEvent {
    data class Chunk(val offset: Long, val data: String) : CallerEvent

    data object Completed : CallerEvent

    /** The stream cannot be completed; nothing follows. */
    data class Failed(val error: ServingError) : CallerEvent

    /** The backend server answered with something else than a stream, before any chunk. */
    data class Answered(val response: BackendResponse) : CallerEvent
}
