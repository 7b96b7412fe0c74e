package ragwortbarrow.core.batch

import ragwortbarrow.core.manifest.BackendServer

/** The unit in which a customer's share of batch capacity is measured. */
enum class ShareUnit { ITEMS, TOKENS }

/** Settings of batch processing on one node. */
data class BatchSettings(
    val tickMillis: Long = 100,
    /** Interval at which leases of suspected holders are read; far below their term of 30 s, to notice expiry soon. */
    val leasePollMillis: Long = 5_000,
    val leaseMarginMillis: Long = 2_000,
    /** Interval at which load reports of backend servers are read; they only reveal load that no node reported. */
    val loadPollMillis: Long = 2_000,
    val itemTimeoutMillis: Long = 300_000,
    val maxAttempts: Int = 3,
    /** Uncommitted results that justify the platform call of a partial commit: a third of a chunk. */
    val partialCommitItems: Int = 67,
    val partialCommitMinMillis: Long = 5_000,
    val partialCommitMaxMillis: Long = 60_000,
    /** With two partial commits a chunk needs six platform calls, which is 30 calls for 1,000 items. */
    val partialCommitsPerChunk: Int = 2,
    /** Items of a route that is not repeatable that one write records as started. */
    val itemsPerStartRecord: Int = 50,
    /** Holders lost in a row without progress after which items run one at a time, each counted before it starts. */
    val lostHoldersBeforeSequential: Int = 3,
    /** How long an item that has to run alone waits for a server without online requests. */
    val isolationWaitMillis: Long = 30_000,
    val initialServerBackoffMillis: Long = 100,
    val maxServerBackoffMillis: Long = 10_000,
    /** Time for the holders of chunks of a cancelled job to commit finished results before the chunks are closed. */
    val closeGraceMillis: Long = 1_000,
    val stopTimeoutMillis: Long = 20_000,
    val shareUnit: ShareUnit = ShareUnit.ITEMS,
    val headroomSlots: (BackendServer) -> Int = ::defaultHeadroomSlots,
)
