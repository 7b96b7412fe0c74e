package ragwortbarrow.standins.engine

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/**
 * Continuous batching: [EngineSettings.slots] requests run at a time, and the rest wait in the order of their arrival.
 * Tokens of a request take longer the more requests run beside it.
 */
internal class ContinuousBatcher(
    private val settings: EngineSettings,
    private val scope: CoroutineScope,
    private val onStart: (EngineRun) -> Unit,
    private val onLoadChange: (running: Int, waiting: Int) -> Unit,
) {
    private val slots = Semaphore(settings.slots)
    private val running = AtomicInteger()
    private val waiting = AtomicInteger()
    private val prefixes = PrefixCache(settings.prefixCacheEntries)

    fun submit(run: EngineRun) {
        waiting.incrementAndGet()
        changed()
        run.job = scope.launch {
            var started = false
            try {
                slots.withPermit {
                    started = true
                    waiting.decrementAndGet()
                    running.incrementAndGet()
                    changed()
                    try {
                        onStart(run)
                        generate(run)
                    } finally {
                        running.decrementAndGet()
                        changed()
                    }
                }
            } finally {
                if (!started) {
                    waiting.decrementAndGet()
                    changed()
                }
            }
        }
    }

    private suspend fun generate(run: EngineRun) {
        val cached = prefixes.touch(run.request.prompt.take(settings.prefixChars))
        pause(if (cached) settings.firstTokenMillis / 2 else settings.firstTokenMillis)
        run.tokens.indices.forEach { offset ->
            if (offset > 0) pause(settings.betweenTokensMillis)
            run.advance()
        }
    }

    private suspend fun pause(millis: Double) {
        val slowed = millis * (1 + settings.growthPerRunning * (running.get() - 1).coerceAtLeast(0))
        if (slowed > 0) delay(slowed.milliseconds)
    }

    private fun changed() = onLoadChange(running.get(), waiting.get())
}

/** Prompt prefixes that were seen lately, in limited memory. */
internal class PrefixCache(private val maxEntries: Int) {
    private val entries = object : LinkedHashMap<String, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Unit>): Boolean = size > maxEntries
    }

    /** Whether [prefix] was cached; it is afterwards. */
    @Synchronized
    fun touch(prefix: String): Boolean = entries.put(prefix, Unit) != null
}
