package ragwortbarrow.core.limits

import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.config.ConfigurationView

/** The shard layout of a configuration with the configuration's version. */
internal data class VersionedLayout(val version: Long, val layout: ShardLayout)

/** The layout of the active configuration, computed once per configuration. Reads take no lock. */
internal class LayoutView(private val configuration: ConfigurationView) {
    private class Computed(val snapshot: ConfigurationSnapshot, val active: VersionedLayout)

    @Volatile
    private var computed: Computed? = null

    val active: VersionedLayout?
        get() {
            val snapshot = configuration.current ?: return null
            val last = computed
            if (last != null && last.snapshot === snapshot) return last.active
            return VersionedLayout(snapshot.version, ShardLayout.of(snapshot.manifest))
                .also { computed = Computed(snapshot, it) }
        }

    val current: ShardLayout? get() = active?.layout
}
