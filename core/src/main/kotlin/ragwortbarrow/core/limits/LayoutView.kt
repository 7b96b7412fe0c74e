package ragwortbarrow.core.limits

import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.config.ConfigurationView

/** The version and layout of a configuration. */
internal data class LayoutInForce(val version: Long, val layout: ShardLayout)

/** The layout of the configuration in force, computed once for each configuration; reading it takes no lock. */
internal class LayoutView(private val configuration: ConfigurationView) {
    private class Computed(val snapshot: ConfigurationSnapshot, val inForce: LayoutInForce)

    @Volatile
    private var computed: Computed? = null

    val inForce: LayoutInForce?
        get() {
            val snapshot = configuration.current ?: return null
            val last = computed
            if (last != null && last.snapshot === snapshot) return last.inForce
            return LayoutInForce(snapshot.version, ShardLayout.of(snapshot.manifest))
                .also { computed = Computed(snapshot, it) }
        }

    val current: ShardLayout? get() = inForce?.layout
}
