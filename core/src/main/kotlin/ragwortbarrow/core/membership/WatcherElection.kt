package ragwortbarrow.core.membership

/**
 * Elects the nodes of a failure domain that watch the platform. Nodes with different member views may elect different
 * watchers for a short time; additional watchers do no harm.
 */
class WatcherElection(private val members: MemberView, private val watchersPerDomain: Int = 2) {
    /** Whether this node is one of the watchers of its failure domain. */
    fun isWatcher(): Boolean {
        val domain = members.self.failureDomain
        // A node that suspects all members, or is not listed itself yet, still has to watch the platform.
        val candidates = members.live(domain).filterNot { it.leaving }.ifEmpty { return true }
        return RendezvousHash.rank("platform-watchers/$domain", candidates) { it.vm.value }
            .take(watchersPerDomain)
            .any { it.vm == members.self.vm }
    }
}
