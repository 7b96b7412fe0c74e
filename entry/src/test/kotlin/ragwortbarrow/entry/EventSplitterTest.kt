package ragwortbarrow.entry

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class EventSplitterTest {
    private val stream =
        "id: 1\ndata: one\n\nx-weight-versions: 3\nid: 2\r\ndata: two\r\ndata: more\r\n\r\nid: 3\ndata:\n\n"

    @Test
    fun `events end at blank lines and keep their bytes`() {
        val events = EventSplitter().add(stream.encodeToByteArray())
        expectThat(events.map { it.id }).isEqualTo(listOf(1L, 2L, 3L))
        expectThat(events.map { it.data }).isEqualTo(listOf("one", "two\nmore", ""))
        expectThat(events.joinToString("") { it.bytes.decodeToString() }).isEqualTo(stream)
    }

    @Test
    fun `an incomplete event is buffered`() {
        val splitter = EventSplitter()
        expectThat(splitter.add("id: 1\ndata: o".encodeToByteArray())).isEqualTo(emptyList())
        expectThat(splitter.hasPartialEvent).isTrue()
        expectThat(splitter.add("ne\n\n".encodeToByteArray()).single().data).isEqualTo("one")
        expectThat(splitter.hasPartialEvent).isFalse()
    }

    @Property(tries = 200, seed = "42")
    fun `the events do not depend on how the bytes are split`(@ForAll @Size(max = 30) cuts: List<Int>) {
        val bytes = stream.encodeToByteArray()
        val bounds = (cuts.map { Math.floorMod(it, bytes.size) } + 0 + bytes.size).sorted()
        val splitter = EventSplitter()
        val events = bounds.zipWithNext().flatMap { (from, to) -> splitter.add(bytes.copyOfRange(from, to)) }
        expectThat(events.map { it.id to it.data })
            .isEqualTo(EventSplitter().add(bytes).map { it.id to it.data })
    }
}
