package ragwortbarrow.entry

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.quarantine.PromptQuarantine
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis
import ragwortbarrow.http.HttpFailure

/** Tells the [quarantine] whether [server] answered a request or ended before it did. */
class PromptAttempt(
    private val quarantine: PromptQuarantine,
    private val server: BackendServerId,
    private val requestId: String,
    private val sharedPromptParts: List<String>,
    timer: TimerService,
) {
    private val sentMillis = timer.monotonicMillis()
    private var isAnswered = false

    /** Records bytes from the server. */
    fun recordActivity() = quarantine.recordActivity(server, sentMillis)

    /** Records the first event or the whole body of a response with [status]. */
    fun recordAnswer(status: Int) {
        if (isAnswered) return
        isAnswered = true
        if (status in 200..299) quarantine.recordAnswer(sharedPromptParts)
    }

    fun recordFailure(failure: HttpFailure) {
        if (failure is HttpFailure.Disconnected && !isAnswered) {
            quarantine.recordDisconnect(server, requestId, sharedPromptParts)
        }
    }
}
