/// \file
/// \brief Chooses a group and gets a permit for each request of this entry.
#pragma once

#include "base/RankedMutex.h"
#include "base/Result.h"
#include "requests/FairQueue.h"
#include "routing/GroupChooser.h"
#include "routing/PrefixIndex.h"
#include "serving/BrokeredPermit.h"
#include "serving/PermitBrokerHooks.h"
#include "serving/PermitRequest.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace lycheereach {

class ControlService;
struct LoadReport;

/// Called once for each request, without holding a lock: with a permit, or with Error::Overloaded,
/// NotFound or Cancelled, all with Verdict::NotRun.
using PermitCallback = std::function<void(const Result<BrokeredPermit> &)>;

/// Queues the requests of this entry for each pool and gets permits for them from leaseholders.
/// Thread-safe; guarded by one lock of rank LockRank::Routing.
class PermitBroker
{
public:
    PermitBroker(EntryId self, ZoneName zone, ControlService &control, PermitBrokerHooks hooks);

    /// Follows a change of the replicated state.
    auto stateChanged() -> void;
    /// Expires requests and permit.take messages that waited too long, and dispatches the others.
    auto tick() -> void;
    /// Queues a request.
    auto request(PermitRequest request, PermitCallback done) -> void;
    /// Gives up the wait of a request for its permit; its callback gets Error::Cancelled.
    auto cancel(const RequestId &request) -> void;
    /// To be called right before the first byte of a request is sent, also when an attempt is
    /// resumed; notifies the leaseholder. Returns false when the permit was recalled, or the state
    /// no longer shows its epoch and lease: nothing may be sent then.
    auto tryStart(const BrokeredPermit &permit) -> bool;
    /// Ends the permit of a request; \a latency is the time from its start to the first byte of its
    /// answer and \a runTime the time to the end of the answer.
    auto endPermit(const BrokeredPermit &permit, PermitOutcome outcome, Duration latency,
                   Duration runTime) -> void;
    /// Ejects \a group, whose address did not answer: it gets no requests until
    /// Policy::silenceTimeoutMs_ after this call, or until it has a new epoch or lease.
    auto ejectGroup(const GroupId &group) -> void;
    /// Handles a message of a peer; false when it is not one for this broker.
    auto receive(const EntryId &from, const std::string &method, const Json &params) -> bool;
    /// Updates the loads of groups.
    auto updateLoads(const LoadReport &report) -> void;
    /// Number of requests that wait for a permit.
    [[nodiscard]] auto waitingRequests() const -> std::size_t;

private:
    /// A request that waits for its permit.
    struct PendingRequest
    {
        PermitRequest request_;
        PermitCallback done_;
        /// Whether the request was cancelled while a permit.take message of it was unanswered.
        bool isCancelled_ = false;
    };
    /// A permit.take message that is not answered yet.
    struct PendingTake
    {
        RequestId request_;
        GroupChoice choice_;
        MonotonicTime askedAt_;
    };
    struct PoolQueue
    {
        FairQueue queue_;
        /// Requests taken out of the queue that got no group or permit; they go first.
        std::deque<RequestId> requeued_;
    };
    /// Identifies a permit by group, lease number and permit number.
    using PermitKey = std::tuple<GroupId, std::uint64_t, std::uint64_t>;
    /// A permit that was granted and has not ended.
    struct GrantedPermit
    {
        GroupChoice choice_;
        std::string suspectFingerprint_;
        bool isStarted_ = false;
        bool isRecalled_ = false;
    };
    /// Calls to make after the lock is released.
    using DeferredCalls = std::vector<std::function<void()>>;

    static auto runDeferred(const DeferredCalls &deferred) -> void;
    static auto cancelledFailure() -> Failure;
    auto poolQueue(const PoolName &pool) -> PoolQueue &;
    auto dispatch(DeferredCalls &deferred) -> void;
    auto dispatchPool(const PoolName &pool, PoolQueue &queue, DeferredCalls &deferred) -> void;
    /// The next request to dispatch.
    auto nextRequest(PoolQueue &queue, MonotonicTime now) -> std::optional<RequestId>;
    /// Asks for a permit for \a request; false when there is no group for it now.
    auto sendTake(const RequestId &request, DeferredCalls &deferred) -> bool;
    [[nodiscard]] auto choose(const PermitRequest &request) const -> std::optional<GroupChoice>;
    /// The group to which every entry sends this suspected request; nothing while it has no
    /// capacity.
    [[nodiscard]] auto chooseForSuspect(const PermitRequest &request) const
        -> std::optional<GroupChoice>;
    auto onAnswer(const PermitAnswer &answer) -> void;
    auto onRecall(const Permit &permit) -> void;
    static auto keyOf(const Permit &permit) -> PermitKey;
    auto deliverPermit(const PendingTake &take, const Permit &permit, DeferredCalls &deferred)
        -> void;
    /// Makes the request of a lost or refused permit.take message wait again.
    auto requeue(const PendingTake &take, DeferredCalls &deferred) -> void;
    auto endEjections(MonotonicTime now) -> void;
    auto expireTakes(MonotonicTime now, DeferredCalls &deferred) -> void;
    auto failShedRequests(const std::vector<ShedItem> &items, DeferredCalls &deferred) -> void;
    auto failRequest(const RequestId &request, Failure failure, DeferredCalls &deferred) -> void;
    auto sendNote(const GroupChoice &choice, PermitNote note, DeferredCalls &deferred) -> void;

    EntryId self_;
    ControlService &control_;
    PermitBrokerHooks hooks_;
    mutable RankedMutex mutex_;
    GroupChooser chooser_;
    PrefixIndex prefixes_;
    Policy policy_;
    std::map<PoolName, PoolQueue> poolQueues_;
    std::map<RequestId, PendingRequest> pendingRequests_;
    std::map<std::uint64_t, PendingTake> pendingTakes_;
    std::map<PermitKey, GrantedPermit> grantedPermits_;
    std::uint64_t lastTakeNumber_ = 0;
    /// Groups that did not answer, and when they may be chosen again.
    std::map<GroupId, MonotonicTime> ejectedUntil_;
};

} // namespace lycheereach
