/// \file
/// \brief Has the outcomes of this entry's claims committed.
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

/// Has the outcomes of this entry's claims committed. A claim whose commit was given up may be
/// applied after its release was, and a settlement may fail: these are remembered and proposed
/// again as soon as the state shows the claim as open. Thread-safe.
class ClaimSettler
{
public:
    /// Has a command committed, as ControlService::propose().
    using Propose
        = std::function<void(const Command &, std::function<void(const Result<CommandOutcome> &)>)>;
    /// The claim of a key, nothing without one.
    using FindClaim = std::function<std::optional<Claim>(const IdempotencyKey &)>;

    ClaimSettler(Propose propose, FindClaim find, MonotonicClock now);

    /// Proposes \a command; \a done is called after the first try, whatever came of it.
    auto settle(const SettleClaim &command, std::function<void()> done) -> void;
    /// Proposes again what the state shows as open.
    auto tick() -> void;
    /// Settlements that are remembered.
    [[nodiscard]] auto remembered() const -> std::size_t;

private:
    struct Unsettled
    {
        SettleClaim command_;
        MonotonicTime forgetAt_;
        bool underWay_ = false;
    };

    /// Whether \a result leaves it open that the claim is or becomes claimed.
    static auto isOpen(const SettleClaim &command, const Result<CommandOutcome> &result) -> bool;
    auto remember(const SettleClaim &command) -> void;
    auto due() -> std::vector<SettleClaim>;
    auto proposeAgain(const SettleClaim &command) -> void;

    Propose propose_;
    FindClaim find_;
    MonotonicClock now_;
    mutable RankedMutex mutex_;
    std::map<RequestId, Unsettled> unsettled_;
};

} // namespace lycheereach
