package ragwortbarrow.core.lease

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.limits.LimitSettings
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.peer.ConsentReply
import ragwortbarrow.core.peer.ConsentRequest
import ragwortbarrow.core.peer.PeerConnector
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.peer.PeerService
import ragwortbarrow.core.peer.PromiseReply
import ragwortbarrow.core.peer.PromiseRequest
import ragwortbarrow.core.time.TimerService

/** Sends requests to standbys. No answer counts as a refusal. */
internal class StandbyClient(
    private val timer: TimerService,
    private val members: MemberView,
    private val connector: PeerConnector,
    private val settings: LimitSettings,
) {
    suspend fun promise(standby: VmId, request: PromiseRequest): PromiseReply =
        call(standby, PromiseReply(false, UNREACHABLE)) { it.promise(request) }

    suspend fun consent(standby: VmId, request: ConsentRequest): ConsentReply =
        call(standby, ConsentReply(false, reason = UNREACHABLE)) { it.consent(request) }

    private suspend fun <T : Any> call(vm: VmId, failure: T, block: suspend (PeerService) -> Result<T, PeerError>): T {
        val member = members.member(vm) ?: return failure
        val answer = timer.withTimeoutOrNull(settings.callTimeoutMillis) {
            block(connector.connect(member.peerAddress)).getOrElse { failure }
        }
        return answer ?: failure
    }

    private companion object {
        const val UNREACHABLE = "unreachable"
    }
}
