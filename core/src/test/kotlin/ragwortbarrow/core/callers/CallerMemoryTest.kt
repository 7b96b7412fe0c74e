package ragwortbarrow.core.callers

import org.junit.jupiter.api.Test
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

class CallerMemoryTest {
    private val timer = ManualTimerService()
    private val memory = CallerMemory(CallerMemoryLimits(limitBytes = MEGABYTE, maxConnections = 8), timer)
    private val evicted = ArrayList<String>()

    private fun open(name: String): CallerMemory.Holder {
        lateinit var holder: CallerMemory.Holder
        holder = checkNotNull(
            memory.open {
                evicted += "$name $it"
                holder.setReclaimable(0)
                holder.addUnsent(-holder.unsentBytes)
            },
        )
        return holder
    }

    @Test
    fun `the caller that holds the most is evicted`() {
        open("large").setReclaimable(500_000)
        open("larger").setReclaimable(600_000)
        expectThat(evicted).containsExactly("larger MEMORY")
    }

    @Test
    fun `a stalled caller is evicted before one that holds more and makes progress`() {
        open("stalled").setReclaimable(300_000)
        timer.advance(CallerMemory.STALLED_MILLIS)
        open("large").setReclaimable(500_000)
        expectThat(evicted).containsExactly("stalled MEMORY")
    }

    @Test
    fun `a request that is handled keeps its memory and a large one is evicted for it`() {
        open("handled").setPinned(700_000)
        open("large").setReclaimable(200_000)
        expectThat(evicted).containsExactly("large MEMORY")
    }

    @Test
    fun `small requests find room beside large ones`() {
        open("handled").setPinned(800_000)
        open("small").setReclaimable(20_000)
        expectThat(evicted).isEmpty()
    }

    @Test
    fun `a response is evicted only when its caller stalled`() {
        open("slow").addUnsent(700_000)
        open("large").setReclaimable(200_000)
        expectThat(evicted).containsExactly("large MEMORY")
        timer.advance(CallerMemory.STALLED_MILLIS)
        open("next").setReclaimable(200_000)
        expectThat(evicted).containsExactly("large MEMORY", "slow MEMORY")
    }

    @Test
    fun `more is held for a handled request only if it fits`() {
        val handled = open("handled")
        handled.setPinned(100_000)
        open("large").setReclaimable(500_000)
        expectThat(handled.tryPin(400_000)).isTrue()
        expectThat(evicted).containsExactly("large MEMORY")
        expectThat(handled.tryPin(400_000)).isFalse()
    }

    @Test
    fun `nobody is evicted for a request that would not fit even then`() {
        val handled = open("handled")
        open("large").setReclaimable(500_000)
        expectThat(handled.tryPin(2_000_000)).isFalse()
        expectThat(evicted).isEmpty()
    }

    @Test
    fun `more is held for a small request beside large ones`() {
        val small = open("small")
        open("handled").setPinned(800_000)
        expectThat(small.tryPin(20_000)).isTrue()
    }

    @Test
    fun `a caller that releases nothing is not asked again`() {
        val asked = ArrayList<EvictionReason>()
        val stubborn = checkNotNull(memory.open { asked += it })
        stubborn.setReclaimable(600_000)
        open("other").setReclaimable(500_000)
        expectThat(asked).containsExactly(EvictionReason.MEMORY, EvictionReason.CONNECTIONS)
    }

    @Test
    fun `the connection that was idle longest is evicted for a new one`() {
        open("handled").setPinned(1_000)
        timer.advance(1)
        open("idle")
        timer.advance(1)
        repeat(7) { open("new $it") }
        expectThat(evicted).containsExactly("idle CONNECTIONS")
    }

    @Test
    fun `a connection is refused if all others have a request`() {
        repeat(8) { open("handled $it").setPinned(1_000) }
        expectThat(memory.open {}).isNull()
    }

    @Test
    fun `a closed connection holds nothing`() {
        val holder = open("caller")
        holder.setReclaimable(1_000)
        holder.setPinned(1_000)
        holder.close()
        holder.setPinned(0)
        expectThat(memory.totalBytes).isEqualTo(0)
        expectThat(memory.open {}).isNotNull()
    }

    private companion object {
        const val MEGABYTE = 1_000_000L
    }
}
