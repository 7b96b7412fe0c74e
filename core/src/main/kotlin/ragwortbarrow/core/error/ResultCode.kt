package ragwortbarrow.core.error

/**
 * The numbered result codes that callers and operators see. The meaning of a number never changes. A test checks that
 * `docs/result-codes.md` lists the same codes.
 */
enum class ResultCode(val number: Int, val type: String, val httpStatus: Int) {
    MALFORMED_BODY(1001, "invalid_request", 400),
    BODY_TOO_LARGE(1002, "invalid_request", 413),
    UNKNOWN_MODEL(1003, "not_found", 404),
    UNKNOWN_ROUTE(1004, "not_found", 404),
    INVALID_FIELD(1005, "invalid_request", 400),
    NOT_FOUND(1006, "not_found", 404),
    CONFLICT(1007, "conflict", 409),

    KEY_MISSING(2001, "authentication", 401),
    KEY_UNKNOWN(2002, "authentication", 401),
    KEY_WITHDRAWN(2003, "authentication", 401),
    KEY_OF_OTHER_CUSTOMER(2004, "permission", 403),
    KEY_STATE_STALE(2005, "unavailable", 503),

    RATE_EXCEEDED(3001, "rate_limit", 429),
    LIMITS_UNAVAILABLE(3002, "unavailable", 503),
    QUEUE_FULL(3003, "overloaded", 503),
    QUEUE_TIMEOUT(3004, "overloaded", 503),

    NO_BACKEND_SERVER(4001, "unavailable", 503),
    BACKEND_FAILED_NOT_RUN(4002, "unavailable", 503),
    BACKEND_FAILED_UNKNOWN(4003, "backend", 502),
    BACKEND_TIMEOUT(4004, "backend", 504),
    ANSWER_MISMATCH(4005, "backend", 502),
    STREAM_BROKEN(4006, "backend", 502),
    RETRY_BUDGET_SPENT(4007, "unavailable", 503),
    PROMPT_QUARANTINED(4008, "unavailable", 503),

    ITEM_INVALID(5001, "invalid_request", 400),
    ITEM_FAILED(5002, "batch", 500),
    ITEM_UNKNOWN(5003, "batch", 500),
    JOB_FINISHED(5004, "conflict", 409),

    MANIFEST_INVALID(6001, "configuration", 400),
    CONFIGURATION_CONFLICT(6002, "configuration", 409),
    NO_CONFIGURATION(6003, "unavailable", 503),
    NOT_CONFIRMED(6004, "configuration", 503),

    PLATFORM_UNAVAILABLE(7001, "unavailable", 503),
    PLATFORM_OUTCOME_UNKNOWN(7002, "unavailable", 503),

    DRAINING(8001, "unavailable", 503),
    INTERNAL(9001, "internal", 500),
}
