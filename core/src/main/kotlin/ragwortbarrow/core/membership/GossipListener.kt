package ragwortbarrow.core.membership

import ragwortbarrow.core.peer.GossipMessage
import ragwortbarrow.core.peer.PeerService

/** Handles the parts of a gossip message other than membership: the configuration version and the key state digest. */
fun interface GossipListener {
    /**
     * Handles a message that [peer] sent. Returns whether this node's key state now contains the peer's entire key
     * state; only then does the message count for the age of the key state.
     */
    suspend fun onMessage(peer: PeerService, message: GossipMessage): Boolean
}
