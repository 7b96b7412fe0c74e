package ragwortbarrow.core.error

/** Whether the request that an error response belongs to was executed. */
enum class Execution(val wireName: String) {
    /** No backend server has run the request, and none will. */
    NOT_RUN("not-run"),

    /** A backend server may have run the request. */
    UNKNOWN("unknown"),

    /** A backend server ran the request. */
    RAN("ran"),
}
