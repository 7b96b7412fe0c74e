package ragwortbarrow.core.store

/** Injects faults into the calls of an [InMemoryObjectStore]; may suspend to delay a call. */
fun interface StoreFaultInjector {
    suspend fun faultFor(operation: StoreOperation, kind: ObjectKind, name: String): StoreFault

    companion object {
        val NONE: StoreFaultInjector = StoreFaultInjector { _, _, _ -> StoreFault.None }
    }
}

enum class StoreOperation { READ, WRITE, WATCH }

/** A fault of one call. */
sealed interface StoreFault {
    data object None : StoreFault

    /** The call fails without an effect. */
    data object Unavailable : StoreFault

    /** The call takes effect, but its reply is lost. */
    data object ReplyLost : StoreFault
}
