package ragwortbarrow.core.lease

import ragwortbarrow.core.limits.ShardLayout

/**
 * The layouts that limit the buckets of a shard: each bucket uses the smallest share that any of them gives it.
 *
 * An owner adds a new layout immediately, and drops older ones only after the records of all shards show the new one.
 * At any time at least one layout is therefore in the sets of all owners, and the shares in use never exceed the total
 * of that layout. The record contains its owner's set, so that the next owner starts with the same set.
 */
internal data class LayoutSet(val layouts: List<ShardLayout>, val sinceVersion: Long) {
    val current: ShardLayout get() = layouts.last()
    val isComplete: Boolean get() = layouts.size == 1

    fun plus(layout: ShardLayout, version: Long): LayoutSet =
        if (layout == current) this else LayoutSet(layouts - layout + layout, version)

    fun currentOnly(): LayoutSet = LayoutSet(listOf(current), sinceVersion)

    /**
     * Whether [records], which contains all shards that ever had an owner, show the current layout. A shard that is
     * neither in its own record's layout nor in the current one has no shares, so its record is ignored.
     */
    fun isAdoptedBy(records: Map<String, LimitShardRecord>): Boolean = records.all { (name, record) ->
        val recorded = record.layouts.lastOrNull()
        val isCurrent = recorded == current && record.configurationVersion >= sinceVersion
        isCurrent || (recorded != null && !recorded.contains(name) && !current.contains(name))
    }

    private fun ShardLayout.contains(name: String) = shards.any { it.toString() == name }

    companion object {
        /** The set of a shard's first owner: no shares are used until all other owners have adopted the layout. */
        fun initial(layout: ShardLayout, version: Long): LayoutSet =
            LayoutSet(listOf(ShardLayout.EMPTY, layout), version)

        /** The set of an owner that succeeds the one in [record]. */
        fun succeeding(record: LimitShardRecord, layout: ShardLayout, version: Long): LayoutSet {
            val inherited = record.layouts.ifEmpty { listOf(ShardLayout.EMPTY) }
            val sinceVersion = if (inherited.last() == layout) record.configurationVersion else version
            return LayoutSet(inherited - layout + layout, sinceVersion)
        }
    }
}
