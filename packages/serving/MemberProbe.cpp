#include "serving/MemberProbe.h"

#include "control/ControlService.h"

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

namespace lycheereach {

namespace {

/// The least time between two probes of one upstream.
constexpr auto minProbeInterval = std::chrono::milliseconds(500);
/// When an entry reports a group as stalled, the others have this time to tell that it still
/// serves; its members are probed only if none does.
constexpr auto evidenceTimeout = std::chrono::milliseconds(80);
/// A probe that ends later than this proves nothing: this process was too busy to read the answer.
constexpr auto maxConclusiveTime = std::chrono::milliseconds(400);
/// A longer time between two ticks means that this process was delayed for most of a probe's time.
constexpr auto maxTickInterval = std::chrono::milliseconds(200);
/// At most this many upstreams are probed at once; with more connections this process would be too
/// busy to read answers.
constexpr auto maxProbedUpstreams = 8;
/// After this time the probes of an upstream have ended.
constexpr auto probeDuration = std::chrono::milliseconds(250);
/// A group that sent part of an answer this long before its probe, or later, is not stalled.
/// Entries wait four times as long for data before they report a group as stalled.
constexpr auto evidenceMargin = std::chrono::milliseconds(50);
/// Probes sent to an upstream at once, since a single one may be lost on a bad link.
constexpr auto probesPerUpstream = 2;

} // namespace

MemberProbe::MemberProbe(ControlService &control, MemberProbeHooks hooks)
    : control_(control)
    , hooks_(std::move(hooks))
    , mutex_(LockRank::Leaseholder)
{ }

auto MemberProbe::reportStalledGroup(const UpstreamId &firstMember) -> void
{
    const auto now = hooks_.now_();
    if (hasServedSince(firstMember, now))
        return;
    {
        const auto lock = std::scoped_lock(mutex_);
        if (!stalledGroups_.try_emplace(firstMember, StalledGroup{now, now}).second)
            return;
    }
    const auto hasQueriedAll = hooks_.querySomeEvidence_(firstMember);
    const auto lock = std::scoped_lock(mutex_);
    if (const auto found = stalledGroups_.find(firstMember); found != stalledGroups_.end())
        found->second.hasQueriedAll_ = hasQueriedAll;
}

auto MemberProbe::tick() -> void
{
    const auto now = hooks_.now_();
    for (const auto &[firstMember, stalled] : takeQueried(now)) {
        if (hasServedSince(firstMember, stalled.reportedAt_))
            continue;
        if (stalled.hasQueriedAll_)
            probeMembers(firstMember);
        else
            queryAll(firstMember, now);
    }
}

auto MemberProbe::takeQueried(MonotonicTime now) -> std::map<UpstreamId, StalledGroup>
{
    auto queried = std::map<UpstreamId, StalledGroup>{};
    const auto lock = std::scoped_lock(mutex_);
    if (now - lastTick_ > maxTickInterval)
        delayedAt_ = now;
    lastTick_ = now;
    std::erase_if(stalledGroups_, [&](const auto &item) {
        const auto isDue = now - item.second.queriedAt_ >= evidenceTimeout;
        if (isDue)
            queried.insert(item);
        return isDue;
    });
    return queried;
}

auto MemberProbe::queryAll(const UpstreamId &firstMember, MonotonicTime now) -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        stalledGroups_.insert_or_assign(firstMember, StalledGroup{now, now, true});
    }
    hooks_.queryEvidence_(firstMember);
}

auto MemberProbe::probeMembers(const UpstreamId &firstMember) -> void
{
    const auto members = control_.readState([&](const FleetState &state) {
        auto upstreams = std::vector<Upstream>{};
        const auto membership = state.groupOf_.find(firstMember);
        if (membership == state.groupOf_.end())
            return upstreams;
        for (const auto &id : state.groups_.at(membership->second).members_) {
            const auto found = state.upstreams_.find(id);
            if (found != state.upstreams_.end() && !found->second.lost_)
                upstreams.push_back(found->second);
        }
        return upstreams;
    });
    if (!members.empty())
        hooks_.queryEvidence_(firstMember);
    for (const auto &member : members)
        probe(member);
}

auto MemberProbe::probe(const Upstream &upstream) -> void
{
    const auto now = hooks_.now_();
    {
        const auto lock = std::scoped_lock(mutex_);
        if (countUpstreamsBeingProbed(now) >= maxProbedUpstreams)
            return;
        auto &probed = probedUpstreams_[upstream.announced_.upstream_];
        if (probed.incarnation_ != upstream.announced_.incarnation_)
            probed = ProbedUpstream{upstream.announced_.incarnation_, {}, 0, false};
        if (probed.hasEnded_ || now - probed.probedAt_ < minProbeInterval)
            return;
        probed.probedAt_ = now;
        probed.unansweredProbes_ = 0;
    }
    const auto done = [weak = weak_from_this(), upstream](ProbeOutcome outcome) {
        if (const auto self = weak.lock())
            self->probeEnded(upstream, outcome);
    };
    for (auto i = 0; i < probesPerUpstream; ++i)
        hooks_.probe_(upstream, done);
}

auto MemberProbe::countUpstreamsBeingProbed(MonotonicTime now) const -> std::ptrdiff_t
{
    return std::count_if(probedUpstreams_.begin(), probedUpstreams_.end(), [&](const auto &item) {
        return now - item.second.probedAt_ < probeDuration;
    });
}

auto MemberProbe::probeEnded(const Upstream &upstream, ProbeOutcome outcome) -> void
{
    const auto &announced = upstream.announced_;
    auto isLost = false;
    auto probedAt = MonotonicTime{};
    {
        const auto lock = std::scoped_lock(mutex_);
        auto &probed = probedUpstreams_[announced.upstream_];
        if (probed.incarnation_ != announced.incarnation_)
            return;
        if (probed.hasEnded_)
            return;
        const auto isConclusive = hooks_.now_() - probed.probedAt_ <= maxConclusiveTime
            && delayedAt_ <= probed.probedAt_;
        probed.unansweredProbes_ += outcome == ProbeOutcome::Silent && isConclusive ? 1 : 0;
        probed.hasEnded_ = outcome == ProbeOutcome::Ended;
        isLost = probed.hasEnded_ || probed.unansweredProbes_ == probesPerUpstream;
        probedAt = probed.probedAt_;
    }
    const auto hasEnded = outcome == ProbeOutcome::Ended;
    if (!isLost || (!hasEnded && hasServedSince(announced.upstream_, probedAt)))
        return;
    hooks_.event_(
        Event{EventNumber::ProbeFailed,
              {{"upstream", announced.upstream_.text()},
               {"reason", hasEnded ? "its process has ended" : "it did not answer two probes"}}});
    control_.propose(Command(LoseUpstream{announced.upstream_, announced.incarnation_, EntryId{}}),
                     nullptr);
}

auto MemberProbe::hasServedSince(const UpstreamId &upstream, MonotonicTime time) const -> bool
{
    return hooks_.hasServedSince_(upstream, time - evidenceMargin);
}

auto MemberProbe::hasEnded(const Upstream &upstream) const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = probedUpstreams_.find(upstream.announced_.upstream_);
    return found != probedUpstreams_.end() && found->second.hasEnded_
        && found->second.incarnation_ == upstream.announced_.incarnation_;
}

} // namespace lycheereach
