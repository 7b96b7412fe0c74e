package ragwortbarrow.objectapi

import org.apache.logging.log4j.LogManager
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.TimerSubscription
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Timer service on the system clock. Its threads are daemon threads, so they do not keep the process alive. */
class SystemTimerService(threads: Int = 2) :
    TimerService,
    AutoCloseable {
    private val threadNumber = AtomicInteger()
    private val executor = ScheduledThreadPoolExecutor(threads) { action ->
        Thread(action, "timer-${threadNumber.incrementAndGet()}").apply { isDaemon = true }
    }.apply { removeOnCancelPolicy = true }

    override fun nanoTime(): Long = System.nanoTime()

    override fun wallMillis(): Long = System.currentTimeMillis()

    override fun once(delayMillis: Long, action: () -> Unit): TimerSubscription {
        val task = executor.schedule({ runLoggingFailure(action) }, delayMillis, TimeUnit.MILLISECONDS)
        return TimerSubscription { task.cancel(false) }
    }

    override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription {
        // Fixed delay, because a fixed rate catches up on late runs with a burst of extra runs.
        val task =
            executor.scheduleWithFixedDelay({
                runLoggingFailure(action)
            }, periodMillis, periodMillis, TimeUnit.MILLISECONDS)
        return TimerSubscription { task.cancel(false) }
    }

    override fun close() {
        executor.shutdownNow()
    }

    /** Logs exceptions, because the executor silently cancels a periodic task that throws. */
    private fun runLoggingFailure(action: () -> Unit) = try {
        action()
    } catch (failure: Exception) {
        logger.error("event=timer_action_failed", failure)
    }

    private companion object {
        val logger = LogManager.getLogger(SystemTimerService::class.java)
    }
}
