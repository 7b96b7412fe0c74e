package ragwortbarrow.soak

/** Keys that callers use, by customer. The customer of [LIMITED_KEY] sends more than its rate limit. */
internal const val STEADY_KEY = "key-mill"
internal const val ROTATED_KEY = "key-mill-rotated"
internal const val LIMITED_KEY = "key-school"

internal val CUSTOMERS = mapOf(STEADY_KEY to "mill", ROTATED_KEY to "mill", LIMITED_KEY to "school")

internal const val LIMITED_RATE_PER_SECOND = 20
internal const val LIMITED_BURST = 20

internal const val COLD_START_MILLIS = 4_000L

/** Requests that a cold server takes from all nodes together. */
internal const val COLD_REQUESTS_PER_SECOND = 1

/** Configuration in the operators' format, without the keys in [withdrawn]. */
internal fun configurationText(version: Int, withdrawn: Set<String>): String {
    val keys = listOf(STEADY_KEY, ROTATED_KEY).filter { it !in withdrawn }.joinToString(",") { "\"$it\"" }
    fun route(name: String, kind: String, extraFields: String) =
        """{"name":"$name","host":"h.example","path_prefix":"/$name/","kind":"$kind","target_latency_ms":300,
            "priority":1,"service":"engines",$extraFields}"""
    return """{"version":$version,"routes":[
        ${route("page", "idempotent", "\"timeout_ms\":1500,\"max_attempts\":2")},
        ${route("order", "non_idempotent", "\"timeout_ms\":1500,\"max_attempts\":2")},
        ${route("ask", "streaming", "\"timeout_ms\":4000,\"max_attempts\":2,\"resumable\":true")},
        ${route("blurb", "streaming", "\"timeout_ms\":4000,\"max_attempts\":1")},
        ${route("extra-$version", "idempotent", "\"timeout_ms\":1500,\"max_attempts\":2")},
        ${route(
        "quote",
        "batch",
        "\"timeout_ms\":15000,\"max_attempts\":3,\"completion_target_ms\":18000,\"max_wait_s\":90",
    )}],
        "services":[{"name":"engines","health_path":"/healthz","max_connections":200,
        "cold_start_s":${COLD_START_MILLIS / 1_000},"cold_per_s":$COLD_REQUESTS_PER_SECOND}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
        "idle_timeout_ms":15000},
        "tenants":[{"name":"mill","api_keys":[$keys]},
        {"name":"school","api_keys":["$LIMITED_KEY"],"rate_per_s":$LIMITED_RATE_PER_SECOND,"burst":$LIMITED_BURST}]}"""
}
