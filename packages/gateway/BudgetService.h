/// \file
/// \brief Rate limits of workspaces over all entries.
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

/// Receives whether a request is within the budget, and otherwise when to retry.
using AdmissionCallback = std::function<void(bool admitted, Duration retryAfter)>;

/// Limits the request rate of each workspace over all entries. The token bucket of a workspace is
/// held by one entry, its owner, which the others ask; each take carries the rate and burst of the
/// workspace. This entry owns the buckets that hash to it. Thread-safe; guarded by one lock of rank
/// LockRank::Requests.
class BudgetService
{
public:
    using Send = std::function<void(const EntryId &, const std::string &method, Json params)>;

    BudgetService(EntryId self, ControlService &control, Send send, MonotonicClock clock);

    /// Admits or refuses one request; \a done may be called before this returns.
    auto admit(const Workspace &workspace, AdmissionCallback done) -> void;
    /// Handles a message of a peer; false when \a method belongs to another service.
    auto receive(const EntryId &from, const std::string &method, const Json &params) -> bool;
    /// Admits or refuses the requests for which the owner of the bucket did not answer in time, by
    /// the local share of the budget, and discards idle buckets. Call it regularly.
    auto tick() -> void;

private:
    /// A request that waits for the answer of its budget's owner.
    struct PendingTake
    {
        WorkspaceName workspace_;
        AdmissionCallback done_;
        MonotonicTime timeoutAt_;
    };

    auto askOwner(const Workspace &workspace, AdmissionCallback done) -> void;
    /// Completes a take; without \a grant the owner could not be reached.
    auto finishTake(std::uint64_t number, const std::optional<BudgetGrant> &grant) -> void;
    /// The client of \a workspace with its current rate; \a entryCount is the number of live
    /// entries.
    auto updatedClient(const Workspace &workspace, std::uint32_t entryCount) -> BudgetClient &;

    EntryId self_;
    ControlService &control_;
    Send send_;
    MonotonicClock clock_;
    RankedMutex mutex_;
    std::map<WorkspaceName, BudgetClient> budgetClients_;
    BudgetOwner owner_;
    /// By message number.
    std::map<std::uint64_t, PendingTake> pendingTakes_;
    std::uint64_t lastTakeNumber_ = 0;
};

} // namespace lycheereach
