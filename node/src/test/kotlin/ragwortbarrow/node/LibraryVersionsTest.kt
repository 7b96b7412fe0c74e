package ragwortbarrow.node

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThrows

/** Guards that libraries which belong together have versions that fit on the node's class path. */
class LibraryVersionsTest {
    @Test
    fun `a missing JSON field is a serialization error and not a missing method`() {
        // With serialization core 1.9 below JSON 1.12 this threw NoSuchMethodError and ended load polls.
        expectThrows<SerializationException> { Json.decodeFromString<Needed>("{}") }
    }

    @Serializable
    private data class Needed(val field: Int)
}
