package ragwortbarrow.core.batch

import ragwortbarrow.core.manifest.BackendServer

/** What a customer's share of batch work is measured in. */
enum class ShareUnit { ITEMS, TOKENS }

/** Settings of batch work on one node. */
data class BatchSettings(
    val tickMillis: Long = 100,
    /** How often the leases of suspected holders are read; a third of their term finds a lapse soon after it. */
    val leaseReadMillis: Long = 5_000,
    val leaseMarginMillis: Long = 2_000,
    /** How often a server's own load report is read; it only finds load that no entry node reported. */
    val loadReadMillis: Long = 2_000,
    val itemTimeoutMillis: Long = 300_000,
    val maxAttempts: Int = 3,
    /** Unrecorded results that make a partial commit worth its platform call: a third of a chunk. */
    val partialCommitItems: Int = 67,
    val partialCommitMinMillis: Long = 5_000,
    val partialCommitMaxMillis: Long = 60_000,
    /** Two partial commits keep a chunk at six platform calls, 30 for 1,000 items. */
    val partialCommitsPerChunk: Int = 2,
    /** Items of a route that may not be repeated that one write records as started. */
    val startRecordItems: Int = 50,
    /** Holders lost without progress after which items run one at a time, each counted before it starts. */
    val lostHoldersBeforeCaution: Int = 3,
    /** How long an item that runs alone waits for a server without online requests. */
    val aloneWaitMillis: Long = 30_000,
    val serverPauseMillis: Long = 100,
    val serverPauseMaxMillis: Long = 10_000,
    /** How long holders of a cancelled job may take to record what is done before their chunks are closed. */
    val closeGraceMillis: Long = 1_000,
    val stopMillis: Long = 20_000,
    val shareUnit: ShareUnit = ShareUnit.ITEMS,
    val headroomSlots: (BackendServer) -> Int = ::defaultHeadroomSlots,
)
