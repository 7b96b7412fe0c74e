package ragwortbarrow.core.quarantine

/** Answers that are reported to peers for [shareMillis]; the oldest ones are dropped beyond [maxParts]. */
internal class SharedAnswers(private val shareMillis: Long, private val maxParts: Int = 256) {
    private class Answer(val answeredMillis: Long, val recordedMillis: Long)

    private val answers = object : LinkedHashMap<String, Answer>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Answer>) = size > maxParts
    }

    fun record(part: String, answeredMillis: Long, nowMillis: Long) {
        answers.remove(part)
        answers[part] = Answer(answeredMillis, nowMillis)
    }

    /** The ages of the answers, by part. */
    fun agesMillis(nowMillis: Long): Map<String, Long> {
        answers.values.removeAll { nowMillis - it.recordedMillis > shareMillis }
        return answers.mapValues { (_, answer) -> nowMillis - answer.answeredMillis }
    }
}
