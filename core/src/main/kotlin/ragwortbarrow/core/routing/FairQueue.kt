package ragwortbarrow.core.routing

/**
 * Per-customer queues served by deficit round robin on estimated tokens: each round adds [quantumTokens] times its
 * weight to the deficit of a customer, which keeps the unused rest while it has waiting items. A small quantum keeps
 * rounds short: a customer with a large weight gets its share in small pieces instead of making the others wait.
 *
 * All operations are short and in memory. [pollIf] calls its argument while holding the lock, so it must not block.
 */
class FairQueue<T : Any>(private val quantumTokens: Int = 1, private val maxItemTokens: Int = 4_096) {
    private val queues = HashMap<String, CustomerQueue<T>>()
    private val activeQueues = ArrayDeque<CustomerQueue<T>>()

    /** Number of waiting items; reading it takes no lock. */
    @Volatile
    var size: Int = 0
        private set

    /** Adds [item] and returns true, or returns false if [maxLength] items of [customer] are already waiting. */
    @Synchronized
    fun offer(customer: String, item: T, tokens: Int, weight: Int, maxLength: Int): Boolean {
        if ((queues[customer]?.items?.size ?: 0) >= maxLength) return false
        val queue = queues.getOrPut(customer) { CustomerQueue(customer) }
        queue.weight = weight.coerceAtLeast(1)
        if (queue.items.isEmpty()) activeQueues.addLast(queue)
        queue.items.addLast(Entry(item, tokens.coerceIn(1, maxItemTokens)))
        size++
        return true
    }

    /** Removes [item] from the queue of [customer]; returns false if it is no longer there. */
    @Synchronized
    fun remove(customer: String, item: T): Boolean {
        val queue = queues[customer] ?: return false
        if (!queue.items.removeAll { it.item === item }) return false
        size--
        if (queue.items.isEmpty()) removeQueue(queue)
        return true
    }

    /** Removes the next item if [accept] returns a value for it; otherwise the queue is unchanged. */
    @Synchronized
    fun <R : Any> pollIf(accept: (T) -> R?): Pair<T, R>? {
        val queue = nextQueue() ?: return null
        val entry = queue.items.first()
        val accepted = accept(entry.item) ?: return null
        queue.items.removeFirst()
        queue.deficitTokens -= entry.tokens
        size--
        if (queue.items.isEmpty()) removeQueue(queue)
        return entry.item to accepted
    }

    private fun nextQueue(): CustomerQueue<T>? {
        while (activeQueues.isNotEmpty()) {
            repeat(activeQueues.size) {
                val queue = activeQueues.first()
                if (!queue.hasTurn) {
                    queue.hasTurn = true
                    queue.deficitTokens += quantumOf(queue)
                }
                if (queue.deficitTokens >= queue.items.first().tokens) return queue
                queue.hasTurn = false
                activeQueues.removeFirst()
                activeQueues.addLast(queue)
            }
            skipIdleRounds()
        }
        return null
    }

    /** Adds the quanta of all rounds in which no item can be served, so that a small quantum needs no extra passes. */
    private fun skipIdleRounds() {
        val idleRounds = activeQueues.minOf { queue ->
            val missingTokens = queue.items.first().tokens - queue.deficitTokens
            (missingTokens - 1) / quantumOf(queue)
        }
        activeQueues.forEach { it.deficitTokens += idleRounds * quantumOf(it) }
    }

    private fun quantumOf(queue: CustomerQueue<T>): Long = quantumTokens.toLong() * queue.weight

    private fun removeQueue(queue: CustomerQueue<T>) {
        activeQueues.remove(queue)
        queues.remove(queue.customer)
    }

    private class CustomerQueue<T>(val customer: String) {
        val items = ArrayDeque<Entry<T>>()
        var weight = 1
        var deficitTokens = 0L
        var hasTurn = false
    }

    private class Entry<T>(val item: T, val tokens: Int)
}
