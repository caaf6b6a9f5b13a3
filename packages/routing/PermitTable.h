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
/// are *unaccounted*: they count until a later report of the upstream shows that fewer run.
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

    /// Asks for the right of \a entry to start \a request at \a group.
    auto take(const GroupId &group, const EntryId &entry, const RequestId &request,
              MonotonicTime now) -> std::variant<Permit, PermitRefusal>;

    /// The taker has begun to send; false when the permit is void. A taker that hears false need
    /// not stop: the request counts as unaccounted from then on.
    auto started(const GroupId &group, std::uint64_t leaseNumber, std::uint64_t number,
                 MonotonicTime now) -> bool;

    /// The request of a permit ended. \a latency is the time to the first byte of the answer.
    auto finished(const GroupId &group, std::uint64_t leaseNumber, std::uint64_t number,
                  PermitOutcome outcome, Duration latency) -> void;

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
        RequestId request_;
        Epoch epoch_ = 0;
        MonotonicTime grantedAt_;
        std::optional<MonotonicTime> startedAt_;
        bool recalled_ = false;
    };
    struct Member
    {
        Incarnation incarnation_ = 0;
        bool cold_ = true;
        std::optional<std::uint32_t> carries_;
        std::uint32_t active_ = 0;
    };
    struct Held
    {
        Group group_;
        Policy policy_;
        bool serving_ = false;
        bool draining_ = false;
        std::map<UpstreamId, Member> members_;
        std::map<std::uint64_t, Use> uses_;
        std::uint64_t lastNumber_ = 0;
        /// Requests that may run though no use stands for them; reports bring it down.
        std::uint32_t unaccounted_ = 0;
        /// Reports before this time don't bring unaccounted_ down.
        MonotonicTime settledAt_;
        /// Whether an earlier leaseholder's requests have not been counted yet.
        bool takingOver_ = false;
        LimitRamp ramp_;
    };

    auto adopt(const FleetState &state, const Group &group, MonotonicTime now) -> void;
    auto renew(Held &held, const Group &group, MonotonicTime now) -> void;
    auto abandon(Held &held, std::map<std::uint64_t, Use>::iterator use, MonotonicTime now)
        -> std::map<std::uint64_t, Use>::iterator;
    auto recall(Held &held) -> void;
    auto settle(Held &held, std::uint32_t active, MonotonicTime now) -> void;
    auto limit(const Held &held) const -> std::uint32_t;
    auto inUse(const Held &held) const -> std::uint32_t;
    auto isCold(const Held &held) const -> bool;
    auto slowness(const Held &held) const -> double;
    auto refusal(const Held &held) const -> std::optional<PermitRefusal>;

    EntryId self_;
    std::map<GroupId, Held> held_;
    std::map<UpstreamId, GroupId> groupOf_;
    std::vector<PermitRecall> recalled_;
};

} // namespace lycheereach
