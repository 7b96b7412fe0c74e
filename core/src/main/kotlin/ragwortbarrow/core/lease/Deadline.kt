package ragwortbarrow.core.lease

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import ragwortbarrow.core.time.TimerService

/** Runs [block] and returns null when it has not ended after [millis] of this service's time; it is then cancelled. */
internal suspend fun <T : Any> TimerService.withDeadline(millis: Long, block: suspend () -> T): T? = coroutineScope {
    val work = async { block() }
    val subscription = once(millis) { work.cancel() }
    try {
        work.await()
    } catch (_: CancellationException) {
        currentCoroutineContext().ensureActive()
        null
    } finally {
        subscription.cancel()
    }
}
