package ragwortbarrow.core.error

/** What a refusal says about the execution of the request it refuses. */
enum class Execution(val wireName: String) {
    /** No backend server has run the request or will run it. */
    NOT_RUN("not-run"),

    /** A backend server may have run the request. */
    UNKNOWN("unknown"),

    /** A backend server ran the request. */
    RAN("ran"),
}
