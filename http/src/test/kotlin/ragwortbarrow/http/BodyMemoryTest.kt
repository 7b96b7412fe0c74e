package ragwortbarrow.http

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class BodyMemoryTest {
    private val memory = BodyMemory(limitBytes = 1_000)

    /** A body that is read whole, without a server: the test sends its bytes. */
    private inner class Response(scope: CoroutineScope) {
        var isClosed = false
        val answer = HttpAnswer({}, { true }, memory, ::close) {}

        /** Null if the body fails. */
        val size: Deferred<Int?> = scope.async {
            try {
                answer.rest(limitBytes = 1_000_000).size
            } catch (broken: HttpFailure.Broken) {
                expectThat(broken).not().isA<HttpFailure.Disconnected>()
                null
            }
        }

        /** A connection that is closed passes on what it has received, and then its end. */
        private fun close() {
            isClosed = true
            answer.onBytes(ByteArray(100))
            answer.onBroken(HttpFailure.Disconnected("the connection was closed"))
        }

        suspend fun send(bytes: Int) {
            answer.onBytes(ByteArray(bytes))
            yield()
        }

        suspend fun end(): Int? {
            answer.onEnd()
            return size.await()
        }
    }

    private fun test(block: suspend CoroutineScope.() -> Unit) = runBlocking { withTimeout(LIMIT_MILLIS, block) }

    private suspend fun CoroutineScope.response() = Response(this).also { yield() }

    /** Guards against bytes of a body that failed, which its reader would take for more of the body. */
    @Test
    fun `a body with bytes that its reader has not taken fails and counts no more`() = test {
        val large = response()
        val small = response()
        large.send(600)
        small.answer.onBytes(ByteArray(500))
        large.answer.onBytes(ByteArray(100))
        large.answer.onEnd()
        expectThat(large.size.await()).isNull()
        expectThat(large.isClosed).isTrue()
        val other = response()
        other.send(490)
        expectThat(small.isClosed).isFalse()
        expectThat(small.end()).isEqualTo(500)
        expectThat(other.end()).isEqualTo(490)
    }

    /** Guards against a limit that is passed by the bytes of a body that was released twice. */
    @Test
    fun `a body that failed is released once`() = test {
        val large = response()
        large.send(900)
        val small = response()
        small.send(600)
        expectThat(large.size.await()).isNull()
        val other = response()
        other.send(500)
        expectThat(small.size.await()).isNull()
        expectThat(other.end()).isEqualTo(500)
    }

    /** Guards against bodies that fail for the bytes of a reader that is gone. */
    @Test
    fun `a body whose reader was cancelled counts no more`() = test {
        val cancelled = response()
        cancelled.send(500)
        cancelled.size.cancelAndJoin()
        val other = response()
        other.send(900)
        expectThat(other.end()).isEqualTo(900)
    }

    /** Guards against a second release when the reader of a body that fails is cancelled before it runs again. */
    @Test
    fun `a body that fails while its reader is cancelled is released once`() = test {
        val large = response()
        large.send(900)
        val small = response()
        small.answer.onBytes(ByteArray(600))
        // The reader of the small body runs first, and makes the large one fail.
        yield()
        large.size.cancelAndJoin()
        val other = response()
        other.send(500)
        expectThat(small.size.await()).isNull()
        expectThat(other.end()).isEqualTo(500)
    }

    private companion object {
        const val LIMIT_MILLIS = 5_000L
    }
}
