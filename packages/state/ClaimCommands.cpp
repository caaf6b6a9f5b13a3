#include "state/CommandHandlers.h"

#include <algorithm>
#include <iterator>

namespace lycheereach {

namespace {

auto withClaim(const Claim &claim, bool mayDispatch, std::string message) -> CommandOutcome
{
    return CommandOutcome{.accepted_ = mayDispatch,
                          .message_ = std::move(message),
                          .claim_ = claim,
                          .mayDispatch_ = mayDispatch};
}

auto newClaim(const ClaimRequest &command) -> Claim
{
    return Claim{.key_ = command.key_,
                 .digest_ = command.digest_,
                 .holder_ = command.holder_,
                 .holderIncarnation_ = command.holderIncarnation_,
                 .request_ = command.request_,
                 .claimedAtMs_ = command.atMs_};
}

/// Whether the holder's incarnation is still the one that the state knows as live.
auto holderIsCurrent(const FleetState &state, const ClaimRequest &command) -> bool
{
    const auto found = state.entries_.find(command.holder_);
    return found != state.entries_.end() && found->second.incarnation_ == command.holderIncarnation_
        && found->second.phase_ != EntryPhase::Lost;
}

auto mayMove(ClaimPhase from, ClaimPhase to) -> bool
{
    if (from == ClaimPhase::Claimed)
        return true;
    return from == ClaimPhase::Unknown && to == ClaimPhase::Completed;
}

} // namespace

auto abandonClaims(CommandContext &context, const EntryId &holder, Incarnation before) -> void
{
    for (auto &[key, claim] : context.state_.claims_) {
        if (claim.holder_ != holder || claim.holderIncarnation_ >= before
            || claim.phase_ != ClaimPhase::Claimed)
            continue;
        claim.phase_ = ClaimPhase::Unknown;
        context.sink_(Event{EventNumber::OutcomeUnknown, {{"request", claim.request_.text()}}});
    }
}

auto handle(CommandContext &context, const ClaimRequest &command) -> CommandOutcome
{
    auto &claims = context.state_.claims_;
    const auto found = claims.find(command.key_);
    if (found != claims.end() && found->second.phase_ != ClaimPhase::Released) {
        const auto &claim = found->second;
        if (claim.digest_ != command.digest_)
            return withClaim(claim, false, "the key was used for another request");
        const auto own = claim.request_ == command.request_ && claim.holder_ == command.holder_
            && claim.holderIncarnation_ == command.holderIncarnation_
            && claim.phase_ == ClaimPhase::Claimed;
        return withClaim(claim, own, own ? "" : "the key is claimed");
    }
    if (!holderIsCurrent(context.state_, command))
        return refused("entry '" + command.holder_.text() + "' is not live in this incarnation");
    const auto claim = newClaim(command);
    claims[command.key_] = claim;
    context.sink_(Event{EventNumber::ClaimCommitted, {{"request", command.request_.text()}}});
    return withClaim(claim, true, "");
}

auto handle(CommandContext &context, const SettleClaim &command) -> CommandOutcome
{
    auto &claims = context.state_.claims_;
    const auto found = claims.find(command.key_);
    if (found == claims.end() || found->second.request_ != command.request_)
        return refused("the claim is held by another request");
    auto &claim = found->second;
    if (!mayMove(claim.phase_, command.phase_))
        return withClaim(claim, false, "the claim is settled");
    claim.phase_ = command.phase_;
    claim.answer_ = command.answer_;
    context.sink_(Event{EventNumber::OutcomeStored, {{"request", command.request_.text()}}});
    auto outcome = withClaim(claim, false, "");
    outcome.accepted_ = true;
    return outcome;
}

auto expiryOf(const FleetState &state, WallTime now) -> std::optional<ExpireClaims>
{
    const auto retention = std::chrono::hours(state.declaration_.claimRetentionHours_);
    const auto limit = (now - retention).time_since_epoch();
    const auto limitMs = std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
    const auto isOld = [&](const auto &item) {
        return item.second.phase_ != ClaimPhase::Claimed && item.second.claimedAtMs_ < limitMs;
    };
    if (std::none_of(state.claims_.begin(), state.claims_.end(), isOld))
        return std::nullopt;
    return ExpireClaims{limitMs};
}

auto handle(CommandContext &context, const ExpireClaims &command) -> CommandOutcome
{
    const auto isOld = [&](const auto &item) {
        return item.second.phase_ != ClaimPhase::Claimed
            && item.second.claimedAtMs_ < command.olderThanMs_;
    };
    std::erase_if(context.state_.claims_, isOld);
    return accepted();
}

auto handle(CommandContext &context, const BlockRequest &command) -> CommandOutcome
{
    auto &blocked = context.state_.blocked_;
    blocked[command.fingerprint_] = command.atMs_;
    if (blocked.size() > BlockRequest::maxBlocked) {
        const auto isOlder
            = [](const auto &left, const auto &right) { return left.second < right.second; };
        blocked.erase(std::min_element(blocked.begin(), blocked.end(), isOlder));
    }
    context.sink_(Event{EventNumber::RequestBlocked, {{"reason", command.fingerprint_}}});
    return accepted();
}

auto handle(CommandContext &context, const UnblockRequest &command) -> CommandOutcome
{
    if (context.state_.blocked_.erase(command.fingerprint_) == 0)
        return refused("the fingerprint is not blocked");
    context.sink_(Event{EventNumber::RequestUnblocked, {{"reason", command.fingerprint_}}});
    return accepted();
}

} // namespace lycheereach
