package ragwortbarrow.standins.engine

import org.apache.commons.codec.digest.MurmurHash3
import kotlin.random.Random

/** Generates deterministic text: the same prompt always yields the same tokens. */
object EngineText {
    private val words = listOf(
        "heri", "ya", "siku", "kuzaliwa", "happy", "birthday", "warm", "wishes", "loop", "pile", "jute", "backing",
        "remnant", "hall", "ivory", "stair", "runner", "badge", "karibu", "furaha", "gold", "trim", "hongera", "rafiki",
    )

    fun tokens(prompt: String, count: Int): List<String> {
        val random = Random(MurmurHash3.hash128x64(prompt.toByteArray())[0])
        return List(count) { index -> if (index == 0) words.random(random) else " " + words.random(random) }
    }
}
