package ragwortbarrow.core.lease

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import ragwortbarrow.core.time.TimerService

/** Runs [block]; if it takes longer than [millis] of this service's time, cancels it and returns null. */
internal suspend fun <T : Any> TimerService.withTimeoutOrNull(millis: Long, block: suspend () -> T): T? =
    coroutineScope {
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
