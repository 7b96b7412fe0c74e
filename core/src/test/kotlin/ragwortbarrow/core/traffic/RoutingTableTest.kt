package ragwortbarrow.core.traffic

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class RoutingTableTest {
    private fun route(name: String, host: String, prefix: String) = Route(
        name = name,
        host = host,
        pathPrefix = prefix,
        kind = RouteKind.IDEMPOTENT,
        services = listOf(WeightedService("a", 90.0), WeightedService("b", 10.0)),
        timeoutMillis = 1_000,
        targetLatencyMillis = 200,
    )

    private val table = RoutingTable(
        version = 7,
        routes = listOf(route("short", "h", "/p/"), route("long", "h", "/p/q/"), route("other", "i", "/p/")),
        customers = emptyList(),
        limits = CallerLimits(1, 1, 1, 1),
    )

    @Test
    fun `the longest matching prefix of the host wins`() {
        expectThat(table.route("h", "/p/q/1")?.name).isEqualTo("long")
        expectThat(table.route("h", "/p/1")?.name).isEqualTo("short")
        expectThat(table.route("i", "/p/q/1")?.name).isEqualTo("other")
        expectThat(table.route("h", "/q/1")).isNull()
    }

    @Test
    fun `requests are split by weight`() {
        val route = table.routes.first()
        expectThat(route.service(0.0)).isEqualTo("a")
        expectThat(route.service(0.89)).isEqualTo("a")
        expectThat(route.service(0.91)).isEqualTo("b")
        expectThat(route.service(0.999)).isEqualTo("b")
    }
}
