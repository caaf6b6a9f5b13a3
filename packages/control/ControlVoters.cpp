#include "control/ControlService.h"

#include "control/VoterReconciliation.h"
#include "log/Replica.h"

namespace lycheereach {

auto ControlService::voterView() const -> VoterView
{
    const auto &entries = machine_.state().entries_;
    auto view = VoterView{.wiped_ = replica_->wipedVoters(),
                          .silent_ = replica_->silentVoters(),
                          .leader_ = settings_.ownRecord_.id_,
                          .targetSize_ = settings_.targetVoterCount_};
    for (const auto &voter : replica_->voters().voters_)
        view.voters_.insert(voter.name_);
    for (const auto &id : replica_->readyLearners()) {
        const auto found = entries.find(id);
        if (found != entries.end() && found->second.control_
            && found->second.phase_ == EntryPhase::Live)
            view.ready_.insert(id);
    }
    for (const auto *ids : {&view.voters_, &view.ready_}) {
        for (const auto &id : *ids) {
            if (const auto zone = zoneOf(id); !zone.empty())
                view.zones_.emplace(id, zone);
        }
    }
    return view;
}

auto ControlService::maintainVoters(MonotonicTime now) -> void
{
    if (!isLeaderNow(now)) {
        zoneExposure_ = ZoneExposure{};
        return;
    }
    const auto view = voterView();
    if (settings_.toleratesZoneLoss_)
        reportZoneExposure(view, now);
    if (settings_.targetVoterCount_ > 0)
        reconcileVoters(view, now);
}

auto ControlService::reportZoneExposure(const VoterView &view, MonotonicTime now) -> void
{
    const auto zones = zoneExposure_.update(zonesHoldingQuorum(view), now);
    if (!zones)
        return;
    auto text = std::string{};
    for (const auto &zone : *zones)
        text += (text.empty() ? "" : " ") + zone.text();
    const auto number
        = zones->empty() ? EventNumber::ZoneExposureEnded : EventNumber::ZoneExposureBegan;
    hooks_.event_(Event{number, {{"zones", text}, {"voters", votersByZone()}}});
}

auto ControlService::reconcileVoters(const VoterView &view, MonotonicTime now) -> void
{
    const auto change = nextVoterChange(view);
    if (!change)
        return;
    const auto position = replica_->changeVoters(change->add_, change->remove_, now);
    // The change is tried again at the next tick: the previous change is not committed yet.
    if (!position)
        return;
    retryReplacedAt(position->index_);
    scheduleFlush();
    const auto &id = change->add_ ? *change->add_ : *change->remove_;
    hooks_.event_(Event{EventNumber::VoterChangeProposed,
                        {{"entry", id.text()},
                         {"zone", zoneOf(id).text()},
                         {"change", change->add_ ? "add" : "remove"},
                         {"voters", votersByZone()},
                         {"reason", reasonText(change->reason_)}}});
}

auto ControlService::zoneOf(const EntryId &id) const -> ZoneName
{
    const auto &entries = machine_.state().entries_;
    const auto found = entries.find(id);
    return found == entries.end() ? ZoneName() : found->second.zone_;
}

auto ControlService::votersByZone() const -> std::string
{
    auto namesByZone = std::map<ZoneName, std::string>{};
    for (const auto &voter : replica_->voters().voters_) {
        auto &names = namesByZone[zoneOf(voter.name_)];
        names += (names.empty() ? "" : ",") + voter.name_.text();
    }
    auto text = std::string{};
    for (const auto &[zone, names] : namesByZone)
        text += (text.empty() ? "" : " ") + (zone.empty() ? "?" : zone.text()) + "=" + names;
    return text;
}

} // namespace lycheereach
