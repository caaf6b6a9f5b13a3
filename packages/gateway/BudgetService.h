/// \file
/// \brief Holds workspaces to their fleet-wide budgets.
#pragma once

#include "base/Ids.h"
#include "base/RankedMutex.h"
#include "base/Time.h"
#include "requests/BudgetClient.h"
#include "requests/BudgetOwner.h"
#include "state/Workspace.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace lycheereach {

class ControlService;

/// Told whether a request is within the budget, and otherwise when to try again.
using AdmissionCallback = std::function<void(bool admitted, Duration retryAfter)>;

/// Asks the owner of a workspace's bucket, one entry for each, with the numbers in each take; owns
/// the buckets that fall to this entry. Thread-safe; guarded by one lock of rank
/// LockRank::Requests.
class BudgetService
{
public:
    using Send = std::function<void(const EntryId &, const std::string &method, Json params)>;

    BudgetService(EntryId self, ControlService &control, Send send, MonotonicClock now);

    /// Admits or refuses one request; \a done may be called before this returns.
    auto admit(const Workspace &workspace, AdmissionCallback done) -> void;
    /// Takes a message of a peer; true when it was one for this service.
    auto receive(const EntryId &from, const std::string &method, const Json &params) -> bool;
    /// Gives up owners that do not answer and forgets idle buckets.
    auto tick() -> void;

private:
    struct Asking
    {
        WorkspaceName workspace_;
        AdmissionCallback done_;
        MonotonicTime giveUpAt_;
    };

    auto ask(const Workspace &workspace, AdmissionCallback done) -> void;
    auto granted(std::uint64_t number, const std::optional<BudgetGrant> &grant) -> void;
    auto gateOf(const Workspace &workspace, std::uint32_t entries) -> BudgetClient &;

    EntryId self_;
    ControlService &control_;
    Send send_;
    MonotonicClock now_;
    RankedMutex mutex_;
    std::map<WorkspaceName, BudgetClient> gates_;
    BudgetOwner owner_;
    std::map<std::uint64_t, Asking> asking_;
    std::uint64_t lastNumber_ = 0;
};

} // namespace lycheereach
