package ragwortbarrow.peer

import io.grpc.netty.GrpcSslContexts
import io.netty.handler.ssl.ClientAuth
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import java.nio.file.Path

/**
 * Mutual TLS between nodes: PEM files with this node's certificate chain, its PKCS#8 key, and the certificate
 * authorities that sign the other nodes' certificates.
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
