package ragwortbarrow.entry

import kotlinx.coroutines.launch
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.jobs.ItemResult
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.jobs.ResultChunk
import ragwortbarrow.core.jobs.ResultLog
import ragwortbarrow.core.placement.Occupancy
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull

class JobRunnerTest {
    private val fixture = JobRunnerFixture()
    private val runner = fixture.runner

    @AfterEach
    fun close() = fixture.close()

    private fun startJob(items: Int) = runner.startJob(fixture.job(items), ResultLog(items))

    private fun itemsInFlight() = fixture.servers.sumOf { fixture.tracker.localOccupancy(it.id).batch }

    /** An online request of the same turn of the event loop takes the slot of an item that was just placed. */
    @Test
    fun `an item that is preempted in the turn in which it starts waits again`() {
        fixture.tracker.replace(fixture.servers.take(1))
        startJob(items = 12)
        fixture.dispatcher.runQueued()
        fixture.timer.advance(100)
        runner.rebalance()
        runner.freeSlot(fixture.servers[0])
        fixture.dispatcher.runQueued()
        expectThat(itemsInFlight()).isGreaterThan(0)
        expectThat(runner.runningItems).isEqualTo(itemsInFlight())
        expectThat(runner.waitingItems + runner.runningItems).isEqualTo(12)
    }

    /** One server has free slots and another one is half full when a whole job becomes ready to start. */
    @Test
    fun `items that start in the same turn count for the placement of the next ones`() {
        fixture.tracker.updatePeer(VmId("vm-2"), mapOf(fixture.servers[1].id to Occupancy(online = 2)))
        runner.rebalance()
        startJob(items = 12)
        fixture.dispatcher.runQueued()
        val loads = fixture.servers.map { fixture.tracker.occupancy(it.id).total }
        expectThat(loads).all { isLessThanOrEqualTo(4) }
    }

    private fun startItemsOnOneServer() {
        fixture.tracker.replace(fixture.servers.take(1))
        startJob(items = 3)
        fixture.dispatcher.runQueued()
        runner.rebalance()
        fixture.dispatcher.runQueued()
        expectThat(itemsInFlight()).isEqualTo(3)
    }

    /** The reports of another node, every 100 ms, of its online requests at the server. */
    private fun reportOnline(vararg counts: Int) {
        for (count in counts) {
            fixture.tracker.updatePeer(VmId("vm-2"), mapOf(fixture.servers[0].id to Occupancy(online = count)))
            runner.rebalance()
            fixture.dispatcher.runQueued()
            fixture.timer.advance(100)
        }
    }

    @Test
    fun `items make room for online requests of another node`() {
        startItemsOnOneServer()
        reportOnline(7, 7, 7, 7, 7)
        expectThat(itemsInFlight()).isLessThanOrEqualTo(1)
    }

    /**
     * Guards against items that run after the end of their job, if it is announced before the reply to the write of the
     * job, or of its takeover, arrives.
     */
    @Test
    fun `a job whose end was announced before its start does not run`() {
        fixture.cancelledJobs.add("job")
        startJob(items = 3)
        runner.rebalance()
        fixture.dispatcher.runQueued()
        expectThat(itemsInFlight()).isEqualTo(0)
        expectThat(runner.waitingItems).isEqualTo(0)
    }

    /** Guards against results that fill the memory while the store is away. */
    @Test
    fun `no items start while the results that wait for the store take too much memory`() {
        runner.startJob(fixture.job(items = 3), ResultLog(3))
        fixture.dispatcher.runQueued()
        val started = itemsInFlight()
        val output = "x".repeat(JobRunnerFixture.MAX_OUTPUT_BYTES.toInt() + 1)
        val job = checkNotNull(runner.activeJob("job"))
        job.unstoredResults += ItemResult("item-0", isCompleted = true, output)
        runner.startJob(fixture.job(items = 3).copy(id = "job-2"), ResultLog(3))
        runner.rebalance()
        fixture.dispatcher.runQueued()
        expectThat(itemsInFlight()).isEqualTo(started)
        job.unstoredResults.clear()
        runner.rebalance()
        fixture.dispatcher.runQueued()
        expectThat(itemsInFlight()).isEqualTo(6)
    }

    /** Guards against items that wait for each other: the outputs of waiting items become smaller only by their runs. */
    @Test
    fun `items with large outputs of interrupted runs start again`() {
        startJob(items = 3)
        fixture.dispatcher.runQueued()
        val output = "x".repeat(JobRunnerFixture.MAX_OUTPUT_BYTES.toInt())
        checkNotNull(runner.activeJob("job")).waiting.forEach { it.appendEvent(1, output) }
        runner.rebalance()
        fixture.dispatcher.runQueued()
        expectThat(itemsInFlight()).isEqualTo(3)
    }

    /** Calls to the holder that waited for a connection arrive together. */
    @Test
    fun `callers who ask at the same time all get the results that the previous holder stored late`() {
        runner.startJob(fixture.job(items = 3), ResultLog(3), isTakenOver = true)
        val chunk = ResultChunk(first = 0, listOf(ItemResult("item-0", isCompleted = true, "output")))
        fixture.scope.launch { fixture.jobStore.appendResults("job", 0, chunk) }
        fixture.timer.advance(1_000)
        fixture.dispatcher.runQueued()
        val job = checkNotNull(runner.activeJob("job"))
        val reads = fixture.delayReads()
        val sizes = ArrayList<Int>()
        repeat(2) {
            fixture.scope.launch {
                runner.rereadResults(job)
                sizes += job.log.size
            }
        }
        fixture.dispatcher.runQueued()
        reads.complete(Unit)
        fixture.dispatcher.runQueued()
        expectThat(sizes).containsExactly(1, 1)
    }

    /** Callers of a job that was taken over ask its holder all the time. */
    @Test
    fun `once no other node can store results of a job, they are not read again`() {
        runner.startJob(fixture.job(items = 3), ResultLog(3), isTakenOver = true)
        val job = checkNotNull(runner.activeJob("job"))
        fixture.scope.launch { runner.rereadResults(job) }
        fixture.timer.advance(1_000)
        fixture.dispatcher.runQueued()
        val reads = fixture.delayReads()
        var answered = 0
        repeat(3) {
            fixture.timer.advance(1_000)
            fixture.scope.launch {
                runner.rereadResults(job)
                answered++
            }
            fixture.dispatcher.runQueued()
        }
        expectThat(answered).isEqualTo(3)
        reads.complete(Unit)
        val late = ResultChunk(first = 0, listOf(ItemResult("item-0", isCompleted = true, "late")))
        var isStored = true
        fixture.scope.launch { isStored = fixture.jobStore.appendResults("job", 0, late).isOk }
        fixture.dispatcher.runQueued()
        expectThat(isStored).isFalse()
    }

    /** The store gets the takeover of another node, and its first chunk, while this node is out of touch. */
    private fun takeOverElsewhere() {
        val other = JobHolder("vm-9", 9)
        fixture.timer.advance(1_000)
        fixture.scope.launch {
            fixture.jobStore.updateState("job") { it.copy(holder = other) }
            fixture.jobStore.appendResults("job", 0, ResultChunk(first = 0, emptyList()))
        }
        fixture.dispatcher.runQueued()
    }

    private fun storedChunks(): Int {
        val stored = ResultLog(3)
        fixture.scope.launch { fixture.jobStore.readResults("job", stored) }
        fixture.dispatcher.runQueued()
        return stored.nextChunkNumber
    }

    @Test
    fun `a node that has lost a job lets it go instead of sealing its results behind those of the new holder`() {
        runner.startJob(fixture.job(items = 3), ResultLog(3), isTakenOver = true)
        val job = checkNotNull(runner.activeJob("job"))
        takeOverElsewhere()
        fixture.scope.launch { runner.rereadResults(job) }
        pass(1_000)
        expectThat(runner.activeJob("job")).isNull()
        expectThat(storedChunks()).isEqualTo(1)
    }

    @Test
    fun `results of a lost job are not stored behind those of the new holder that a caller has made known`() {
        fixture.tracker.replace(emptyList())
        runner.startJob(fixture.job(items = 3), ResultLog(3), isTakenOver = true)
        val job = checkNotNull(runner.activeJob("job"))
        job.unstoredResults += ItemResult("item-1", isCompleted = true, "own")
        job.isStoring = true
        takeOverElsewhere()
        fixture.scope.launch { runner.rereadResults(job) }
        pass(1_000)
        job.isStoring = false
        fixture.configure(version = 2, emptyList())
        fixture.tracker.replace(fixture.servers)
        pass(1_000)
        expectThat(runner.activeJob("job")).isNull()
        expectThat(storedChunks()).isEqualTo(1)
    }

    private fun pass(millis: Long) = repeat((millis / 100).toInt()) {
        fixture.timer.advance(100)
        fixture.quarantine.recordAnswer(listOf("common", "other"))
        fixture.quarantine.update()
        runner.rebalance()
        fixture.dispatcher.runQueued()
    }

    /** Three servers end with requests that have the part, as those that items of one job share do. */
    private fun blamePart() {
        repeat(3) {
            val server = BackendServerId("ended-$it")
            fixture.quarantine.recordDisconnect(server, "request-$it", listOf("common", "subject"))
            pass(1_000)
        }
        pass(500)
        expectThat(fixture.quarantine.size).isEqualTo(1)
    }

    /** Guards against items that are held for good: nothing else has the part that is to be answered. */
    @Test
    fun `one of the items whose part is in quarantine is tried, and all start once it is answered`() {
        blamePart()
        runner.startJob(fixture.job(items = 3, headers = mapOf("parts" to "common,subject")), ResultLog(3))
        pass(1_000)
        expectThat(itemsInFlight()).isEqualTo(0)
        pass(5_000)
        expectThat(itemsInFlight()).isEqualTo(1)
        // Online requests need the slot.
        fixture.servers.forEach { runner.freeSlot(it) }
        pass(1_000)
        expectThat(itemsInFlight()).isEqualTo(1)
        fixture.quarantine.recordAnswer(listOf("common", "subject"))
        pass(500)
        expectThat(itemsInFlight()).isEqualTo(3)
    }

    /** Guards against servers that all end at once, each with one of the items that were held. */
    @Test
    fun `items whose part was in quarantine are not all sent at its end`() {
        blamePart()
        pass(120_000)
        expectThat(fixture.quarantine.size).isEqualTo(0)
        runner.startJob(fixture.job(items = 3, headers = mapOf("parts" to "common,subject")), ResultLog(3))
        pass(5_000)
        expectThat(itemsInFlight()).isEqualTo(1)
        fixture.quarantine.recordAnswer(listOf("common", "subject"))
        pass(500)
        expectThat(itemsInFlight()).isEqualTo(3)
    }

    @Test
    fun `no item is tried while this node does not reach most others`() {
        blamePart()
        val peers = (2..3).map { FleetNode(VmId("vm-$it"), "127.0.0.1:$it", 1, fixture.self.failureDomain) }
        peers.forEach { fixture.members.addMember(it) }
        fixture.timer.advance(4_000)
        runner.startJob(fixture.job(items = 3, headers = mapOf("parts" to "common,subject")), ResultLog(3))
        pass(20_000)
        expectThat(itemsInFlight()).isEqualTo(0)
        fixture.members.recordContact(peers[0], isLeaving = false)
        repeat(40) {
            fixture.members.recordContact(peers[0], isLeaving = false)
            pass(100)
        }
        expectThat(itemsInFlight()).isEqualTo(1)
    }

    /** Each part of a partitioned fleet would send three trials otherwise. */
    @Test
    fun `no item is tried while this node does not reach most others, also after these have expired as members`() {
        blamePart()
        val peers = (2..3).map { FleetNode(VmId("vm-$it"), "127.0.0.1:$it", 1, fixture.self.failureDomain) }
        peers.forEach { fixture.members.recordContact(it, isLeaving = false) }
        fixture.timer.advance(31_000)
        expectThat(fixture.members.removeExpired()).hasSize(2)
        runner.startJob(fixture.job(items = 3, headers = mapOf("parts" to "common,subject")), ResultLog(3))
        pass(20_000)
        expectThat(itemsInFlight()).isEqualTo(0)
    }
}
