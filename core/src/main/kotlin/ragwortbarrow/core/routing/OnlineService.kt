package ragwortbarrow.core.routing

import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import ragwortbarrow.core.backend.BackendRequest
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.CustomerId

/** Serves admitted online requests: queues them, chooses backend servers, retries and verifies the response. */
interface OnlineService {
    /** Returns the complete response to [call]. */
    suspend fun execute(call: OnlineCall): Result<BackendResponse, ServingError>

    /** Streams the response as it is generated; the last event is any [CallerEvent] other than a chunk. */
    fun stream(call: OnlineCall): Flow<CallerEvent>
}

/** An admitted request; [customer] is null on routes that need no key. */
data class OnlineCall(
    val customer: CustomerId?,
    val target: CallTarget,
    val request: BackendRequest,
    val repeatable: Boolean,
    val estimatedTokens: Int = 1,
    val prefix: String = "",
)

/** The model or service that an online call is addressed to. */
sealed interface CallTarget {
    data class ModelTarget(val model: String) : CallTarget

    data class ServiceTarget(val service: String) : CallTarget
}

/** An event sent to the caller of a stream. */
sealed interface CallerEvent {
    data class Chunk(val offset: Long, val data: String) : CallerEvent

    data object Completed : CallerEvent

    /** The stream failed; this is its last event. */
    data class Failed(val error: ServingError) : CallerEvent

    /** The backend server sent a response that is not a stream, before any chunk. */
    data class Answered(val response: BackendResponse) : CallerEvent
}
