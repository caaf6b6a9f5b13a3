/// \file
/// \brief Commits the outcomes of this entry's claims, with retries.
#pragma once

#include "base/Ids.h"
#include "base/RankedMutex.h"
#include "base/Result.h"
#include "base/Time.h"
#include "state/Claim.h"
#include "state/Command.h"
#include "state/CommandOutcome.h"
#include "state/SettleClaim.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace lycheereach {

/// Commits the outcomes (settlements) of this entry's claims to the replicated state. A proposal
/// may fail, and a claim whose commit timed out may still be applied after its release. Such
/// settlements are kept and proposed again while the state shows the claim as unsettled.
/// Thread-safe.
class ClaimSettler
{
public:
    /// Proposes a command and reports its outcome, as ControlService::propose() does.
    using Propose
        = std::function<void(const Command &, std::function<void(const Result<CommandOutcome> &)>)>;
    /// The claim of a key in the replicated state; nothing without one.
    using FindClaim = std::function<std::optional<Claim>(const IdempotencyKey &)>;

    ClaimSettler(Propose propose, FindClaim findClaim, MonotonicClock clock);

    /// Proposes \a command; \a done is called after the first try, whether or not it succeeded.
    auto settle(const SettleClaim &command, std::function<void()> done) -> void;
    /// Discards expired settlements, and proposes those again whose claim is unsettled. Call it
    /// regularly.
    auto tick() -> void;
    /// Number of settlements kept for a retry.
    [[nodiscard]] auto pendingCount() const -> std::size_t;

private:
    /// A settlement that is kept for a retry.
    struct PendingSettlement
    {
        SettleClaim command_;
        MonotonicTime expiresAt_;
        /// Whether a retry is being proposed.
        bool isInFlight_ = false;
    };

    /// Whether the claim may, after \a result, still be or become unsettled.
    static auto needsRetry(const SettleClaim &command, const Result<CommandOutcome> &result)
        -> bool;
    auto scheduleRetry(const SettleClaim &command) -> void;
    /// Settlements without a retry in flight; discards expired ones.
    auto settlementsToRetry() -> std::vector<SettleClaim>;
    auto proposeAgain(const SettleClaim &command) -> void;

    Propose propose_;
    FindClaim findClaim_;
    MonotonicClock clock_;
    mutable RankedMutex mutex_;
    std::map<RequestId, PendingSettlement> pendingSettlements_;
};

} // namespace lycheereach
