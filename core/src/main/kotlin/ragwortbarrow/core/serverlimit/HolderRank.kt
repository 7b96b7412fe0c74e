package ragwortbarrow.core.serverlimit

/** The place of a node among all that may send requests to a server; the first [holders] of them share its limit. */
internal data class HolderRank(val rank: Int, val holders: Int) {
    val isHolder: Boolean get() = rank < holders
}
