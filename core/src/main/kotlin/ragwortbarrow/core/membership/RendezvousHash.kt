package ragwortbarrow.core.membership

import org.apache.commons.codec.digest.MurmurHash3

/**
 * Rendezvous hashing: every node that sees the same candidates chooses the same one, and losing a candidate moves only
 * what it had.
 */
object RendezvousHash {
    /** Orders [candidates] for [key] by falling score. */
    fun <T> rank(key: String, candidates: Collection<T>, name: (T) -> String): List<T> =
        candidates.sortedWith(compareByDescending<T> { score(key, name(it)) }.thenBy { name(it) })

    /** The first candidate of [rank], or null without candidates. */
    fun <T> choose(key: String, candidates: Collection<T>, name: (T) -> String): T? =
        candidates.maxWithOrNull(compareBy<T> { score(key, name(it)) }.thenByDescending { name(it) })

    private fun score(key: String, candidate: String): Long =
        MurmurHash3.hash128x64("$key\u0000$candidate".toByteArray())[0]
}
