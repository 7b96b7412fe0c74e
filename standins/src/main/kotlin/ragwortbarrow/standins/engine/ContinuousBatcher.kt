package ragwortbarrow.standins.engine

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/**
 * Simulates continuous batching: up to [EngineSettings.slots] requests run concurrently, and the rest wait in FIFO
 * order. The time per token grows with the number of running requests.
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
        reportLoad()
        run.job = scope.launch {
            var started = false
            try {
                slots.withPermit {
                    started = true
                    waiting.decrementAndGet()
                    running.incrementAndGet()
                    reportLoad()
                    try {
                        onStart(run)
                        generate(run)
                    } finally {
                        running.decrementAndGet()
                        reportLoad()
                    }
                }
            } finally {
                if (!started) {
                    waiting.decrementAndGet()
                    reportLoad()
                }
            }
        }
    }

    private suspend fun generate(run: EngineRun) {
        val cached = prefixes.touch(run.request.prompt.take(settings.prefixChars))
        delayUnderLoad(if (cached) settings.firstTokenMillis / 2 else settings.firstTokenMillis)
        run.tokens.indices.forEach { offset ->
            if (offset > 0) delayUnderLoad(settings.betweenTokensMillis)
            run.advance()
        }
    }

    private suspend fun delayUnderLoad(millis: Double) {
        val slowed = millis * (1 + settings.growthPerRunning * (running.get() - 1).coerceAtLeast(0))
        if (slowed > 0) delay(slowed.milliseconds)
    }

    private fun reportLoad() = onLoadChange(running.get(), waiting.get())
}

/** An LRU cache of prompt prefixes. */
internal class PrefixCache(private val maxEntries: Int) {
    private val entries = object : LinkedHashMap<String, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Unit>): Boolean = size > maxEntries
    }

    /** Adds [prefix] to the cache and returns whether it was already there. */
    @Synchronized
    fun touch(prefix: String): Boolean = entries.put(prefix, Unit) != null
}
