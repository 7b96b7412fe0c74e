package ragwortbarrow.core.membership

import org.apache.commons.codec.digest.MurmurHash3

/**
 * Rendezvous hashing: all nodes with the same candidates choose the same one, and the loss of a candidate reassigns
 * only its own keys.
 */
object RendezvousHash {
    /** Returns [candidates] by descending score for [key]. */
    fun <T> rank(key: String, candidates: Collection<T>, name: (T) -> String): List<T> =
        candidates.map { it to score(key, name(it)) }
            .sortedWith(compareByDescending<Pair<T, Long>> { it.second }.thenBy { name(it.first) })
            .map { it.first }

    /** Returns the first candidate of [rank], or null if there are no candidates. */
    fun <T> choose(key: String, candidates: Collection<T>, name: (T) -> String): T? =
        candidates.maxWithOrNull(compareBy<T> { score(key, name(it)) }.thenByDescending { name(it) })

    private fun score(key: String, candidate: String): Long =
        MurmurHash3.hash128x64("$key\u0000$candidate".toByteArray())[0]
}
