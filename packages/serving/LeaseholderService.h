/// \file
/// \brief Handles announcements and grants the permits of the groups held here.
#pragma once

#include "base/RankedMutex.h"
#include "groups/GroupHealthMonitor.h"
#include "routing/PermitTable.h"
#include "serving/LeaseholderHooks.h"
#include "serving/PauseDetector.h"
#include "serving/PermitAnswer.h"
#include "serving/PermitNote.h"
#include "serving/PermitTake.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

class ControlService;
struct LoadReport;

/// The answer to an announcement: where and how often the upstream announces itself next.
struct AnnouncementAnswer
{
    /// Whether the announcement was newer than the ones before.
    bool accepted_ = true;
    /// Addresses of entries, best first.
    std::vector<std::string> announceTo_;
    /// Time between two announcements, in milliseconds.
    std::uint32_t everyMs_ = 0;

    auto operator==(const AnnouncementAnswer &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("accepted", &AnnouncementAnswer::accepted_),
                          field("announceTo", &AnnouncementAnswer::announceTo_),
                          field("everyMs", &AnnouncementAnswer::everyMs_)};
    }
};

/// Handles announcements of upstreams, and grants the permits of the groups whose lease this entry
/// holds while it also holds a state lease. Thread-safe; guarded by one lock of rank
/// LockRank::Leaseholder.
class LeaseholderService : public std::enable_shared_from_this<LeaseholderService>
{
public:
    LeaseholderService(EntryId self, ControlService &control, LeaseholderHooks hooks);

    /// Follows a change of the replicated state.
    auto stateChanged() -> void;
    /// Proposes the loss of silent upstreams and the next phases of groups, drops expired permits
    /// and reports loads. After a pause of this process upstreams, phases and permits wait until
    /// the messages that arrived meanwhile are processed.
    auto tick() -> void;
    /// Handles an announcement; false when it is not newer than the ones before.
    auto handleAnnouncement(const Announcement &announcement) -> bool;
    /// As handleAnnouncement(), and returns the answer for the upstream.
    auto answerAnnouncement(const Announcement &announcement) -> AnnouncementAnswer;
    /// Handles a message of a peer; false when it is not one for this service.
    auto receive(const EntryId &from, const std::string &method, const Json &params) -> bool;
    /// Grants or refuses a permit to \a entry.
    auto grantPermit(const EntryId &entry, const PermitTake &request) -> PermitAnswer;
    /// Records that the request of a permit was started or has ended.
    auto handlePermitNote(const PermitNote &note) -> void;
    /// Whether no lease of a group is held here, and so no permit of this entry is in use.
    [[nodiscard]] auto holdsNoGroupLease() const -> bool;

private:
    [[nodiscard]] auto differsFromState(const Announcement &announcement) const -> bool;
    /// Proposes \a announcement, or keeps only the latest one while an earlier proposal of the
    /// upstream is pending: without a leader a backlog would grow with every announcement.
    auto proposeAnnouncement(const Announcement &announcement) -> void;
    auto announcementProposalEnded(const Announcement &proposed) -> void;
    /// Proposes \a command unless the same is already pending.
    auto proposeUnlessPending(const Command &command) -> void;
    auto proposalEnded(const std::string &key) -> void;
    auto updateServing(const FleetState &state, bool hasStateLease, MonotonicTime now) -> void;
    /// Removes from \a commands the loss of every upstream that is known to serve nevertheless.
    auto dropLossesOfServing(const std::vector<UpstreamId> &silentUpstreams,
                             std::vector<Command> &commands) const -> void;
    auto reportLoads(MonotonicTime now) -> void;
    auto answerFor(const Announcement &announcement) const -> AnnouncementAnswer;

    EntryId self_;
    ControlService &control_;
    LeaseholderHooks hooks_;
    mutable RankedMutex mutex_;
    PauseDetector pauseDetector_;
    GroupHealthMonitor groupHealth_;
    PermitTable permits_;
    std::set<GroupId> heldGroups_;
    /// The latest changed announcement of each upstream whose proposal is pending.
    std::map<UpstreamId, Announcement> pendingAnnouncements_;
    /// Other pending proposals, encoded.
    std::set<std::string> pendingProposals_;
    std::vector<GroupLoad> reportedLoads_;
    MonotonicTime loadsReportedAt_;
};

} // namespace lycheereach
