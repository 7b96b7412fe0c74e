package ragwortbarrow.peer

import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.peer.AcquireItem
import ragwortbarrow.core.peer.AcquireReply
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.ConsentReply
import ragwortbarrow.core.peer.ConsentRequest
import ragwortbarrow.core.peer.GrantReturn
import ragwortbarrow.core.peer.PromiseReply
import ragwortbarrow.core.peer.PromiseRequest
import ragwortbarrow.core.peer.ReturnRequest
import ragwortbarrow.core.peer.TokenGrant
import ragwortbarrow.peer.v1.Acquisition
import ragwortbarrow.peer.v1.AcquisitionItem
import ragwortbarrow.peer.v1.AcquisitionReply
import ragwortbarrow.peer.v1.GiveBackItem
import ragwortbarrow.peer.v1.GiveBackRequest
import ragwortbarrow.peer.v1.Granted
import ragwortbarrow.peer.v1.LeasePromise
import ragwortbarrow.peer.v1.LeasePromiseReply
import ragwortbarrow.peer.v1.NotOwner
import ragwortbarrow.peer.v1.TakeoverConsent
import ragwortbarrow.peer.v1.TakeoverConsentReply
import ragwortbarrow.peer.v1.Tokens

// Rates and shard leases between the core's types and the wire messages.

internal fun AcquireRequest.toWire(): Acquisition = Acquisition.newBuilder()
    .setAsker(requester.value)
    .setShard(shard.toWire())
    .addAllItems(
        items.map { AcquisitionItem.newBuilder().setCustomer(it.customer.value).setTokens(it.tokens).build() },
    )
    .addAllSpentGrantIds(spentGrantIds)
    .setLend(isLoan)
    .build()

internal fun Acquisition.toCore(): AcquireRequest = AcquireRequest(
    requester = VmId(asker),
    shard = shard.toCore(),
    items = itemsList.map { AcquireItem(CustomerId(it.customer), it.tokens) },
    spentGrantIds = spentGrantIdsList,
    isLoan = lend,
)

internal fun AcquireReply.toWire(): AcquisitionReply = when (this) {
    is AcquireReply.Granted -> AcquisitionReply.newBuilder()
        .setGranted(Granted.newBuilder().setFencingNumber(fencingNumber).addAllGrants(grants.map { it.toWire() }))
        .build()

    is AcquireReply.NotOwner -> {
        val notOwner = NotOwner.newBuilder()
        ownerHint?.let { notOwner.setOwnerHint(it.value) }
        AcquisitionReply.newBuilder().setNotOwner(notOwner).build()
    }
}

internal fun AcquisitionReply.toCore(): AcquireReply = when {
    hasGranted() -> AcquireReply.Granted(granted.fencingNumber, granted.grantsList.map { it.toCore() })
    else -> AcquireReply.NotOwner(if (notOwner.hasOwnerHint()) VmId(notOwner.ownerHint) else null)
}

private fun TokenGrant.toWire(): Tokens = Tokens.newBuilder()
    .setGrantId(grantId)
    .setCustomer(customer.value)
    .setTokens(tokens)
    .setValidityMillis(validityMillis)
    .setRetryAfterMillis(retryAfterMillis)
    .setLevelTokens(levelTokens)
    .build()

private fun Tokens.toCore(): TokenGrant = TokenGrant(
    grantId = grantId,
    customer = CustomerId(customer),
    tokens = tokens,
    validityMillis = validityMillis,
    retryAfterMillis = retryAfterMillis,
    levelTokens = levelTokens,
)

internal fun ReturnRequest.toWire(): GiveBackRequest = GiveBackRequest.newBuilder()
    .setAsker(requester.value)
    .setShard(shard.toWire())
    .setFencingNumber(fencingNumber)
    .addAllReturns(
        returns.map { GiveBackItem.newBuilder().setGrantId(it.grantId).setUnspentTokens(it.unspentTokens).build() },
    )
    .build()

internal fun GiveBackRequest.toCore(): ReturnRequest = ReturnRequest(
    requester = VmId(asker),
    shard = shard.toCore(),
    fencingNumber = fencingNumber,
    returns = returnsList.map { GrantReturn(it.grantId, it.unspentTokens) },
)

internal fun PromiseRequest.toWire(): LeasePromise = LeasePromise.newBuilder()
    .setShard(shard.toWire())
    .setFencingNumber(fencingNumber)
    .setOwner(owner.value)
    .setOwnerIncarnation(ownerIncarnation)
    .setTermMillis(termMillis)
    .setStandbyIncarnation(standbyIncarnation)
    .build()

internal fun LeasePromise.toCore(): PromiseRequest = PromiseRequest(
    shard = shard.toCore(),
    fencingNumber = fencingNumber,
    owner = VmId(owner),
    ownerIncarnation = ownerIncarnation,
    termMillis = termMillis,
    standbyIncarnation = standbyIncarnation,
)

internal fun PromiseReply.toWire(): LeasePromiseReply =
    LeasePromiseReply.newBuilder().setPromised(promised).setReason(reason).build()

internal fun LeasePromiseReply.toCore(): PromiseReply = PromiseReply(promised, reason)

internal fun ConsentRequest.toWire(): TakeoverConsent = TakeoverConsent.newBuilder()
    .setShard(shard.toWire())
    .setFencingNumber(fencingNumber)
    .setClaimant(claimant.value)
    .build()

internal fun TakeoverConsent.toCore(): ConsentRequest = ConsentRequest(shard.toCore(), fencingNumber, VmId(claimant))

internal fun ConsentReply.toWire(): TakeoverConsentReply = TakeoverConsentReply.newBuilder()
    .setConsented(consented)
    .setRetryAfterMillis(retryAfterMillis)
    .setReason(reason)
    .build()

internal fun TakeoverConsentReply.toCore(): ConsentReply = ConsentReply(consented, retryAfterMillis, reason)
