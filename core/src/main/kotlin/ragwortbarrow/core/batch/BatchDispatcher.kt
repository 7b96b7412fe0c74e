package ragwortbarrow.core.batch

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.membership.RendezvousHash
import ragwortbarrow.core.peer.MemberInfo

/**
 * Names the node that sends batch items to a backend server: one of the live members of the server's failure domain;
 * nodes that leave are passed over. Choices are kept until the members of the failure domain change.
 */
internal class BatchDispatcher(private val members: MemberView) {
    private val domains = HashMap<FailureDomainId, Choices>()

    fun of(server: BackendServer): MemberInfo? {
        val live = members.live(server.failureDomain)
        val staying = live.filterNot { it.leaving }.ifEmpty { live }
        val ids = staying.map { it.vm }
        val known = domains[server.failureDomain]
        val choices = if (known?.ids == ids) known else Choices(ids).also { domains[server.failureDomain] = it }
        val chosen = choices.byServer.getOrPut(server.id) {
            RendezvousHash.choose("dispatcher/${server.id}", ids) { it.value }
        }
        return staying.firstOrNull { it.vm == chosen }
    }

    private class Choices(val ids: List<VmId>) {
        val byServer = HashMap<BackendServerId, VmId?>()
    }
}
