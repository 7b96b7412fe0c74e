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
import ragwortbarrow.core.limits.LayoutInForce
import ragwortbarrow.core.limits.LimitSettings
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
 * The lease of one limit shard as seen by one node: it watches the record, claims the shard when nobody else can own
 * it, and renews or extends the lease while it holds it. [step] is called periodically.
 *
 * The record changes only by conditional update. A write whose reply was lost is resolved by reading the record back
 * and comparing its writer token; until then the holder takes both the old and the new record as possibly in force.
 */
internal class LimitShardLease(
    private val shard: LimitShardId,
    private val self: MemberInfo,
    private val store: ObjectStore,
    private val timer: TimerService,
    private val members: MemberView,
    private val peers: LeasePeers,
    private val duty: StandbyDuty,
    private val holder: ShardHolder,
    private val settings: LimitSettings,
    private val log: DecisionLog,
    private val inForce: () -> LayoutInForce?,
) : HeldLease {
    private class Held(val record: LimitShardRecord, val version: Long)

    /** A write of this process that may have taken effect, with the instant it was sent. */
    private class Pending(val record: LimitShardRecord, val sentNanos: Long)

    private val name = shard.toString()
    private val mutex = Mutex()
    private val clock = LeaseClock(timer, settings)

    @Volatile
    private var held: Held? = null
    private var pending: List<Pending> = emptyList()

    @Volatile
    private var layoutSet: LayoutSet? = null
    private var appliedVersion = 0L
    private var seenVersion = -1L
    private var seenNanos = 0L
    private var renewAtNanos = 0L
    private var missingSinceNanos: Long? = null
    private var needsNewFencingNumber = false
    private var writes = 0L
    private var closed = false

    @Volatile
    private var watchAtNanos = timer.nanoTime()

    @Volatile
    override var claimNumber: Long = 0
        private set

    @Volatile
    override var fencingNumber: Long = 0
        private set

    override fun remainingMillis(): Long = clock.remainingMillis()

    val isHeld: Boolean get() = held != null

    /** The layouts to be agreed with the other owners, or null when there is nothing to agree on. */
    val unsettledLayouts: LayoutSet? get() = layoutSet?.takeIf { held != null && !it.isSettled }

    /** Makes the next step that is due; a call while another one is running does nothing. */
    suspend fun step() {
        if (!mutex.tryLock()) return
        try {
            val holding = held
            when {
                closed -> Unit
                holding == null -> watch()
                else -> keep(holding)
            }
        } finally {
            mutex.unlock()
        }
    }

    /** Ends an agreement on layouts that was begun for [agreed]; a set that has changed since is kept. */
    suspend fun settleLayouts(agreed: LayoutSet): Unit = mutex.withLock {
        if (layoutSet === agreed && held != null) {
            layoutSet = agreed.settled().also { holder.onLayouts(it.layouts) }
        }
    }

    /** Hands the levels over and releases the shard; afterwards this object does nothing more. */
    suspend fun close(): Unit = mutex.withLock {
        closed = true
        val holding = held ?: return
        clock.end()
        val levels = holder.drain()
        val record = nextRecord(holding.record).copy(released = true, levelsPicotokens = levels)
        lose("released")
        val written = write { store.update(ObjectKind.LIMIT_SHARDS, name, holding.version, record.toSpec(), labels()) }
        log.record("limit_shard_release", "shard" to shard, "written" to written.isOk, "error" to written.getError())
        tellStandby(record)
    }

    /** Lets the next step read the record, because its owner has announced the end of its lease. */
    fun watchSoon() {
        watchAtNanos = timer.nanoTime()
    }

    private suspend fun keep(holding: Held) {
        val now = timer.nanoTime()
        inForce()?.let { applyLayout(it) }
        if (now - renewAtNanos < 0) return
        renewAtNanos = now + settings.renewMillis * NANOS_PER_MILLI
        val next = nextRecord(holding.record)
        val written = write { store.update(ObjectKind.LIMIT_SHARDS, name, holding.version, next.toSpec(), labels()) }
        when (val error = written.getError()) {
            null -> {
                adopt(next, checkNotNull(written.get()).version, now)
                if (!next.hasStandbyOf(holding.record)) tellStandby(next)
            }
            is StoreError.Conflict, is StoreError.NotFound -> readBack(holding)
            is StoreError.OutcomeUnknown -> {
                pending = pending + Pending(next, now)
                readBack(holding)
            }
            else -> {
                log.record("limit_shard_renewal_failed", "shard" to shard, "error" to error.message)
                extend(holding)
            }
        }
        held?.takeIf { clock.remainingMillis() < settings.termMillis / 3 }?.let { extend(it) }
    }

    /** A promise for no time changes nothing, but makes the standby read the record now. */
    private suspend fun tellStandby(record: LimitShardRecord) {
        record.standby?.let { peers.promise(it, promiseRequest(record, record.fencingNumber, termMillis = 0)) }
    }

    private fun applyLayout(current: LayoutInForce) {
        val before = checkNotNull(layoutSet)
        val after = before.plus(current.layout, current.version)
        appliedVersion = current.version
        if (after === before) return
        layoutSet = after
        holder.onLayouts(after.layouts)
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
            writerToken = nextToken(),
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
     * Keeps a live standby and replaces a suspected one. A suspected standby without a live replacement stays in the
     * record while it is known at all: once it runs again it can consent to a takeover, and nobody could without it.
     */
    private fun chooseStandby(record: LimitShardRecord): MemberInfo? {
        val live = members.live(shard.failureDomain).filter { it.vm != self.vm && !it.leaving }
        return live.firstOrNull { it.vm == record.standby }
            ?: RendezvousHash.choose(name, live) { it.vm.value }
            ?: record.standby?.takeIf { it != self.vm }?.let(members::member)
    }

    /** Finds out which record is in force after a write with an unknown or unexpected outcome. */
    private suspend fun readBack(holding: Held) {
        val read = read()
        val stored = read.get()
        when {
            read.getError() is StoreError.NotFound -> lose("record deleted")
            stored == null || stored.version < holding.version -> extend(holding)
            else -> {
                val record = LimitShardRecord.of(stored)
                if (!record.isMine()) return lose("owned by ${record.owner}")
                val sentNanos = pending.firstOrNull { it.record.writerToken == record.writerToken }?.sentNanos
                if (stored.version > holding.version) adopt(record, stored.version, sentNanos)
                renewAtNanos = timer.nanoTime()
            }
        }
    }

    private fun adopt(record: LimitShardRecord, version: Long, sentNanos: Long?) {
        needsNewFencingNumber = needsNewFencingNumber && record.fencingNumber == held?.record?.fencingNumber
        held = Held(record, version)
        pending = emptyList()
        fencingNumber = record.fencingNumber
        sentNanos?.let(clock::grantedFrom)
        members.announce(ShardOwner(shard, self.vm, record.fencingNumber))
    }

    /**
     * Extends the lease without the platform. Whichever of the known and the possibly written records is in force, its
     * standby must promise to consent to no other owner; a record without a standby allows no other claim.
     */
    private suspend fun extend(holding: Held) {
        val possible = listOf(holding.record) + pending.map { it.record }
        val fencingNumber = possible.maxOf { it.fencingNumber }
        val sentNanos = timer.nanoTime()
        for (record in possible.distinctBy { it.standby to it.standbyIncarnation }) {
            val standby = record.standby ?: continue
            val reply = peers.promise(standby, promiseRequest(record, fencingNumber, settings.termMillis))
            if (!reply.promised) {
                needsNewFencingNumber = needsNewFencingNumber || reply.reason == StandbyDuty.CONSENTED
                log.record(
                    "limit_shard_extension_refused",
                    "shard" to shard,
                    "standby" to standby,
                    "reason" to reply.reason,
                )
                return
            }
        }
        clock.grantedFrom(sentNanos)
        log.record(
            "limit_shard_extension",
            "shard" to shard,
            "fencing" to fencingNumber,
            "standby" to holding.record.standby,
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

    private fun lose(reason: String) {
        clock.end()
        held = null
        pending = emptyList()
        layoutSet = null
        needsNewFencingNumber = false
        holder.onLost()
        log.record("limit_shard_lost", "shard" to shard, "reason" to reason)
    }

    private suspend fun watch() {
        val now = timer.nanoTime()
        if (now - watchAtNanos < 0) return
        val current = inForce() ?: return
        watchAtNanos = now + watchMillis() * NANOS_PER_MILLI
        val read = read()
        val stored = read.get()
        when {
            read.getError() is StoreError.NotFound -> create(current)
            stored == null || stored.version < seenVersion -> Unit
            else -> {
                if (stored.version != seenVersion) {
                    seenVersion = stored.version
                    // Counted from the reply: the owner sent its renewal before this read ended.
                    seenNanos = timer.nanoTime()
                }
                consider(stored, LimitShardRecord.of(stored), current)
            }
        }
    }

    /** Nodes that are unlikely to claim read rarely, to save the platform's reads. */
    private fun watchMillis(): Long = if (rank() <= 1) settings.watchMillis else settings.watchMillis * 30

    private suspend fun consider(stored: StoredObject, record: LimitShardRecord, current: LayoutInForce) {
        duty.sawRecord(shard, record)
        if (record.standby ==
            self.vm
        ) {
            watchAtNanos = minOf(watchAtNanos, timer.nanoTime() + settings.watchMillis * NANOS_PER_MILLI)
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
        val unchangedMillis = (timer.nanoTime() - seenNanos) / NANOS_PER_MILLI
        val delayMillis = if (record.standby == self.vm) 0 else (1 + rank()) * settings.claimStaggerMillis
        val sameVm = record.owner == self.vm && record.listenAddress == self.peerAddress
        return when {
            sameVm && record.ownerIncarnation <= self.incarnation -> ClaimBasis.RESTART
            record.released -> ClaimBasis.RELEASE.takeIf { unchangedMillis >= delayMillis }
            unchangedMillis < settings.claimWaitMillis -> null
            record.confirmedLost -> ClaimBasis.CONFIRMED_LOST
            record.standby == null || unchangedMillis < settings.claimWaitMillis + delayMillis -> null
            else -> ClaimBasis.CONSENT.takeIf { consents(record.standby, record.fencingNumber) }
        }
    }

    private suspend fun consents(standby: VmId, fencingNumber: Long): Boolean {
        val request = ConsentRequest(shard, fencingNumber, self.vm)
        val reply = if (standby == self.vm) duty.consent(request) else peers.consent(standby, request)
        if (!reply.consented) {
            log.record("limit_shard_claim_refused", "shard" to shard, "standby" to standby, "reason" to reply.reason)
        }
        return reply.consented
    }

    private suspend fun create(current: LayoutInForce) {
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
        current: LayoutInForce,
        attempt: suspend (LimitShardRecord) -> Result<StoredObject, StoreError>,
    ) {
        val base = previous ?: emptyRecord()
        val layouts = previous?.let { LayoutSet.after(it, current.layout, current.version) }
            ?: LayoutSet.first(current.layout, current.version)
        layoutSet = layouts
        appliedVersion = current.version
        val next = nextRecord(base).copy(fencingNumber = base.fencingNumber + 1)
        val sentNanos = timer.nanoTime()
        val written = write { attempt(next) }
        val version = written.fold({
            it.version
        }, { if (it is StoreError.OutcomeUnknown) versionOfOwn(next) else null })
        if (version == null) {
            layoutSet = null
            log.record("limit_shard_claim_failed", "shard" to shard, "basis" to basis, "error" to written.getError())
            return
        }
        claimNumber = next.fencingNumber
        adopt(next, version, sentNanos)
        renewAtNanos = sentNanos + settings.renewMillis * NANOS_PER_MILLI
        val refillDelayMillis = if (basis.mayLeaveGrants) settings.grantEndMillis else 0
        holder.onHeld(
            this,
            layouts.layouts,
            previous?.takeIf {
                it.released
            }?.levelsPicotokens.orEmpty(),
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
        tellStandby(next)
    }

    private fun emptyRecord() =
        LimitShardRecord(self.vm, self.incarnation, self.peerAddress, 0, settings.termMillis, writerToken = "")

    private suspend fun versionOfOwn(written: LimitShardRecord): Long? =
        read().get()?.takeIf { LimitShardRecord.of(it).writerToken == written.writerToken }?.version

    private fun LimitShardRecord.hasStandbyOf(other: LimitShardRecord) =
        standby == other.standby && standbyIncarnation == other.standbyIncarnation

    private fun LimitShardRecord.isMine() = owner == self.vm && ownerIncarnation == self.incarnation && !released

    /** This node's place among the live members that could claim the shard. */
    private fun rank(): Int {
        val candidates = members.live(shard.failureDomain).filterNot { it.leaving }
        return RendezvousHash.rank(name, candidates) { it.vm.value }.indexOfFirst { it.vm == self.vm }
            .let { if (it < 0) candidates.size else it }
    }

    private fun nextToken() = "${self.vm}/${self.incarnation}/${++writes}"

    private suspend fun read(): Result<StoredObject, StoreError> =
        timer.withDeadline(settings.storeDeadlineMillis) { store.get(ObjectKind.LIMIT_SHARDS, name) }
            ?: Err(StoreError.Unavailable("no reply in ${settings.storeDeadlineMillis} ms"))

    private suspend fun write(
        block: suspend () -> Result<StoredObject, StoreError>,
    ): Result<StoredObject, StoreError> = timer.withDeadline(settings.storeDeadlineMillis) { block() }
        ?: Err(StoreError.OutcomeUnknown("no reply in ${settings.storeDeadlineMillis} ms"))
}
