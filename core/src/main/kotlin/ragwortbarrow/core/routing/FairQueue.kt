package ragwortbarrow.core.routing

/**
 * Queues of waiting items by customer, served by deficit round robin on estimated tokens: in each round a customer may
 * use [quantumTokens] times its weight, and keeps what it could not use while it has items. A small quantum keeps the
 * round short: a customer of large weight takes its share in small pieces instead of making the others wait.
 *
 * The lock protects memory only. [pollIf] calls its argument under the lock, so the argument must not block.
 */
class FairQueue<T : Any>(private val quantumTokens: Int = 1, private val maxItemTokens: Int = 4_096) {
    private val queues = HashMap<String, CustomerQueue<T>>()
    private val round = ArrayDeque<CustomerQueue<T>>()

    /** The number of waiting items; reading it takes no lock. */
    @Volatile
    var size: Int = 0
        private set

    /** Adds [item] unless [maxLength] items of [customer] wait already. */
    @Synchronized
    fun offer(customer: String, item: T, tokens: Int, weight: Int, maxLength: Int): Boolean {
        if ((queues[customer]?.items?.size ?: 0) >= maxLength) return false
        val queue = queues.getOrPut(customer) { CustomerQueue(customer) }
        queue.weight = weight.coerceAtLeast(1)
        if (queue.items.isEmpty()) round.addLast(queue)
        queue.items.addLast(Entry(item, tokens.coerceIn(1, maxItemTokens)))
        size++
        return true
    }

    /** Takes [item] out of the queue of [customer]; false if it is no longer there. */
    @Synchronized
    fun remove(customer: String, item: T): Boolean {
        val queue = queues[customer] ?: return false
        if (!queue.items.removeAll { it.item === item }) return false
        size--
        if (queue.items.isEmpty()) retire(queue)
        return true
    }

    /** Takes the next item if [accept] returns a value for it; otherwise the order stays as it is. */
    @Synchronized
    fun <R : Any> pollIf(accept: (T) -> R?): Pair<T, R>? {
        val queue = nextQueue() ?: return null
        val entry = queue.items.first()
        val accepted = accept(entry.item) ?: return null
        queue.items.removeFirst()
        queue.deficitTokens -= entry.tokens
        size--
        if (queue.items.isEmpty()) retire(queue)
        return entry.item to accepted
    }

    private fun nextQueue(): CustomerQueue<T>? {
        while (round.isNotEmpty()) {
            repeat(round.size) {
                val queue = round.first()
                if (!queue.inTurn) {
                    queue.inTurn = true
                    queue.deficitTokens += quantumOf(queue)
                }
                if (queue.deficitTokens >= queue.items.first().tokens) return queue
                queue.inTurn = false
                round.removeFirst()
                round.addLast(queue)
            }
            skipIdleRounds()
        }
        return null
    }

    /** Adds at once the rounds in which no customer could go, so that a small quantum costs no extra passes. */
    private fun skipIdleRounds() {
        val idleRounds = round.minOf { queue ->
            val missingTokens = queue.items.first().tokens - queue.deficitTokens
            (missingTokens - 1) / quantumOf(queue)
        }
        round.forEach { it.deficitTokens += idleRounds * quantumOf(it) }
    }

    private fun quantumOf(queue: CustomerQueue<T>): Long = quantumTokens.toLong() * queue.weight

    private fun retire(queue: CustomerQueue<T>) {
        round.remove(queue)
        queues.remove(queue.customer)
    }

    private class CustomerQueue<T>(val customer: String) {
        val items = ArrayDeque<Entry<T>>()
        var weight = 1
        var deficitTokens = 0L
        var inTurn = false
    }

    private class Entry<T>(val item: T, val tokens: Int)
}
