package ragwortbarrow.standins.operators

/** When the second copy of a response is sent. */
sealed interface CopyTime {
    /** In the same write as the end of the response. */
    data object WithResponse : CopyTime

    /** [delayMillis] after the response, whether or not the next request has arrived meanwhile. */
    data class AfterResponse(val delayMillis: Long) : CopyTime

    /** When the next request has been read, before the response to it. */
    data object AfterNextRequest : CopyTime
}

/**
 * A second copy of a response, on the same connection. Only its first [sentBytes] are sent, in [parts] writes that are
 * [gapMillis] apart. It has the response's [status] and [framing] unless they are set, and its headers except those
 * that it does not bear.
 */
data class SecondCopy(
    val time: CopyTime = CopyTime.AfterNextRequest,
    val sentBytes: Int = Int.MAX_VALUE,
    val parts: Int = 1,
    val gapMillis: Long = 0,
    val status: Int? = null,
    val framing: BodyFraming? = null,
    val bearsId: Boolean = true,
    val bearsStamp: Boolean = true,
) {
    /** Whether only the end of the connection ends the copy. */
    val endsConnection: Boolean get() = framing == BodyFraming.CONNECTION_END

    /** The writes of the copy of [response]. */
    internal fun writes(response: RunnerResponse): List<String> {
        val omitted = setOfNotNull(
            RunnerResponse.REQUEST_ID.takeUnless { bearsId },
            RunnerResponse.SERVER_STAMP.takeUnless { bearsStamp },
        )
        val copy = response.copy(
            status = status ?: response.status,
            headers = response.headers.filterNot { (name, _) -> name in omitted },
            framing = framing ?: response.framing,
        )
        val text = copy.text.take(sentBytes)
        return if (text.isEmpty()) emptyList() else text.chunked((text.length + parts - 1) / parts)
    }
}
