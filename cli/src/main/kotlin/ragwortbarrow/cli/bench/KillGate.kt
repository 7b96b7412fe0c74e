package ragwortbarrow.cli.bench

import com.github.michaelbull.result.Result
import kotlinx.coroutines.awaitCancellation
import kotlinx.serialization.json.JsonObject
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendClient
import ragwortbarrow.core.backend.BackendRequest
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectPage
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.TimerService

/** Ends a simulated node: its timers stop, and nothing it sends or waits for goes on. */
internal class KillGate : BenchGate {
    var killed = false

    override fun timer(timer: TimerService): TimerService = object : TimerService by timer {
        override fun once(delayMillis: Long, action: () -> Unit) = timer.once(delayMillis) { if (!killed) action() }

        override fun every(periodMillis: Long, action: () -> Unit) = timer.every(periodMillis) { if (!killed) action() }
    }

    override fun store(store: ObjectStore): ObjectStore = object : ObjectStore by store {
        override suspend fun get(kind: ObjectKind, name: String) = whileAlive { store.get(kind, name) }

        override suspend fun list(
            kind: ObjectKind,
            labels: Map<String, String>,
            limit: Int,
            continueToken: String?,
            metadataOnly: Boolean,
        ): Result<ObjectPage, StoreError> = whileAlive { store.list(kind, labels, limit, continueToken, metadataOnly) }

        override suspend fun create(
            kind: ObjectKind,
            name: String,
            spec: JsonObject,
            labels: Map<String, String>,
        ): Result<StoredObject, StoreError> = whileAlive { store.create(kind, name, spec, labels) }

        override suspend fun update(
            kind: ObjectKind,
            name: String,
            expectedVersion: Long,
            spec: JsonObject,
            labels: Map<String, String>,
        ): Result<StoredObject, StoreError> = whileAlive { store.update(kind, name, expectedVersion, spec, labels) }
    }

    override fun client(client: BackendClient): BackendClient = object : BackendClient by client {
        override suspend fun send(server: BackendServer, request: BackendRequest): AttemptOutcome =
            whileAlive { client.send(server, request) }
    }

    private suspend fun <T> whileAlive(call: suspend () -> T): T {
        if (killed) awaitCancellation()
        val reply = call()
        if (killed) awaitCancellation()
        return reply
    }
}
