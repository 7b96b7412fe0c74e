package ragwortbarrow.core.store

/** Decides the fault that the next call meets; it may suspend to delay the call. */
fun interface StoreFaultInjector {
    suspend fun faultFor(operation: StoreOperation, kind: ObjectKind, name: String): StoreFault

    companion object {
        val NONE: StoreFaultInjector = StoreFaultInjector { _, _, _ -> StoreFault.None }
    }
}

enum class StoreOperation { READ, WRITE, WATCH }

/** What goes wrong with one call. */
sealed interface StoreFault {
    data object None : StoreFault

    /** The call is refused and has no effect. */
    data object Unavailable : StoreFault

    /** The call takes effect, but its reply never arrives. */
    data object ReplyLost : StoreFault
}
