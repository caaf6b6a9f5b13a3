#include "serving/LeaseholderService.h"

#include "control/ControlService.h"
#include "groups/LeaseholderChoice.h"
#include "serving/LoadReport.h"

#include <utility>

namespace lycheereach {

namespace {

/// Loads that have not changed are reported again after this time.
constexpr auto loadRefresh = std::chrono::seconds(1);
/// Addresses that an upstream is told.
constexpr auto announceChoices = std::size_t{4};

} // namespace

LeaseholderService::LeaseholderService(EntryId self, ControlService &control,
                                       LeaseholderHooks hooks)
    : self_(std::move(self))
    , control_(control)
    , hooks_(std::move(hooks))
    , mutex_(LockRank::Leaseholder)
    , watch_(self_)
    , permits_(self_)
{ }

auto LeaseholderService::stateChanged() -> void
{
    const auto now = hooks_.now_();
    const auto mayWork = control_.mayTakeWork();
    control_.read([&](const FleetState &state) {
        const auto lock = std::scoped_lock(mutex_);
        watch_.update(state, now);
        permits_.update(state, now);
        held_.clear();
        for (const auto &[id, group] : state.groups_) {
            if (group.leaseholder_ == self_)
                held_.insert(id);
        }
        updateServing(state, mayWork, now);
    });
}

auto LeaseholderService::updateServing(const FleetState &state, bool mayWork, MonotonicTime now)
    -> void
{
    for (const auto &group : held_)
        permits_.setServing(group, mayWork && watch_.mayServe(state, group, now));
}

auto LeaseholderService::tick() -> void
{
    const auto now = hooks_.now_();
    const auto mayWork = control_.mayTakeWork();
    auto commands = std::vector<Command>{};
    auto recalls = std::vector<PermitRecall>{};
    auto unheard = std::vector<UpstreamId>{};
    control_.read([&](const FleetState &state) {
        const auto lock = std::scoped_lock(mutex_);
        updateServing(state, mayWork, now);
        recalls = permits_.recalled();
        if (!freezes_.tick(now))
            return;
        permits_.tick(now);
        const auto isIdle = [this](const GroupId &group) { return permits_.isIdle(group); };
        commands = watch_.tick(state, now, isIdle);
        unheard = watch_.unheard(state, now);
    });
    keepServing(unheard, commands);
    for (const auto &command : commands)
        proposeOnce(command);
    for (const auto &recall : recalls)
        hooks_.send_(recall.entry_, "permit.recall", encode(recall.permit_));
    reportLoads(now);
}

auto LeaseholderService::keepServing(const std::vector<UpstreamId> &unheard,
                                     std::vector<Command> &commands) const -> void
{
    if (!hooks_.servesUnheard_)
        return;
    auto serving = std::set<UpstreamId>{};
    for (const auto &upstream : unheard) {
        if (hooks_.servesUnheard_(upstream))
            serving.insert(upstream);
    }
    std::erase_if(commands, [&](const Command &command) {
        const auto *loss = std::get_if<LoseUpstream>(&command);
        return loss != nullptr && serving.contains(loss->upstream_);
    });
}

auto LeaseholderService::reportLoads(MonotonicTime now) -> void
{
    auto report = LoadReport{};
    {
        const auto lock = std::scoped_lock(mutex_);
        report.loads_ = permits_.loads();
        if (report.loads_ == reported_ && now - reportedAt_ < loadRefresh)
            return;
        reported_ = report.loads_;
        reportedAt_ = now;
    }
    if (report.loads_.empty())
        return;
    const auto message = encode(report);
    for (const auto &entry : control_.liveEntries()) {
        if (entry != self_)
            hooks_.send_(entry, "permit.loads", message);
    }
    hooks_.loads_(report);
}

auto LeaseholderService::proposeOnce(const Command &command) -> void
{
    auto key = encodeCommand(command);
    {
        const auto lock = std::scoped_lock(mutex_);
        if (!underWay_.insert(key).second)
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
    underWay_.erase(key);
}

auto LeaseholderService::hear(const Announcement &announcement) -> bool
{
    const auto now = hooks_.now_();
    const auto effect = control_.read([&](const FleetState &state) {
        const auto lock = std::scoped_lock(mutex_);
        const auto heard = watch_.heard(state, announcement, now);
        if (heard != AnnouncementEffect::Stale)
            permits_.report(announcement, now);
        return heard;
    });
    if (effect == AnnouncementEffect::Stale)
        return false;
    if (isNews(announcement))
        proposeNews(announcement);
    return true;
}

auto LeaseholderService::announce(const Announcement &announcement) -> AnnouncementAnswer
{
    const auto isAccepted = hear(announcement);
    auto answer = answerFor(announcement);
    answer.accepted_ = isAccepted;
    return answer;
}

auto LeaseholderService::isNews(const Announcement &announcement) const -> bool
{
    return control_.read(
        [&](const FleetState &state) { return lycheereach::isNews(state, announcement, self_); });
}

auto LeaseholderService::proposeNews(const Announcement &announcement) -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto [item, isFirst] = news_.try_emplace(announcement.upstream_, announcement);
        if (!isFirst) {
            item->second = announcement;
            return;
        }
    }
    const auto done = [weak = weak_from_this(), announcement](const Result<CommandOutcome> &) {
        if (const auto self = weak.lock())
            self->newsEnded(announcement);
    };
    control_.propose(PutUpstream{announcement, self_}, done);
}

auto LeaseholderService::newsEnded(const Announcement &proposed) -> void
{
    auto latest = proposed;
    {
        const auto lock = std::scoped_lock(mutex_);
        if (const auto item = news_.extract(proposed.upstream_))
            latest = item.mapped();
    }
    if (latest != proposed && isNews(latest))
        proposeNews(latest);
}

auto LeaseholderService::answerFor(const Announcement &announcement) const -> AnnouncementAnswer
{
    const auto live = control_.liveEntries();
    return control_.read([&](const FleetState &state) {
        auto answer = AnnouncementAnswer{};
        const auto &upstream = announcement.upstream_;
        for (const auto &entry : announceTo(state, live, upstream, announcement.zone_)) {
            if (answer.announceTo_.size() < announceChoices)
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
            hooks_.send_(from, "permit.answer", encode(take(from, *message)));
        return true;
    }
    if (method == "permit.note") {
        const auto message = decode<PermitNote>(params);
        if (message)
            note(*message);
        return true;
    }
    return false;
}

auto LeaseholderService::take(const EntryId &entry, const PermitTake &request) -> PermitAnswer
{
    const auto now = hooks_.now_();
    auto answer = PermitAnswer{.number_ = request.number_};
    if (!control_.mayTakeWork()) {
        answer.refusal_ = PermitRefusal{RefusalReason::NotServing};
        return answer;
    }
    const auto isSuspect = !request.suspect_.empty();
    if (isSuspect && !hooks_.admitSuspect_(request.group_, request.suspect_)) {
        answer.refusal_ = PermitRefusal{RefusalReason::Full};
        return answer;
    }
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto result = permits_.take(request.group_, entry, request.attempt_, now);
        if (const auto *permit = std::get_if<Permit>(&result))
            answer.permit_ = *permit;
        else
            answer.refusal_ = std::get<PermitRefusal>(result);
    }
    if (isSuspect && answer.refusal_)
        hooks_.suspectLeft_(request.group_, request.suspect_);
    return answer;
}

auto LeaseholderService::note(const PermitNote &note) -> void
{
    if (note.outcome_ && !note.suspect_.empty())
        hooks_.suspectLeft_(note.group_, note.suspect_);
    const auto now = hooks_.now_();
    const auto lock = std::scoped_lock(mutex_);
    if (note.outcome_)
        permits_.finished(note.group_, note.leaseNumber_, note.number_, *note.outcome_,
                          std::chrono::milliseconds(note.latencyMs_), now);
    else
        permits_.started(note.group_, note.leaseNumber_, note.number_, now);
}

auto LeaseholderService::holdsNothing() const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return held_.empty();
}

} // namespace lycheereach
