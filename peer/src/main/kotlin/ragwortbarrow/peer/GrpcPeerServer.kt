package ragwortbarrow.peer

import io.grpc.BindableService
import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import io.netty.channel.EventLoopGroup
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import kotlinx.coroutines.Dispatchers
import ragwortbarrow.core.peer.PeerService
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Serves [service] to the other nodes at [host] and [port]; with [tls] only to nodes with a trusted certificate. */
class GrpcPeerServer(
    host: String,
    port: Int,
    service: BindableService,
    tls: PeerTls? = null,
    private val group: EventLoopGroup = NioEventLoopGroup(2),
) {
    constructor(host: String, port: Int, service: PeerService, tls: PeerTls? = null) :
        this(host, port, PeerEndpoint(service, Dispatchers.Default), tls)

    private val server: Server = NettyServerBuilder.forAddress(InetSocketAddress(host, port))
        .channelType(NioServerSocketChannel::class.java)
        .bossEventLoopGroup(group)
        .workerEventLoopGroup(group)
        .directExecutor()
        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
        .permitKeepAliveTime(KEEP_ALIVE_SECONDS / 2, TimeUnit.SECONDS)
        .apply { tls?.let { sslContext(it.serverContext()) } }
        .addService(service)
        .build()

    /** The bound port, once started. */
    val port: Int get() = server.port

    /** Binds the address; throws an `IOException` that names the cause if it is taken. */
    fun start() {
        server.start()
    }

    /** Refuses new calls, waits for running ones up to [limitMillis] and closes the connections. */
    fun stop(limitMillis: Long = 500) {
        server.shutdown()
        if (!server.awaitTermination(limitMillis, TimeUnit.MILLISECONDS)) server.shutdownNow()
        group.shutdownGracefully(0, limitMillis, TimeUnit.MILLISECONDS)
    }
}

/** Parts of a configuration are below one megabyte each; a fetch asks for several of them. */
internal const val MAX_MESSAGE_BYTES = 64 * 1024 * 1024

/** A connection through a partition that drops packets is found dead after this time, instead of TCP's minutes. */
internal const val KEEP_ALIVE_SECONDS = 10L
