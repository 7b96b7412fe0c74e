package ragwortbarrow.core.ids

import kotlinx.serialization.Serializable

/** Names one VM instance; a replaced VM gets a new id, and an id is never used again. */
@JvmInline
@Serializable
value class VmId(val value: String) {
    override fun toString(): String = value
}

/** Names a failure domain, such as a site or a zone. */
@JvmInline
@Serializable
value class FailureDomainId(val value: String) {
    override fun toString(): String = value
}

/** Names a customer, the unit of rates, keys and fair shares. */
@JvmInline
@Serializable
value class CustomerId(val value: String) {
    override fun toString(): String = value
}

/** Names a backend server: a model engine or a plain service. */
@JvmInline
@Serializable
value class BackendServerId(val value: String) {
    override fun toString(): String = value
}

/** Names a caller's key without revealing it. */
@JvmInline
@Serializable
value class KeyId(val value: String) {
    override fun toString(): String = value
}

/** Names a request; backend servers echo it in their answers. */
@JvmInline
@Serializable
value class RequestId(val value: String) {
    override fun toString(): String = value
}
