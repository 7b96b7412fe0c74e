package ragwortbarrow.core.config

import org.junit.jupiter.api.Test
import ragwortbarrow.core.manifest.Manifest
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against a configuration that reverts, and against a faulty one that replaces the one in force. */
class ConfigurationHolderTest {
    private val holder = ConfigurationHolder()

    @Test
    fun `a lower version is ignored after a higher one`() {
        offer(5, manifestOf(customers = 5))
        expectThat(offer(4, manifestOf(customers = 4))).isEqualTo(OfferOutcome.Ignored)
        expectThat(holder.current?.version).isEqualTo(5)
    }

    @Test
    fun `a faulty configuration is rejected with the reason and the present one stays`() {
        offer(1, manifestOf())
        val faulty = manifestOf().let {
            it.copy(backendServers = it.backendServers.map { server -> server.copy(slots = 0) })
        }
        expectThat(offer(2, faulty)).isA<OfferOutcome.Rejected>()
        expectThat(holder.status).and {
            get { appliedVersion }.isEqualTo(1)
            get { rejectedVersion }.isEqualTo(2)
            get { rejectedReason }.contains("slots")
        }
        expectThat(holder.current?.version).isEqualTo(1)
        offer(3, manifestOf())
        expectThat(holder.current?.version).isEqualTo(3)
    }

    @Test
    fun `a configuration with a missing part is rejected`() {
        val cut = manifestOf().splitIntoParts()
        expectThat(holder.offer(ConfigurationHead(1, cut.refs, "ann")) { null }).isA<OfferOutcome.Rejected>()
        expectThat(holder.current).isNull()
    }

    @Test
    fun `subscribers see the present version and then each later one in order`() {
        val seen = mutableListOf<Long>()
        offer(1, manifestOf())
        holder.subscribe { seen += it.version }
        offer(3, manifestOf(customers = 9))
        offer(2, manifestOf(customers = 7))
        expectThat(seen).containsExactly(1, 3)
    }

    private fun offer(version: Long, manifest: Manifest): OfferOutcome {
        val cut = manifest.splitIntoParts()
        return holder.offer(ConfigurationHead(version, cut.refs, "ann"), cut.parts::get)
    }
}
