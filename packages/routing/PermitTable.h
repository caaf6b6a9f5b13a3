/// \file
/// \brief Grants permits to start requests at the groups whose lease this entry holds.
#pragma once

#include "base/Time.h"
#include "routing/GroupLoad.h"
#include "routing/LimitRamp.h"
#include "routing/Permit.h"
#include "routing/PermitOutcome.h"
#include "routing/PermitRecall.h"
#include "routing/PermitRefusal.h"
#include "state/FleetState.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace lycheereach {

/// Grants and tracks the permits of the groups whose lease this entry holds.
///
/// A permit is granted only while fewer than the limit of the group are in use. It is in use from
/// its grant until the entry that took it reports the end of its request; a permit that was not
/// started, until its time to live and the delay of a notice have passed. Requests of a lost entry,
/// of an earlier leaseholder or with an unknown end are *unaccounted*: they count until a later
/// announcement of the upstream shows that fewer run. A started
/// permit whose end is never reported counts until announcements show that its request no longer
/// runs.
/// Whether the cold or the warm limit applies follows from the first member's announcements, since
/// it alone receives requests. The limit rises again from the cold one when any member restarts or
/// turns cold.
/// Not thread-safe.
class PermitTable
{
public:
    explicit PermitTable(EntryId self);

    /// Updates held groups, epochs, zones taken out, draining upstreams, policies and lost entries;
    /// call it after every change of the replicated state.
    auto update(const FleetState &state, MonotonicTime now) -> void;

    /// Sets whether \a group may get requests, according to GroupHealthMonitor::mayServe(). If not,
    /// recalls the permits that were not started.
    auto setServing(const GroupId &group, bool serving) -> void;

    /// Grants \a entry a permit for \a attempt at \a group, or refuses it. A repeated message gets
    /// the same permit with a new time to live. To ask anew, also for the same request, use
    /// another attempt; otherwise the end of the first would free the permit of the second.
    auto grantPermit(const GroupId &group, const EntryId &entry, const AttemptId &attempt,
                     MonotonicTime now) -> std::variant<Permit, PermitRefusal>;

    /// Records that the request of a permit was started. Returns false when the permit is void; the
    /// request may run on, as an unaccounted one.
    auto requestStarted(const GroupId &group, std::uint64_t leaseNumber, std::uint64_t number,
                        MonotonicTime now) -> bool;

    /// Records the end of a permit's request. \a latency is the time to the first byte of the
    /// answer.
    auto requestEnded(const GroupId &group, std::uint64_t leaseNumber, std::uint64_t number,
                      PermitOutcome outcome, Duration latency, MonotonicTime now) -> void;

    /// Handles an announcement that GroupHealthMonitor found to be new.
    auto handleAnnouncement(const Announcement &announcement, MonotonicTime now) -> void;

    /// Drops permits that were not started in time; call it periodically.
    auto dropExpiredPermits(MonotonicTime now) -> void;

    /// Returns the permits recalled since the last call.
    auto takeRecalls() -> std::vector<PermitRecall>;

    /// The load of every held group.
    [[nodiscard]] auto loads() const -> std::vector<GroupLoad>;

    /// Whether \a group is held and no permit of it is in use, for
    /// GroupHealthMonitor::planCommands().
    [[nodiscard]] auto isIdle(const GroupId &group) const -> bool;

private:
    /// A permit in use.
    struct GrantedPermit
    {
        /// The entry that took the permit, and its incarnation.
        EntryId entry_;
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
        /// Requests that the member can run at once; empty when it does not announce that.
        std::optional<std::uint32_t> capacity_;
    };
    /// A group whose lease this entry holds.
    struct HeldGroup
    {
        Group group_;
        Policy policy_;
        bool isServing_ = false;
        bool isDraining_ = false;
        std::map<UpstreamId, Member> members_;
        /// By permit number.
        std::map<std::uint64_t, GrantedPermit> permits_;
        std::uint64_t lastNumber_ = 0;
        /// Requests that may run without a permit in permits_; announcements lower it.
        std::uint32_t unaccounted_ = 0;
        /// Announcements before this time may miss requests and don't lower unaccounted_.
        MonotonicTime countsReliableFrom_;
        /// Started permits whose requests no longer run by the announcements, though their end was
        /// not reported: how many, and since when.
        std::uint32_t missingEnds_ = 0;
        std::optional<MonotonicTime> endsMissingSince_;
        /// Whether requests of the last leaseholder may run that are not yet counted.
        bool isTakingOver_ = false;
        LimitRamp ramp_;
    };
    using GrantedPermits = std::map<std::uint64_t, GrantedPermit>;

    auto addHeldGroup(const FleetState &state, const Group &group, MonotonicTime now) -> void;
    auto updateHeldGroup(const FleetState &state, HeldGroup &held, const Group &group,
                         MonotonicTime now) -> void;
    /// Replaces the permits of lost or restarted entries by unaccounted requests.
    auto dropPermitsOfLostEntries(const FleetState &state, HeldGroup &held, MonotonicTime now)
        -> void;
    /// Recalls the permits that were not started.
    auto recallUnstarted(HeldGroup &held) -> void;
    auto refusalFor(const HeldGroup &held, MonotonicTime now) const -> std::optional<PermitRefusal>;
    auto permitLimit(const HeldGroup &held) const -> std::uint32_t;
    /// The recent latency of the group divided by the median of its peers in the pool.
    auto slowdownFactor(const HeldGroup &held) const -> double;
    auto findHeldGroup(const GroupId &group, std::uint64_t leaseNumber) -> HeldGroup *;
    auto makePermit(const HeldGroup &held, std::uint64_t number) const -> Permit;
    static auto inUse(const HeldGroup &held) -> std::uint32_t;
    static auto isCold(const HeldGroup &held) -> bool;
    /// The least capacity that a member announces; empty when none does.
    static auto announcedCapacity(const HeldGroup &held) -> std::optional<std::uint32_t>;
    static auto restartRamp(HeldGroup &held) -> void;
    static auto addUnaccounted(HeldGroup &held, MonotonicTime now) -> void;
    /// Number of permits started at or before \a time.
    static auto startedBefore(const HeldGroup &held, MonotonicTime time) -> std::uint32_t;
    /// Drops \a missingEnds started permits, whose requests no longer run, once the announcements
    /// have shown that for endNoticeTimeout.
    static auto dropWithoutNotice(HeldGroup &held, std::uint32_t missingEnds, MonotonicTime now)
        -> void;
    /// Compares the started permits with \a activeRequests, the running and queued requests that
    /// the first member announces.
    static auto reconcile(HeldGroup &held, std::uint32_t activeRequests, MonotonicTime now) -> void;

    EntryId self_;
    std::map<GroupId, HeldGroup> heldGroups_;
    std::map<UpstreamId, GroupId> groupOf_;
    std::map<EntryId, Incarnation> entries_;
    std::vector<PermitRecall> recalls_;
};

} // namespace lycheereach
