package ragwortbarrow.peer

import ragwortbarrow.core.config.ConfigurationHead
import ragwortbarrow.core.config.ConfigurationPart
import ragwortbarrow.core.config.ConfigurationPartRef
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.KeyId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.keys.KeyGrant
import ragwortbarrow.core.peer.GossipMessage
import ragwortbarrow.core.peer.KeyUpdate
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.OnlineLoadReport
import ragwortbarrow.core.peer.ShardOwner
import ragwortbarrow.peer.v1.Gossip
import ragwortbarrow.peer.v1.Grant
import ragwortbarrow.peer.v1.Head
import ragwortbarrow.peer.v1.Keys
import ragwortbarrow.peer.v1.Member
import ragwortbarrow.peer.v1.OnlineLoad
import ragwortbarrow.peer.v1.Owner
import ragwortbarrow.peer.v1.Part
import ragwortbarrow.peer.v1.PartRef
import ragwortbarrow.peer.v1.Shard

// Converts membership, configuration, key and load messages between core types and their protobuf form.

fun GossipMessage.toWire(): Gossip = Gossip.newBuilder()
    .addAllMembers(members.map { it.toWire() })
    .addAllShardOwners(shardOwners.map { it.toWire() })
    .setConfigurationVersion(configurationVersion)
    .setKeysDigest(keysDigest)
    .setPlatformAgeMillis(platformAgeMillis)
    .putAllDomainAgesMillis(domainAgesMillis.mapKeys { it.key.value })
    .build()

fun Gossip.toCore(): GossipMessage = GossipMessage(
    members = membersList.map { it.toCore() },
    shardOwners = shardOwnersList.map { it.toCore() },
    configurationVersion = configurationVersion,
    keysDigest = keysDigest,
    platformAgeMillis = platformAgeMillis,
    domainAgesMillis = domainAgesMillisMap.mapKeys { FailureDomainId(it.key) },
)

internal fun MemberInfo.toWire(): Member = Member.newBuilder()
    .setVm(vm.value)
    .setIncarnation(incarnation)
    .setHeartbeat(heartbeat)
    .setFailureDomain(failureDomain.value)
    .setPeerAddress(peerAddress)
    .setHttpAddress(httpAddress)
    .setLeaving(leaving)
    .setConfigurationVersion(configurationVersion)
    .build()

internal fun Member.toCore(): MemberInfo = MemberInfo(
    vm = VmId(vm),
    incarnation = incarnation,
    heartbeat = heartbeat,
    failureDomain = FailureDomainId(failureDomain),
    peerAddress = peerAddress,
    httpAddress = httpAddress,
    leaving = leaving,
    configurationVersion = configurationVersion,
)

internal fun LimitShardId.toWire(): Shard =
    Shard.newBuilder().setFailureDomain(failureDomain.value).setIndex(index).build()

internal fun Shard.toCore(): LimitShardId = LimitShardId(FailureDomainId(failureDomain), index)

private fun ShardOwner.toWire(): Owner =
    Owner.newBuilder().setShard(shard.toWire()).setOwner(owner.value).setFencingNumber(fencingNumber).build()

private fun Owner.toCore(): ShardOwner = ShardOwner(shard.toCore(), VmId(owner), fencingNumber)

internal fun ConfigurationHead.toWire(): Head = Head.newBuilder()
    .setVersion(version)
    .addAllParts(parts.map { PartRef.newBuilder().setName(it.name).setSha256(it.sha256).build() })
    .setWriter(writer)
    .build()

internal fun Head.toCore(): ConfigurationHead =
    ConfigurationHead(version, partsList.map { ConfigurationPartRef(it.name, it.sha256) }, writer)

internal fun ConfigurationPart.toWire(): Part = Part.newBuilder().setSha256(sha256).setJson(json).build()

internal fun Part.toCore(): ConfigurationPart = ConfigurationPart(sha256, json)

internal fun KeyUpdate.toWire(): Keys = Keys.newBuilder()
    .addAllGrants(grants.map { it.toWire() })
    .addAllTombstones(tombstones.map { it.value })
    .setWantAll(wantAll)
    .build()

internal fun Keys.toCore(): KeyUpdate =
    KeyUpdate(grantsList.map { it.toCore() }, tombstonesList.map { KeyId(it) }, wantAll)

private fun KeyGrant.toWire(): Grant =
    Grant.newBuilder().setId(id.value).setCustomer(customer.value).setSha256(sha256).build()

private fun Grant.toCore(): KeyGrant = KeyGrant(KeyId(id), CustomerId(customer), sha256)

internal fun OnlineLoadReport.toWire(): OnlineLoad = OnlineLoad.newBuilder()
    .setReporter(reporter.value)
    .setIncarnation(incarnation)
    .setSequence(sequence)
    .putAllInFlight(inFlight.mapKeys { it.key.value })
    .build()

internal fun OnlineLoad.toCore(): OnlineLoadReport =
    OnlineLoadReport(VmId(reporter), incarnation, sequence, inFlightMap.mapKeys { BackendServerId(it.key) })
