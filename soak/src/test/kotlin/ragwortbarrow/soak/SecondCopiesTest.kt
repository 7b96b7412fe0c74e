package ragwortbarrow.soak

import org.junit.jupiter.api.Test
import ragwortbarrow.standins.operators.BodyFraming
import ragwortbarrow.standins.operators.CopyTime
import ragwortbarrow.standins.operators.SecondCopy
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import kotlin.random.Random

class SecondCopiesTest {
    private fun copies(seed: Long): List<SecondCopy> {
        val random = Random(seed)
        return List(300) { drawSecondCopy(random) }
    }

    @Test
    fun `a seed always gives the same copies`() {
        expectThat(copies(7)).isEqualTo(copies(7))
    }

    @Test
    fun `copies vary in each respect`() {
        val copies = copies(1)
        expectThat(copies.map { it.time::class }.toSet()).isEqualTo(
            setOf(CopyTime.WithResponse::class, CopyTime.AfterResponse::class, CopyTime.AfterNextRequest::class),
        )
        expectThat(copies.map { it.framing }.toSet()).isEqualTo(BodyFraming.entries.toSet() + null)
        val choices = listOf<(SecondCopy) -> Boolean>(
            { it.bearsId },
            { it.bearsStamp },
            { it.status == null },
            { it.parts == 1 },
            { it.sentBytes == Int.MAX_VALUE },
        )
        expectThat(choices).all { get { copies.map(this).toSet() }.isEqualTo(setOf(true, false)) }
    }
}
