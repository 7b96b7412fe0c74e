package ragwortbarrow.standins.engine

/**
 * Settings of an [EngineServer]. Each other running request adds the fraction [growthPerRunning] to the time to the
 * first token and between tokens. A prompt whose first [prefixChars] characters are in the prefix cache gets its first
 * token in half the time.
 */
data class EngineSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val models: List<String> = listOf("wording"),
    val slots: Int = 8,
    val firstTokenMillis: Double = 20.0,
    val betweenTokensMillis: Double = 5.0,
    val growthPerRunning: Double = 0.02,
    val defaultTokens: Int = 16,
    val loadLagMillis: Long = 200,
    val checksFencing: Boolean = false,
    val prefixChars: Int = 64,
    val prefixCacheEntries: Int = 256,
)
