package ragwortbarrow.soak

import ragwortbarrow.standins.operators.BodyFraming
import ragwortbarrow.standins.operators.CopyTime
import ragwortbarrow.standins.operators.SecondCopy
import kotlin.random.Random

/** Draws a second copy of a response: when it is sent, how much of it, in how many parts, and how it differs. */
internal fun drawSecondCopy(random: Random) = SecondCopy(
    time = drawTime(random),
    sentBytes = drawSentBytes(random),
    parts = random.nextInt(1, MAX_PARTS + 1),
    gapMillis = random.nextLong(MAX_GAP_MILLIS),
    status = STATUSES.random(random).takeIf { random.nextInt(3) == 0 },
    framing = BodyFraming.entries.random(random).takeIf { random.nextInt(3) == 0 },
    bearsId = random.nextInt(3) > 0,
    bearsStamp = random.nextInt(3) > 0,
)

private fun drawTime(random: Random) = when (random.nextInt(3)) {
    0 -> CopyTime.WithResponse
    1 -> CopyTime.AfterResponse(random.nextLong(MAX_DELAY_MILLIS))
    else -> CopyTime.AfterNextRequest
}

private fun drawSentBytes(random: Random) = when (random.nextInt(3)) {
    0 -> Int.MAX_VALUE
    1 -> random.nextInt(1, STATUS_LINE_BYTES)
    else -> random.nextInt(STATUS_LINE_BYTES, RESPONSE_BYTES)
}

private const val MAX_PARTS = 3
private const val MAX_GAP_MILLIS = 20L

/** Callers pause about as long before their next request, so that some copies race with it. */
private const val MAX_DELAY_MILLIS = 60L
private const val STATUS_LINE_BYTES = 22

/** Covers the head and the body of a short response, and the first events of a stream. */
private const val RESPONSE_BYTES = 200

/** Among them an interim status and some that have no body. */
private val STATUSES = listOf(100, 200, 204, 304, 404, 421, 429, 500, 503)
