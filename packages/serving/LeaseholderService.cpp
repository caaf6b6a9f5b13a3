#include "serving/LeaseholderService.h"

#include "control/ControlService.h"
#include "groups/LeaseholderChoice.h"
#include "serving/LoadReport.h"

#include <utility>

namespace lycheereach {

namespace {

/// Unchanged loads are reported again after this time.
constexpr auto loadReportInterval = std::chrono::seconds(1);
/// The most addresses that the answer to an announcement names.
constexpr auto maxAnnounceAddresses = std::size_t{4};

} // namespace

LeaseholderService::LeaseholderService(EntryId self, ControlService &control,
                                       LeaseholderHooks hooks)
    : self_(std::move(self))
    , control_(control)
    , hooks_(std::move(hooks))
    , mutex_(LockRank::Leaseholder)
    , groupHealth_(self_)
    , permits_(self_)
{ }

auto LeaseholderService::stateChanged() -> void
{
    const auto now = hooks_.now_();
    const auto hasStateLease = control_.mayTakeWork();
    const auto watchesForLost = hooks_.watchesForLost_ && hooks_.watchesForLost_();
    control_.readState([&](const FleetState &state) {
        const auto lock = std::scoped_lock(mutex_);
        groupHealth_.update(state, now, watchesForLost);
        permits_.update(state, now);
        heldGroups_.clear();
        for (const auto &[id, group] : state.groups_) {
            if (group.leaseholder_ == self_)
                heldGroups_.insert(id);
        }
        updateServing(state, hasStateLease, now);
    });
}

auto LeaseholderService::updateServing(const FleetState &state, bool hasStateLease,
                                       MonotonicTime now) -> void
{
    for (const auto &group : heldGroups_)
        permits_.setServing(group, hasStateLease && groupHealth_.mayServe(state, group, now));
}

auto LeaseholderService::tick() -> void
{
    const auto now = hooks_.now_();
    const auto hasStateLease = control_.mayTakeWork();
    auto commands = std::vector<Command>{};
    auto recalls = std::vector<PermitRecall>{};
    auto silentUpstreams = std::vector<UpstreamId>{};
    control_.readState([&](const FleetState &state) {
        const auto lock = std::scoped_lock(mutex_);
        updateServing(state, hasStateLease, now);
        recalls = permits_.takeRecalls();
        if (!pauseDetector_.tick(now))
            return;
        permits_.dropExpiredPermits(now);
        const auto isIdle = [this](const GroupId &group) { return permits_.isIdle(group); };
        commands = groupHealth_.planCommands(state, now, isIdle);
        silentUpstreams = groupHealth_.silentUpstreams(state, now);
    });
    dropLossesOfServing(silentUpstreams, commands);
    for (const auto &command : commands)
        proposeUnlessPending(command);
    for (const auto &recall : recalls)
        hooks_.send_(recall.entry_, "permit.recall", encode(recall.permit_));
    reportLoads(now);
}

auto LeaseholderService::dropLossesOfServing(const std::vector<UpstreamId> &silentUpstreams,
                                             std::vector<Command> &commands) const -> void
{
    if (!hooks_.servesWhileSilent_)
        return;
    auto serving = std::set<UpstreamId>{};
    for (const auto &upstream : silentUpstreams) {
        if (hooks_.servesWhileSilent_(upstream))
            serving.insert(upstream);
    }
    std::erase_if(commands, [&](const Command &command) {
        const auto *loseUpstream = std::get_if<LoseUpstream>(&command);
        return loseUpstream != nullptr && serving.contains(loseUpstream->upstream_);
    });
}

auto LeaseholderService::reportLoads(MonotonicTime now) -> void
{
    auto report = LoadReport{};
    {
        const auto lock = std::scoped_lock(mutex_);
        report.loads_ = permits_.loads();
        if (report.loads_ == reportedLoads_ && now - loadsReportedAt_ < loadReportInterval)
            return;
        reportedLoads_ = report.loads_;
        loadsReportedAt_ = now;
    }
    if (report.loads_.empty())
        return;
    const auto message = encode(report);
    for (const auto &entry : control_.liveEntries()) {
        if (entry != self_)
            hooks_.send_(entry, "permit.loads", message);
    }
    hooks_.reportLoads_(report);
}

auto LeaseholderService::proposeUnlessPending(const Command &command) -> void
{
    auto key = encodeCommand(command);
    {
        const auto lock = std::scoped_lock(mutex_);
        if (!pendingProposals_.insert(key).second)
            return;
    }
    const auto done = [self = weak_from_this(), key](const Result<CommandOutcome> &) {
        if (const auto service = self.lock())
            service->proposalEnded(key);
    };
    control_.propose(command, done);
}

auto LeaseholderService::proposalEnded(const std::string &key) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    pendingProposals_.erase(key);
}

auto LeaseholderService::handleAnnouncement(const Announcement &announcement) -> bool
{
    const auto now = hooks_.now_();
    const auto effect = control_.readState([&](const FleetState &state) {
        const auto lock = std::scoped_lock(mutex_);
        const auto announcementEffect = groupHealth_.handleAnnouncement(state, announcement, now);
        if (announcementEffect != AnnouncementEffect::Stale)
            permits_.handleAnnouncement(announcement, now);
        return announcementEffect;
    });
    if (effect == AnnouncementEffect::Stale)
        return false;
    if (differsFromState(announcement))
        proposeAnnouncement(announcement);
    return true;
}

auto LeaseholderService::answerAnnouncement(const Announcement &announcement) -> AnnouncementAnswer
{
    const auto isAccepted = handleAnnouncement(announcement);
    auto answer = answerFor(announcement);
    answer.accepted_ = isAccepted;
    return answer;
}

auto LeaseholderService::differsFromState(const Announcement &announcement) const -> bool
{
    return control_.readState([&](const FleetState &state) {
        return lycheereach::changesControlState(state, announcement, self_);
    });
}

auto LeaseholderService::proposeAnnouncement(const Announcement &announcement) -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto [item, isFirst]
            = pendingAnnouncements_.try_emplace(announcement.upstream_, announcement);
        if (!isFirst) {
            item->second = announcement;
            return;
        }
    }
    const auto done = [weak = weak_from_this(), announcement](const Result<CommandOutcome> &) {
        if (const auto self = weak.lock())
            self->announcementProposalEnded(announcement);
    };
    control_.propose(PutUpstream{announcement, self_}, done);
}

auto LeaseholderService::announcementProposalEnded(const Announcement &proposed) -> void
{
    auto latest = proposed;
    {
        const auto lock = std::scoped_lock(mutex_);
        if (const auto item = pendingAnnouncements_.extract(proposed.upstream_))
            latest = item.mapped();
    }
    if (latest != proposed && differsFromState(latest))
        proposeAnnouncement(latest);
}

auto LeaseholderService::answerFor(const Announcement &announcement) const -> AnnouncementAnswer
{
    const auto live = control_.liveEntries();
    return control_.readState([&](const FleetState &state) {
        auto answer = AnnouncementAnswer{};
        const auto &upstream = announcement.upstream_;
        for (const auto &entry : announcementTargets(state, live, upstream, announcement.zone_)) {
            if (answer.announceTo_.size() < maxAnnounceAddresses)
                answer.announceTo_.push_back(state.entries_.at(entry).address_);
        }
        const auto policy
            = policyFor(state.declaration_, announcement.zone_, announcement.pool_, upstream);
        answer.everyMs_ = policy.announceEveryMs_;
        return answer;
    });
}

auto LeaseholderService::receive(const EntryId &from, const std::string &method, const Json &params)
    -> bool
{
    if (method == "permit.take") {
        const auto message = decode<PermitTake>(params);
        if (message)
            hooks_.send_(from, "permit.answer", encode(grantPermit(from, *message)));
        return true;
    }
    if (method == "permit.note") {
        const auto message = decode<PermitNote>(params);
        if (message)
            handlePermitNote(*message);
        return true;
    }
    return false;
}

auto LeaseholderService::grantPermit(const EntryId &entry, const PermitTake &request)
    -> PermitAnswer
{
    const auto now = hooks_.now_();
    auto answer = PermitAnswer{.number_ = request.number_};
    if (!control_.mayTakeWork()) {
        answer.refusal_ = PermitRefusal{RefusalReason::NotServing};
        return answer;
    }
    const auto isSuspect = !request.suspectFingerprint_.empty();
    if (isSuspect && !hooks_.admitSuspect_(request.group_, request.suspectFingerprint_)) {
        answer.refusal_ = PermitRefusal{RefusalReason::Full};
        return answer;
    }
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto result = permits_.grantPermit(request.group_, entry, request.attempt_, now);
        if (const auto *permit = std::get_if<Permit>(&result))
            answer.permit_ = *permit;
        else
            answer.refusal_ = std::get<PermitRefusal>(result);
    }
    if (isSuspect && answer.refusal_)
        hooks_.suspectEnded_(request.group_, request.suspectFingerprint_);
    return answer;
}

auto LeaseholderService::handlePermitNote(const PermitNote &note) -> void
{
    if (note.outcome_ && !note.suspectFingerprint_.empty())
        hooks_.suspectEnded_(note.group_, note.suspectFingerprint_);
    const auto now = hooks_.now_();
    const auto lock = std::scoped_lock(mutex_);
    if (note.outcome_)
        permits_.requestEnded(note.group_, note.leaseNumber_, note.number_, *note.outcome_,
                              std::chrono::milliseconds(note.latencyMs_), now);
    else
        permits_.requestStarted(note.group_, note.leaseNumber_, note.number_, now);
}

auto LeaseholderService::holdsNoGroupLease() const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return heldGroups_.empty();
}

} // namespace lycheereach
