package ragwortbarrow.soak

import ragwortbarrow.standins.link.LinkFault

/** A fault or an operator action that a soak applies while callers use the fleet. */
internal sealed interface SoakFault {
    /** Nodes, or the store, that are impaired meanwhile; guarantees with a time bound are not checked there. */
    val targets: Set<String>

    /** Fault on a link from a node to the store, from peers to a node, or from nodes to a backend server. */
    data class Link(val link: String, val fault: LinkFault, override val targets: Set<String>) : SoakFault

    /** Suspends the process of a node. */
    data class Freeze(val node: String) : SoakFault {
        override val targets = setOf(node)
    }

    /** Kills the process of a node and starts it again at the end. */
    data class Kill(val node: String) : SoakFault {
        override val targets = setOf(node)
    }

    /** Stops a node gracefully and starts it again. It has no targets: planned work must not impair anything. */
    data class Restart(val node: String) : SoakFault {
        override val targets = emptySet<String>()
    }

    /** Sends SIGHUP to the process of a node. */
    data class HangUp(val node: String) : SoakFault {
        override val targets = emptySet<String>()
    }

    /** The store is unavailable; with [expiresServers] it briefly has no entries of backend servers when it returns. */
    data class StoreDown(val expiresServers: Boolean) : SoakFault {
        override val targets = setOf(STORE)
    }

    /** The store applies writes but loses its replies. */
    data class StoreLosesAnswers(val count: Int) : SoakFault {
        override val targets = setOf(STORE)
    }

    data object StoreForgetsHistory : SoakFault {
        override val targets = emptySet<String>()
    }

    /** A backend server registers as draining, is removed, and is replaced by one with another id. */
    data class Drain(val server: Int) : SoakFault {
        override val targets = emptySet<String>()
    }

    /**
     * A backend server says in its responses that it leaves, later [isDraining] in the store or has no entry there,
     * and is replaced by one with another id.
     */
    data class Leave(val server: Int, val isDraining: Boolean) : SoakFault {
        override val targets = emptySet<String>()
    }

    /** A backend server names [limit], in requests per second if it is valid, in its responses. */
    data class Limit(val server: Int, val limit: String) : SoakFault {
        override val targets = emptySet<String>()
    }

    /** Backend servers crash one after the other, [gapMillis] apart, and start again. */
    data class CrashSeries(val servers: List<Int>, val gapMillis: Long) : SoakFault {
        override val targets = emptySet<String>()
    }

    /** A backend server is replaced by one with another id that is cold. */
    data class ColdStart(val server: Int) : SoakFault {
        override val targets = emptySet<String>()
    }

    /** The operator asks that nothing more be sent to the backend servers of [failureDomain]. */
    data class Evacuate(val failureDomain: String) : SoakFault {
        override val targets = emptySet<String>()
    }

    data object ChangeConfiguration : SoakFault {
        override val targets = emptySet<String>()
    }

    /** Withdraws a key and grants it again at the end. */
    data object WithdrawKey : SoakFault {
        override val targets = emptySet<String>()
    }

    companion object {
        const val STORE = "store"
    }
}
