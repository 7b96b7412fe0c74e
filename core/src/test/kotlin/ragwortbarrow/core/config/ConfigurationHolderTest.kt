package ragwortbarrow.core.config

import org.junit.jupiter.api.Test
import ragwortbarrow.core.manifest.Manifest
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against activating an older or an invalid configuration. */
class ConfigurationHolderTest {
    private val holder = ConfigurationHolder()

    @Test
    fun `a lower version is ignored after a higher one`() {
        tryApply(5, manifestOf(customers = 5))
        expectThat(tryApply(4, manifestOf(customers = 4))).isEqualTo(ApplyOutcome.Ignored)
        expectThat(holder.current?.version).isEqualTo(5)
    }

    @Test
    fun `an invalid configuration is rejected with the reason and the current one stays active`() {
        tryApply(1, manifestOf())
        val invalid = manifestOf().let {
            it.copy(backendServers = it.backendServers.map { server -> server.copy(slots = 0) })
        }
        expectThat(tryApply(2, invalid)).isA<ApplyOutcome.Rejected>()
        expectThat(holder.status).and {
            get { appliedVersion }.isEqualTo(1)
            get { rejectedVersion }.isEqualTo(2)
            get { rejectedReason }.contains("slots")
        }
        expectThat(holder.current?.version).isEqualTo(1)
        tryApply(3, manifestOf())
        expectThat(holder.current?.version).isEqualTo(3)
    }

    @Test
    fun `a configuration with a missing part is rejected`() {
        val split = manifestOf().splitIntoParts()
        expectThat(holder.tryApply(ConfigurationHead(1, split.refs, "ann")) { null }).isA<ApplyOutcome.Rejected>()
        expectThat(holder.current).isNull()
    }

    @Test
    fun `subscribers receive the current version and then each later one in order`() {
        val seen = mutableListOf<Long>()
        tryApply(1, manifestOf())
        holder.subscribe { seen += it.version }
        tryApply(3, manifestOf(customers = 9))
        tryApply(2, manifestOf(customers = 7))
        expectThat(seen).containsExactly(1, 3)
    }

    private fun tryApply(version: Long, manifest: Manifest): ApplyOutcome {
        val split = manifest.splitIntoParts()
        return holder.tryApply(ConfigurationHead(version, split.refs, "ann"), split.parts::get)
    }
}
