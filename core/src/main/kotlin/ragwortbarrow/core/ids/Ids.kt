package ragwortbarrow.core.ids

import kotlinx.serialization.Serializable

/** Identifies a VM instance. A replacement VM gets a new id, and ids are never reused. */
@JvmInline
@Serializable
value class VmId(val value: String) {
    override fun toString(): String = value
}

/** Identifies a failure domain, such as a site or a zone. */
@JvmInline
@Serializable
value class FailureDomainId(val value: String) {
    override fun toString(): String = value
}

/** Identifies a customer. Rate limits, keys and fair sharing apply per customer. */
@JvmInline
@Serializable
value class CustomerId(val value: String) {
    override fun toString(): String = value
}

/** Identifies a backend server, which is a model server or a plain service. */
@JvmInline
@Serializable
value class BackendServerId(val value: String) {
    override fun toString(): String = value
}

/** Identifies an API key without revealing it. */
@JvmInline
@Serializable
value class KeyId(val value: String) {
    override fun toString(): String = value
}

/** Identifies a request; backend servers echo it in their responses. */
@JvmInline
@Serializable
value class RequestId(val value: String) {
    override fun toString(): String = value
}
