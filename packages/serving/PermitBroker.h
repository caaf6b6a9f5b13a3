/// \file
/// \brief Finds a group and a permit for each request of this entry.
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

/// Told once for each request, outside of every lock: a permit, or Error::Overloaded, NotFound or
/// Cancelled, all Verdict::NotRun.
using PermitCallback = std::function<void(const Result<BrokeredPermit> &)>;

/// Queues the requests of this entry for each pool and gets permits for them from leaseholders.
/// Thread-safe; guarded by one lock of rank LockRank::Routing.
class PermitBroker
{
public:
    PermitBroker(EntryId self, ZoneName zone, ControlService &control, PermitBrokerHooks hooks);

    /// Takes in the replicated state.
    auto stateChanged() -> void;
    /// Gives up what has waited too long and starts what can start.
    auto tick() -> void;
    /// Queues a request.
    auto request(PermitRequest request, PermitCallback done) -> void;
    /// A request no longer wants its permit; its callback hears Error::Cancelled.
    auto cancel(const RequestId &request) -> void;
    /// Asks to send the request of a permit, right before its first byte, also when an attempt is
    /// resumed; the leaseholder hears of it. False when the permit was recalled, or the state no
    /// longer shows its epoch and lease: nothing may be sent then.
    auto start(const BrokeredPermit &permit) -> bool;
    /// The request of a permit has ended; \a latency is the time from its start to the first byte
    /// of its answer and \a runTime that to the end.
    auto ended(const BrokeredPermit &permit, PermitOutcome outcome, Duration latency,
               Duration runTime) -> void;
    /// Nothing answered at the address of \a group: no request goes there until it counts as
    /// silent or has a new epoch or lease.
    auto unreachable(const GroupId &group) -> void;
    /// Takes a message of a peer; true when it was one for this broker.
    auto receive(const EntryId &from, const std::string &method, const Json &params) -> bool;
    /// Takes the loads of groups.
    auto report(const LoadReport &report) -> void;
    [[nodiscard]] auto waiting() const -> std::size_t;

private:
    struct Pending
    {
        PermitRequest request_;
        PermitCallback done_;
        /// Whether the request no longer wants its permit.
        bool abandoned_ = false;
    };
    struct Take
    {
        RequestId request_;
        Choice choice_;
        MonotonicTime askedAt_;
    };
    struct PoolQueue
    {
        FairQueue queue_;
        /// Taken out of the queue but without a group; they go first.
        std::deque<RequestId> stalled_;
    };
    /// Group, lease number and number of a permit.
    using PermitKey = std::tuple<GroupId, std::uint64_t, std::uint64_t>;
    /// A permit that was granted and has not ended.
    struct Granted
    {
        Choice choice_;
        std::string suspect_;
        bool isStarted_ = false;
        bool isRecalled_ = false;
    };
    /// Something to do after the lock is released.
    using Work = std::vector<std::function<void()>>;

    static auto run(const Work &work) -> void;
    static auto notWanted() -> Failure;
    auto poolQueue(const PoolName &pool) -> PoolQueue &;
    auto pump(Work &work) -> void;
    auto pumpPool(const PoolName &pool, PoolQueue &queue, Work &work) -> void;
    auto nextWaiting(PoolQueue &queue, MonotonicTime now) -> std::optional<RequestId>;
    auto startTake(const RequestId &request, Work &work) -> bool;
    [[nodiscard]] auto choose(const PermitRequest &request) const -> std::optional<Choice>;
    /// The group where every entry sends this suspect; nothing while it is full.
    [[nodiscard]] auto chooseAlone(const PermitRequest &request) const -> std::optional<Choice>;
    auto onAnswer(const PermitAnswer &answer) -> void;
    auto onRecall(const Permit &permit) -> void;
    static auto keyOf(const Permit &permit) -> PermitKey;
    auto grant(const Take &take, const Permit &permit, Work &work) -> void;
    auto putBack(const Take &take, Work &work) -> void;
    auto endHoldOffs(MonotonicTime now) -> void;
    auto giveUpTakes(MonotonicTime now, Work &work) -> void;
    auto shed(const std::vector<ShedItem> &items, Work &work) -> void;
    auto fail(const RequestId &request, Failure failure, Work &work) -> void;
    auto sendNote(const Choice &choice, PermitNote note, Work &work) -> void;

    EntryId self_;
    ControlService &control_;
    PermitBrokerHooks hooks_;
    mutable RankedMutex mutex_;
    GroupChooser chooser_;
    PrefixIndex prefixes_;
    Policy policy_;
    std::map<PoolName, PoolQueue> pools_;
    std::map<RequestId, Pending> pending_;
    std::map<std::uint64_t, Take> takes_;
    std::map<PermitKey, Granted> granted_;
    std::uint64_t lastTake_ = 0;
    /// Groups that did not answer, and until when they are left out.
    std::map<GroupId, MonotonicTime> heldOff_;
};

} // namespace lycheereach
