package ragwortbarrow.core.membership

import ragwortbarrow.core.peer.GossipMessage
import ragwortbarrow.core.peer.PeerService

/** Takes up what a gossip message says beyond membership: the configuration version and the digest of the key state. */
fun interface GossipListener {
    /**
     * Called with each message that [peer] sent. Returns whether this node's key state now contains all of the peer's;
     * only then does the message count for the age of the key state.
     */
    suspend fun heard(peer: PeerService, message: GossipMessage): Boolean
}
