package ragwortbarrow.core.membership

/**
 * Chooses the nodes of a failure domain that watch the platform. Nodes with different views may choose differently for
 * a short while; a third watcher does no harm.
 */
class WatcherElection(private val members: MemberView, private val watchersPerDomain: Int = 2) {
    /** Whether this node is one of the watchers of its failure domain. */
    fun isWatcher(): Boolean {
        val domain = members.self.failureDomain
        // A node that suspects everybody, or does not yet list itself, still has to reach the platform.
        val candidates = members.live(domain).filterNot { it.leaving }.ifEmpty { return true }
        return RendezvousHash.rank("platform-watchers/$domain", candidates) { it.vm.value }
            .take(watchersPerDomain)
            .any { it.vm == members.self.vm }
    }
}
