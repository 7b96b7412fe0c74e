package ragwortbarrow.peer

import io.grpc.netty.GrpcSslContexts
import io.netty.handler.ssl.ClientAuth
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import java.nio.file.Path

/**
 * Mutual TLS between nodes: the PEM files of this node's certificate chain and PKCS#8 key, and of the authorities that
 * sign the other nodes' certificates.
 */
data class PeerTls(val certificate: Path, val key: Path, val trust: Path) {
    internal fun serverContext(): SslContext = GrpcSslContexts
        .configure(SslContextBuilder.forServer(certificate.toFile(), key.toFile()))
        .trustManager(trust.toFile())
        .clientAuth(ClientAuth.REQUIRE)
        .build()

    internal fun clientContext(): SslContext = GrpcSslContexts.forClient()
        .keyManager(certificate.toFile(), key.toFile())
        .trustManager(trust.toFile())
        .build()
}
