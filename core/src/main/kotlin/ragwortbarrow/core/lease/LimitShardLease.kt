package ragwortbarrow.core.lease

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.limits.LimitSettings
import ragwortbarrow.core.limits.VersionedLayout
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.membership.RendezvousHash
import ragwortbarrow.core.peer.ConsentRequest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.PromiseRequest
import ragwortbarrow.core.peer.ShardOwner
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService

/**
 * The lease of one limit shard on one node. It reads the record periodically, claims the shard when no other node can
 * own it, and renews or extends the lease while this node holds it. [step] is called periodically.
 *
 * The record is changed only by conditional updates. If the reply to a write is lost, the holder reads the record back
 * and compares its writer token; until then either the old or the new record may be the stored one.
 */
internal class LimitShardLease(
    private val shard: LimitShardId,
    private val self: MemberInfo,
    private val store: ObjectStore,
    private val timer: TimerService,
    private val members: MemberView,
    private val standbyClient: StandbyClient,
    private val standbyState: StandbyState,
    private val callbacks: ShardOwnershipCallbacks,
    private val settings: LimitSettings,
    private val log: DecisionLog,
    private val activeLayout: () -> VersionedLayout?,
) : LeaseHandle {
    private class HeldRecord(val record: LimitShardRecord, val version: Long)

    /** A write of this process that may have taken effect, and when it was sent. */
    private class PendingWrite(val record: LimitShardRecord, val sentNanos: Long)

    private val name = shard.toString()
    private val mutex = Mutex()
    private val leaseExpiry = LeaseExpiry(timer, settings)

    @Volatile
    private var held: HeldRecord? = null
    private var pendingWrites: List<PendingWrite> = emptyList()

    @Volatile
    private var layoutSet: LayoutSet? = null
    private var appliedVersion = 0L
    private var observedVersion = -1L
    private var unchangedSinceNanos = 0L
    private var renewAtNanos = 0L
    private var missingSinceNanos: Long? = null
    private var needsNewFencingNumber = false
    private var writeCount = 0L
    private var isClosed = false

    @Volatile
    private var nextReadNanos = timer.nanoTime()

    @Volatile
    override var claimNumber: Long = 0
        private set

    @Volatile
    override var fencingNumber: Long = 0
        private set

    override fun remainingMillis(): Long = leaseExpiry.remainingMillis()

    val isHeld: Boolean get() = held != null

    /** The layouts of a change that not all owners have adopted yet, or null if there is none. */
    val pendingLayouts: LayoutSet? get() = layoutSet?.takeIf { held != null && !it.isComplete }

    /** Reads, claims or renews the lease if due. Returns immediately if another call is running. */
    suspend fun step() {
        if (!mutex.tryLock()) return
        try {
            val heldRecord = held
            when {
                isClosed -> Unit
                heldRecord == null -> watchRecord()
                else -> renewIfDue(heldRecord)
            }
        } finally {
            mutex.unlock()
        }
    }

    /** Drops the older layouts of [adoptedLayouts], unless the layouts have changed since. */
    suspend fun completeLayoutChange(adoptedLayouts: LayoutSet): Unit = mutex.withLock {
        if (layoutSet === adoptedLayouts && held != null) {
            layoutSet = adoptedLayouts.currentOnly().also { callbacks.onLayoutsChanged(it.layouts) }
        }
    }

    /** Hands over the bucket levels and releases the shard. Later calls of [step] do nothing. */
    suspend fun close(): Unit = mutex.withLock {
        isClosed = true
        val heldRecord = held ?: return
        leaseExpiry.clear()
        val levels = callbacks.drain()
        val record = nextRecord(heldRecord.record).copy(released = true, levelsPicotokens = levels)
        dropOwnership("released")
        val written = write {
            store.update(ObjectKind.LIMIT_SHARDS, name, heldRecord.version, record.toSpec(), labels())
        }
        log.record("limit_shard_release", "shard" to shard, "written" to written.isOk, "error" to written.getError())
        notifyStandby(record)
    }

    /** Makes the next step read the record, because its owner has announced a change. */
    fun scheduleRead() {
        nextReadNanos = timer.nanoTime()
    }

    private suspend fun renewIfDue(heldRecord: HeldRecord) {
        val nowNanos = timer.nanoTime()
        activeLayout()?.let { applyLayout(it) }
        if (nowNanos - renewAtNanos < 0) return
        renewAtNanos = nowNanos + settings.renewMillis * NANOS_PER_MILLI
        val next = nextRecord(heldRecord.record)
        val written = write { store.update(ObjectKind.LIMIT_SHARDS, name, heldRecord.version, next.toSpec(), labels()) }
        when (val error = written.getError()) {
            null -> {
                acceptRecord(next, checkNotNull(written.get()).version, nowNanos)
                if (!next.hasStandbyOf(heldRecord.record)) notifyStandby(next)
            }
            is StoreError.Conflict, is StoreError.NotFound -> readBack(heldRecord)
            is StoreError.OutcomeUnknown -> {
                pendingWrites = pendingWrites + PendingWrite(next, nowNanos)
                readBack(heldRecord)
            }
            else -> {
                log.record("limit_shard_renewal_failed", "shard" to shard, "error" to error.message)
                extendByPromises(heldRecord)
            }
        }
        held?.takeIf { leaseExpiry.remainingMillis() < settings.termMillis / 3 }?.let { extendByPromises(it) }
    }

    /** Sends a promise request with a term of zero, which only makes the standby read the record now. */
    private suspend fun notifyStandby(record: LimitShardRecord) {
        record.standby?.let { standbyClient.promise(it, promiseRequest(record, record.fencingNumber, termMillis = 0)) }
    }

    private fun applyLayout(current: VersionedLayout) {
        val before = checkNotNull(layoutSet)
        val after = before.plus(current.layout, current.version)
        appliedVersion = current.version
        if (after === before) return
        layoutSet = after
        callbacks.onLayoutsChanged(after.layouts)
        renewAtNanos = timer.nanoTime()
    }

    private fun nextRecord(previous: LimitShardRecord): LimitShardRecord {
        val standby = chooseStandby(previous)
        return previous.copy(
            owner = self.vm,
            ownerIncarnation = self.incarnation,
            listenAddress = self.peerAddress,
            fencingNumber = previous.fencingNumber + if (needsNewFencingNumber) 1 else 0,
            termMillis = settings.termMillis,
            writerToken = nextWriterToken(),
            standby = standby?.vm,
            standbyIncarnation = standby?.incarnation ?: 0,
            configurationVersion = maxOf(appliedVersion, previous.configurationVersion),
            layouts = checkNotNull(layoutSet).layouts,
            released = false,
            levelsPicotokens = emptyMap(),
            confirmedLost = false,
        )
    }

    /**
     * Keeps a live standby and replaces a suspected one. If there is no live replacement, a suspected standby stays in
     * the record as long as it is a known member: only it can consent to a takeover once it runs again.
     */
    private fun chooseStandby(record: LimitShardRecord): MemberInfo? {
        val live = members.live(shard.failureDomain).filter { it.vm != self.vm && !it.leaving }
        return live.firstOrNull { it.vm == record.standby }
            ?: RendezvousHash.choose(name, live) { it.vm.value }
            ?: record.standby?.takeIf { it != self.vm }?.let(members::member)
    }

    /** Reads the stored record after a write with an unknown or unexpected outcome. */
    private suspend fun readBack(heldRecord: HeldRecord) {
        val read = read()
        val stored = read.get()
        when {
            read.getError() is StoreError.NotFound -> dropOwnership("record deleted")
            stored == null || stored.version < heldRecord.version -> extendByPromises(heldRecord)
            else -> {
                val record = LimitShardRecord.of(stored)
                if (!record.isOwnedBySelf()) return dropOwnership("owned by ${record.owner}")
                val sentNanos = pendingWrites.firstOrNull { it.record.writerToken == record.writerToken }?.sentNanos
                if (stored.version > heldRecord.version) acceptRecord(record, stored.version, sentNanos)
                renewAtNanos = timer.nanoTime()
            }
        }
    }

    private fun acceptRecord(record: LimitShardRecord, version: Long, sentNanos: Long?) {
        needsNewFencingNumber = needsNewFencingNumber && record.fencingNumber == held?.record?.fencingNumber
        held = HeldRecord(record, version)
        pendingWrites = emptyList()
        fencingNumber = record.fencingNumber
        sentNanos?.let(leaseExpiry::extendFrom)
        members.announce(ShardOwner(shard, self.vm, record.fencingNumber))
    }

    /**
     * Extends the lease without the platform. The standby of every record that may be the stored one, whether known or
     * possibly written, must promise not to consent to a takeover. A record without a standby allows no other claim.
     */
    private suspend fun extendByPromises(heldRecord: HeldRecord) {
        val possiblyStored = listOf(heldRecord.record) + pendingWrites.map { it.record }
        val fencingNumber = possiblyStored.maxOf { it.fencingNumber }
        val sentNanos = timer.nanoTime()
        for (record in possiblyStored.distinctBy { it.standby to it.standbyIncarnation }) {
            val standby = record.standby ?: continue
            val reply = standbyClient.promise(standby, promiseRequest(record, fencingNumber, settings.termMillis))
            if (!reply.promised) {
                needsNewFencingNumber = needsNewFencingNumber || reply.reason == StandbyState.CONSENTED
                log.record(
                    "limit_shard_extension_refused",
                    "shard" to shard,
                    "standby" to standby,
                    "reason" to reply.reason,
                )
                return
            }
        }
        leaseExpiry.extendFrom(sentNanos)
        log.record(
            "limit_shard_extension",
            "shard" to shard,
            "fencing" to fencingNumber,
            "standby" to heldRecord.record.standby,
        )
    }

    private fun promiseRequest(record: LimitShardRecord, fencingNumber: Long, termMillis: Long) = PromiseRequest(
        shard = shard,
        fencingNumber = fencingNumber,
        owner = self.vm,
        ownerIncarnation = self.incarnation,
        termMillis = termMillis,
        standbyIncarnation = record.standbyIncarnation,
    )

    private fun dropOwnership(reason: String) {
        leaseExpiry.clear()
        held = null
        pendingWrites = emptyList()
        layoutSet = null
        needsNewFencingNumber = false
        callbacks.onLost()
        log.record("limit_shard_lost", "shard" to shard, "reason" to reason)
    }

    private suspend fun watchRecord() {
        val nowNanos = timer.nanoTime()
        if (nowNanos - nextReadNanos < 0) return
        val current = activeLayout() ?: return
        nextReadNanos = nowNanos + readIntervalMillis() * NANOS_PER_MILLI
        val read = read()
        val stored = read.get()
        when {
            read.getError() is StoreError.NotFound -> create(current)
            stored == null || stored.version < observedVersion -> Unit
            else -> {
                if (stored.version != observedVersion) {
                    observedVersion = stored.version
                    // Counted from the reply, because the owner sent its renewal before this read ended.
                    unchangedSinceNanos = timer.nanoTime()
                }
                claimIfAllowed(stored, LimitShardRecord.of(stored), current)
            }
        }
    }

    /** The read interval; longer on nodes that are unlikely to claim, to reduce the platform's load. */
    private fun readIntervalMillis(): Long =
        if (rank() <= 1) settings.readIntervalMillis else settings.readIntervalMillis * 30

    private suspend fun claimIfAllowed(stored: StoredObject, record: LimitShardRecord, current: VersionedLayout) {
        standbyState.updateRecord(shard, record)
        if (record.standby == self.vm) {
            nextReadNanos = minOf(nextReadNanos, timer.nanoTime() + settings.readIntervalMillis * NANOS_PER_MILLI)
        }
        if (record.configurationVersion > current.version ||
            members.self.leaving ||
            shard !in current.layout.shards
        ) {
            return
        }
        val basis = claimBasis(record) ?: return
        claim(basis, record, current) { next ->
            store.update(ObjectKind.LIMIT_SHARDS, name, stored.version, next.toSpec(), labels())
        }
    }

    private suspend fun claimBasis(record: LimitShardRecord): ClaimBasis? {
        val unchangedMillis = (timer.nanoTime() - unchangedSinceNanos) / NANOS_PER_MILLI
        val delayMillis = if (record.standby == self.vm) 0 else (1 + rank()) * settings.claimStaggerMillis
        val sameVm = record.owner == self.vm && record.listenAddress == self.peerAddress
        return when {
            sameVm && record.ownerIncarnation <= self.incarnation -> ClaimBasis.RESTART
            record.released -> ClaimBasis.RELEASE.takeIf { unchangedMillis >= delayMillis }
            unchangedMillis < settings.claimWaitMillis -> null
            record.confirmedLost -> ClaimBasis.CONFIRMED_LOST
            record.standby == null || unchangedMillis < settings.claimWaitMillis + delayMillis -> null
            else -> ClaimBasis.CONSENT.takeIf { requestConsent(record.standby, record.fencingNumber) }
        }
    }

    private suspend fun requestConsent(standby: VmId, fencingNumber: Long): Boolean {
        val request = ConsentRequest(shard, fencingNumber, self.vm)
        val reply = if (standby == self.vm) standbyState.consent(request) else standbyClient.consent(standby, request)
        if (!reply.consented) {
            log.record("limit_shard_claim_refused", "shard" to shard, "standby" to standby, "reason" to reply.reason)
        }
        return reply.consented
    }

    private suspend fun create(current: VersionedLayout) {
        val since = missingSinceNanos ?: timer.nanoTime().also { missingSinceNanos = it }
        val missingMillis = (timer.nanoTime() - since) / NANOS_PER_MILLI
        if (missingMillis < rank() * settings.claimStaggerMillis) return
        if (members.self.leaving || shard !in current.layout.shards) return
        claim(ClaimBasis.FIRST, null, current) { store.create(ObjectKind.LIMIT_SHARDS, name, it.toSpec(), labels()) }
    }

    private fun labels() = mapOf("failureDomain" to shard.failureDomain.value)

    private suspend fun claim(
        basis: ClaimBasis,
        previous: LimitShardRecord?,
        current: VersionedLayout,
        attempt: suspend (LimitShardRecord) -> Result<StoredObject, StoreError>,
    ) {
        val base = previous ?: initialRecord()
        val layouts = previous?.let { LayoutSet.succeeding(it, current.layout, current.version) }
            ?: LayoutSet.initial(current.layout, current.version)
        layoutSet = layouts
        appliedVersion = current.version
        val next = nextRecord(base).copy(fencingNumber = base.fencingNumber + 1)
        val sentNanos = timer.nanoTime()
        val written = write { attempt(next) }
        val version = written.fold(
            { it.version },
            { if (it is StoreError.OutcomeUnknown) versionIfWritten(next) else null },
        )
        if (version == null) {
            layoutSet = null
            log.record("limit_shard_claim_failed", "shard" to shard, "basis" to basis, "error" to written.getError())
            return
        }
        claimNumber = next.fencingNumber
        acceptRecord(next, version, sentNanos)
        renewAtNanos = sentNanos + settings.renewMillis * NANOS_PER_MILLI
        val refillDelayMillis = if (basis.mayHaveOutstandingGrants) settings.grantEndMillis else 0
        callbacks.onAcquired(
            this,
            layouts.layouts,
            previous?.takeIf { it.released }?.levelsPicotokens.orEmpty(),
            refillDelayMillis,
        )
        log.record(
            "limit_shard_claim",
            "shard" to shard,
            "basis" to basis,
            "fencing" to next.fencingNumber,
            "previous" to previous?.owner,
            "standby" to next.standby,
        )
        notifyStandby(next)
    }

    private fun initialRecord() =
        LimitShardRecord(self.vm, self.incarnation, self.peerAddress, 0, settings.termMillis, writerToken = "")

    private suspend fun versionIfWritten(written: LimitShardRecord): Long? =
        read().get()?.takeIf { LimitShardRecord.of(it).writerToken == written.writerToken }?.version

    private fun LimitShardRecord.hasStandbyOf(other: LimitShardRecord) =
        standby == other.standby && standbyIncarnation == other.standbyIncarnation

    private fun LimitShardRecord.isOwnedBySelf() = owner == self.vm && ownerIncarnation == self.incarnation && !released

    /** This node's rank among the live members that could claim the shard; 0 is the preferred one. */
    private fun rank(): Int {
        val candidates = members.live(shard.failureDomain).filterNot { it.leaving }
        return RendezvousHash.rank(name, candidates) { it.vm.value }.indexOfFirst { it.vm == self.vm }
            .let { if (it < 0) candidates.size else it }
    }

    private fun nextWriterToken() = "${self.vm}/${self.incarnation}/${++writeCount}"

    private suspend fun read(): Result<StoredObject, StoreError> =
        timer.withTimeoutOrNull(settings.storeTimeoutMillis) { store.get(ObjectKind.LIMIT_SHARDS, name) }
            ?: Err(StoreError.Unavailable("no reply in ${settings.storeTimeoutMillis} ms"))

    private suspend fun write(
        block: suspend () -> Result<StoredObject, StoreError>,
    ): Result<StoredObject, StoreError> = timer.withTimeoutOrNull(settings.storeTimeoutMillis) { block() }
        ?: Err(StoreError.OutcomeUnknown("no reply in ${settings.storeTimeoutMillis} ms"))
}
