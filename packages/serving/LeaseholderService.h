/// \file
/// \brief Hears announcements and grants the permits of the groups held here.
#pragma once

#include "base/RankedMutex.h"
#include "groups/GroupWatch.h"
#include "routing/PermitTable.h"
#include "serving/FreezeWatch.h"
#include "serving/LeaseholderHooks.h"
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

/// What an upstream is told about its next announcement.
struct AnnouncementAnswer
{
    bool accepted_ = true;
    /// Addresses, best first.
    std::vector<std::string> announceTo_;
    std::uint32_t everyMs_ = 0;

    auto operator==(const AnnouncementAnswer &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("accepted", &AnnouncementAnswer::accepted_),
                          field("announceTo", &AnnouncementAnswer::announceTo_),
                          field("everyMs", &AnnouncementAnswer::everyMs_)};
    }
};

/// Hears announcements and grants the permits of the groups whose lease this entry holds, while it
/// holds its own state lease. Thread-safe; guarded by one lock of rank LockRank::Leaseholder.
class LeaseholderService : public std::enable_shared_from_this<LeaseholderService>
{
public:
    LeaseholderService(EntryId self, ControlService &control, LeaseholderHooks hooks);

    /// Takes in the replicated state.
    auto stateChanged() -> void;
    /// Looks for silent upstreams, group phases to propose and permits that have run out; after a
    /// freeze of the process only once the messages that waited were delivered.
    auto tick() -> void;
    /// Takes an announcement; whether it is newer than what was heard before.
    auto hear(const Announcement &announcement) -> bool;
    /// As hear(), with what the upstream is told.
    auto announce(const Announcement &announcement) -> AnnouncementAnswer;
    /// Takes a message of a peer; true when it was one for this service.
    auto receive(const EntryId &from, const std::string &method, const Json &params) -> bool;
    /// Asks for a permit for \a entry.
    auto take(const EntryId &entry, const PermitTake &request) -> PermitAnswer;
    /// A permit was started or has ended.
    auto note(const PermitNote &note) -> void;
    /// Whether no lease of a group is held here and no permit is in use.
    [[nodiscard]] auto holdsNothing() const -> bool;

private:
    [[nodiscard]] auto isNews(const Announcement &announcement) const -> bool;
    /// Proposes \a announcement, or keeps it until the outcome of an earlier one is known: without
    /// a leader a backlog would grow with every announcement.
    auto proposeNews(const Announcement &announcement) -> void;
    auto newsEnded(const Announcement &proposed) -> void;
    auto proposeOnce(const Command &command) -> void;
    auto proposalEnded(const std::string &key) -> void;
    auto updateServing(const FleetState &state, bool mayWork, MonotonicTime now) -> void;
    /// Takes the losses of upstreams that serve all the same out of \a commands.
    auto keepServing(const std::vector<UpstreamId> &unheard, std::vector<Command> &commands) const
        -> void;
    auto reportLoads(MonotonicTime now) -> void;
    auto answerFor(const Announcement &announcement) const -> AnnouncementAnswer;

    EntryId self_;
    ControlService &control_;
    LeaseholderHooks hooks_;
    mutable RankedMutex mutex_;
    FreezeWatch freezes_;
    GroupWatch watch_;
    PermitTable permits_;
    std::set<GroupId> held_;
    /// The last news of each upstream that has a proposal without outcome.
    std::map<UpstreamId, Announcement> news_;
    /// Other commands proposed and not answered.
    std::set<std::string> underWay_;
    std::vector<TargetLoad> reported_;
    MonotonicTime reportedAt_;
};

} // namespace lycheereach
