package ragwortbarrow.objectapi

import org.apache.logging.log4j.LogManager
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.TimerSubscription
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** The timer service of a real process. Its threads are daemons, so that they keep no process alive. */
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
        val task = executor.schedule({ logging(action) }, delayMillis, TimeUnit.MILLISECONDS)
        return TimerSubscription { task.cancel(false) }
    }

    override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription {
        // A fixed delay, because a fixed rate makes up for late runs with a burst of extra ones.
        val task =
            executor.scheduleWithFixedDelay({ logging(action) }, periodMillis, periodMillis, TimeUnit.MILLISECONDS)
        return TimerSubscription { task.cancel(false) }
    }

    override fun close() {
        executor.shutdownNow()
    }

    /** An exception would end a periodic task without a trace. */
    private fun logging(action: () -> Unit) = try {
        action()
    } catch (failure: Exception) {
        logger.error("event=timer_action_failed", failure)
    }

    private companion object {
        val logger = LogManager.getLogger(SystemTimerService::class.java)
    }
}
