package ragwortbarrow.http

import io.netty.channel.EventLoop
import org.apache.logging.log4j.LogManager
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.TimerSubscription
import java.util.concurrent.TimeUnit

/** A [TimerService] that runs its actions on [loop], for processes with a single event loop. */
class EventLoopTimerService(private val loop: EventLoop) : TimerService {
    override fun nanoTime(): Long = System.nanoTime()

    override fun wallMillis(): Long = System.currentTimeMillis()

    override fun once(delayMillis: Long, action: () -> Unit): TimerSubscription {
        val task = loop.schedule({ runAndLogFailure(action) }, delayMillis, TimeUnit.MILLISECONDS)
        return TimerSubscription { task.cancel(false) }
    }

    override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription {
        val task = loop.scheduleWithFixedDelay({
            runAndLogFailure(action)
        }, periodMillis, periodMillis, TimeUnit.MILLISECONDS)
        return TimerSubscription { task.cancel(false) }
    }

    private fun runAndLogFailure(action: () -> Unit) = try {
        action()
    } catch (failure: Exception) {
        logger.error("event=timer_action_failed", failure)
    }

    private companion object {
        val logger = LogManager.getLogger(EventLoopTimerService::class.java)
    }
}
