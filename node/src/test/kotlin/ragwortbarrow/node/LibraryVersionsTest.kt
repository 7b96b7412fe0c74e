package ragwortbarrow.node

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThrows

/** Verifies that the library versions on the node's class path are compatible with each other. */
class LibraryVersionsTest {
    @Test
    fun `a missing JSON field causes a SerializationException and not a NoSuchMethodError`() {
        // With kotlinx-serialization-core 1.9 and -json 1.12 this threw NoSuchMethodError, which stopped load polling.
        expectThrows<SerializationException> { Json.decodeFromString<Needed>("{}") }
    }

    @Serializable
    private data class Needed(val field: Int)
}
