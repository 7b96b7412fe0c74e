package ragwortbarrow.standins.engine

import kotlinx.coroutines.Job
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first

/** One generation. It continues after its connection breaks, so that the stream can be resumed. */
internal class EngineRun(val request: EngineRequest, val tokens: List<String>, createdSeconds: Long) {
    val responses = EngineResponses(request, createdSeconds)
    private val progress = MutableStateFlow(Progress(0, cancelled = false))

    @Volatile
    var job: Job? = null

    /** Marks the next token as generated. */
    fun advance() {
        progress.value = progress.value.copy(generated = progress.value.generated + 1)
    }

    fun cancel() {
        job?.cancel()
        progress.value = progress.value.copy(cancelled = true)
    }

    /** Waits for the token at [offset]; returns false if the run was cancelled before it was generated. */
    suspend fun awaitToken(offset: Int): Boolean =
        progress.first { it.generated > offset || it.cancelled }.generated > offset

    private data class Progress(val generated: Int, val cancelled: Boolean)
}
