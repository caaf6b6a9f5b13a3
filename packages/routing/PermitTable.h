/// \file
/// \brief Grants the right to start requests at the groups whose lease an entry holds.
#pragma once

#include "base/Time.h"
#include "routing/LimitRamp.h"
#include "routing/Permit.h"
#include "routing/PermitOutcome.h"
#include "routing/PermitRecall.h"
#include "routing/PermitRefusal.h"
#include "routing/TargetLoad.h"
#include "state/FleetState.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace lycheereach {

/// The permits of the groups whose lease this entry holds.
///
/// A group never has more permits in use than its limit. A permit counts from its grant until the
/// taker says how it ended; one that was not started counts until its time to live and a delivery
/// margin have passed. Permits of a lost entry, of an earlier leaseholder or with an unknown end
/// are *unaccounted*: they count until a later report of the upstream shows that fewer run. So do
/// those whose taker never says how they ended.
/// The first member says whether the group is cold, since it alone runs requests; any member that
/// restarts or turns cold makes the limit start again.
/// Not thread-safe.
class PermitTable
{
public:
    explicit PermitTable(EntryId self);

    /// Takes in the replicated state: groups held, epochs, zones out, draining upstreams, policies
    /// and lost entries. Call it after every change.
    auto update(const FleetState &state, MonotonicTime now) -> void;

    /// Whether all members of \a group agree and live; GroupWatch::mayServe() says so.
    auto setServing(const GroupId &group, bool serving) -> void;

    /// Asks for the right of \a entry to make \a attempt at \a group. A repeated message gets the
    /// same permit with its time to live anew; a taker that asks anew, also for the same request,
    /// uses another attempt, or the end of the first one would free the permit of the second.
    auto take(const GroupId &group, const EntryId &entry, const AttemptId &attempt,
              MonotonicTime now) -> std::variant<Permit, PermitRefusal>;

    /// The taker has begun to send; false when the permit is void. A taker that hears false need
    /// not stop: the request counts as unaccounted from then on.
    auto started(const GroupId &group, std::uint64_t leaseNumber, std::uint64_t number,
                 MonotonicTime now) -> bool;

    /// The request of a permit ended. \a latency is the time to the first byte of the answer.
    auto finished(const GroupId &group, std::uint64_t leaseNumber, std::uint64_t number,
                  PermitOutcome outcome, Duration latency, MonotonicTime now) -> void;

    /// Takes in an announcement that GroupWatch found to be new.
    auto report(const Announcement &announcement, MonotonicTime now) -> void;

    /// Gives up permits not started in time; call it periodically.
    auto tick(MonotonicTime now) -> void;

    /// Permits that their takers should return unstarted; each is told once.
    auto recalled() -> std::vector<PermitRecall>;

    /// The load of every held group.
    [[nodiscard]] auto loads() const -> std::vector<TargetLoad>;

    /// Whether nothing is in use at \a group; GroupWatch::tick() asks.
    [[nodiscard]] auto isIdle(const GroupId &group) const -> bool;

private:
    struct Use
    {
        EntryId entry_;
        /// Of the entry.
        Incarnation incarnation_ = 0;
        AttemptId attempt_;
        Epoch epoch_ = 0;
        MonotonicTime grantedAt_;
        std::optional<MonotonicTime> startedAt_;
        bool isRecalled_ = false;
    };
    struct Member
    {
        Incarnation incarnation_ = 0;
        bool cold_ = true;
        std::optional<std::uint32_t> carries_;
    };
    struct Held
    {
        Group group_;
        Policy policy_;
        bool isServing_ = false;
        bool isDraining_ = false;
        std::map<UpstreamId, Member> members_;
        std::map<std::uint64_t, Use> uses_;
        std::uint64_t lastNumber_ = 0;
        /// Requests that may run though no use stands for them; reports bring it down.
        std::uint32_t unaccounted_ = 0;
        /// Reports before this time don't bring unaccounted_ down.
        MonotonicTime settledAt_;
        /// Uses that ended by the reports though no taker said so: how many, and since when.
        std::uint32_t unheardEnds_ = 0;
        std::optional<MonotonicTime> unheardSince_;
        /// Whether the requests of the last leaseholder have not been counted yet.
        bool isTakingOver_ = false;
        LimitRamp ramp_;
    };
    using Uses = std::map<std::uint64_t, Use>;

    auto adopt(const FleetState &state, const Group &group, MonotonicTime now) -> void;
    auto refresh(const FleetState &state, Held &held, const Group &group, MonotonicTime now)
        -> void;
    auto dropLostEntries(const FleetState &state, Held &held, MonotonicTime now) -> void;
    auto recallUnstarted(Held &held) -> void;
    auto refusal(const Held &held, MonotonicTime now) const -> std::optional<PermitRefusal>;
    auto limit(const Held &held) const -> std::uint32_t;
    auto slowness(const Held &held) const -> double;
    auto find(const GroupId &group, std::uint64_t leaseNumber) -> Held *;
    auto permitOf(const Held &held, std::uint64_t number) const -> Permit;
    static auto inUse(const Held &held) -> std::uint32_t;
    static auto isCold(const Held &held) -> bool;
    static auto carries(const Held &held) -> std::optional<std::uint32_t>;
    static auto restartRamp(Held &held) -> void;
    static auto addUnaccounted(Held &held, MonotonicTime now) -> void;
    static auto startedBefore(const Held &held, MonotonicTime time) -> std::uint32_t;
    static auto dropEnded(Held &held, std::uint32_t ended, MonotonicTime now) -> void;
    static auto settle(Held &held, std::uint32_t active, MonotonicTime now) -> void;

    EntryId self_;
    std::map<GroupId, Held> held_;
    std::map<UpstreamId, GroupId> groupOf_;
    std::map<EntryId, Incarnation> entries_;
    std::vector<PermitRecall> recalled_;
};

} // namespace lycheereach
