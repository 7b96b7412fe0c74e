package ragwortbarrow.core.batch

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.membership.RendezvousHash
import ragwortbarrow.core.peer.MemberInfo

/**
 * Selects the node that sends batch items to a backend server, its dispatcher, by rendezvous hashing over the live
 * members of the server's failure domain. Leaving nodes are selected only if no other node is live. Selections are
 * cached until the members of the failure domain change.
 */
internal class DispatcherSelector(private val members: MemberView) {
    private val byDomain = HashMap<FailureDomainId, Selections>()

    fun dispatcherFor(server: BackendServer): MemberInfo? {
        val live = members.live(server.failureDomain)
        val candidates = live.filterNot { it.leaving }.ifEmpty { live }
        val vms = candidates.map { it.vm }
        val cached = byDomain[server.failureDomain]
        val selections =
            if (cached?.vms == vms) cached else Selections(vms).also { byDomain[server.failureDomain] = it }
        val selected = selections.byServer.getOrPut(server.id) {
            RendezvousHash.choose("dispatcher/${server.id}", vms) { it.value }
        }
        return candidates.firstOrNull { it.vm == selected }
    }

    private class Selections(val vms: List<VmId>) {
        val byServer = HashMap<BackendServerId, VmId?>()
    }
}
