#include "serving/MemberProbe.h"

#include "control/ControlService.h"

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

namespace lycheereach {

namespace {

/// An upstream is not probed again within this time.
constexpr auto probePause = std::chrono::milliseconds(500);
/// Entries tell within this time whether a group that one of them suspects still serves; only then
/// its members are probed.
constexpr auto evidenceWait = std::chrono::milliseconds(80);
/// A probe that ends later than this says nothing: this process had no time to read the answer.
constexpr auto conclusiveWithin = std::chrono::milliseconds(400);
/// Ticks that are further apart show that this process was held up for most of a probe's time.
constexpr auto heldUpAfter = std::chrono::milliseconds(200);
/// Upstreams probed at once; the connections of more would keep this process from reading answers.
constexpr auto mostProbed = 8;
/// Probes of an upstream have ended after this time.
constexpr auto probeTime = std::chrono::milliseconds(250);
/// A group that gave something so long before its probe, or later, does not stand still. Entries
/// wait four times as long before they say that it does.
constexpr auto evidenceLead = std::chrono::milliseconds(50);
/// Probes that are sent at once; one alone may be lost on a bad link.
constexpr auto probesAtOnce = 2;

} // namespace

MemberProbe::MemberProbe(ControlService &control, MemberProbeHooks hooks)
    : control_(control)
    , hooks_(std::move(hooks))
    , mutex_(LockRank::Leaseholder)
{ }

auto MemberProbe::groupStalled(const UpstreamId &head) -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        if (!suspected_.try_emplace(head, hooks_.now_()).second)
            return;
    }
    hooks_.askServing_(head);
}

auto MemberProbe::tick() -> void
{
    const auto now = hooks_.now_();
    auto due = std::map<UpstreamId, MonotonicTime>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        if (now - lastTick_ > heldUpAfter)
            heldUpAt_ = now;
        lastTick_ = now;
        std::erase_if(suspected_, [&](const auto &item) {
            const auto isDue = now - item.second >= evidenceWait;
            if (isDue)
                due.insert(item);
            return isDue;
        });
    }
    for (const auto &[head, since] : due) {
        if (!servesStill(head, since))
            probeMembers(head);
    }
}

auto MemberProbe::probeMembers(const UpstreamId &head) -> void
{
    const auto members = control_.read([&](const FleetState &state) {
        auto upstreams = std::vector<Upstream>{};
        const auto membership = state.groupOf_.find(head);
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
        hooks_.askServing_(head);
    for (const auto &member : members)
        probe(member);
}

auto MemberProbe::probe(const Upstream &upstream) -> void
{
    const auto now = hooks_.now_();
    {
        const auto lock = std::scoped_lock(mutex_);
        if (probedAtOnce(now) >= mostProbed)
            return;
        auto &probed = probed_[upstream.announced_.upstream_];
        if (probed.incarnation_ != upstream.announced_.incarnation_)
            probed = Probed{upstream.announced_.incarnation_, {}, 0, false};
        if (probed.ended_ || now - probed.at_ < probePause)
            return;
        probed.at_ = now;
        probed.silent_ = 0;
    }
    const auto done = [weak = weak_from_this(), upstream](ProbeOutcome outcome) {
        if (const auto self = weak.lock())
            self->probed(upstream, outcome);
    };
    for (auto i = 0; i < probesAtOnce; ++i)
        hooks_.probe_(upstream, done);
}

auto MemberProbe::probedAtOnce(MonotonicTime now) const -> std::ptrdiff_t
{
    return std::count_if(probed_.begin(), probed_.end(),
                         [&](const auto &item) { return now - item.second.at_ < probeTime; });
}

auto MemberProbe::probed(const Upstream &upstream, ProbeOutcome outcome) -> void
{
    const auto &announced = upstream.announced_;
    auto isLost = false;
    auto probedAt = MonotonicTime{};
    {
        const auto lock = std::scoped_lock(mutex_);
        auto &probed = probed_[announced.upstream_];
        if (probed.incarnation_ != announced.incarnation_)
            return;
        if (probed.ended_)
            return;
        const auto isConclusive
            = hooks_.now_() - probed.at_ <= conclusiveWithin && heldUpAt_ <= probed.at_;
        probed.silent_ += outcome == ProbeOutcome::Silent && isConclusive ? 1 : 0;
        probed.ended_ = outcome == ProbeOutcome::Ended;
        isLost = probed.ended_ || probed.silent_ == probesAtOnce;
        probedAt = probed.at_;
    }
    const auto hasEnded = outcome == ProbeOutcome::Ended;
    if (!isLost || (!hasEnded && servesStill(announced.upstream_, probedAt)))
        return;
    hooks_.event_(
        Event{EventNumber::ProbeFailed,
              {{"upstream", announced.upstream_.text()},
               {"reason", hasEnded ? "its process has ended" : "it did not answer two probes"}}});
    control_.propose(Command(LoseUpstream{announced.upstream_, announced.incarnation_, EntryId{}}),
                     nullptr);
}

auto MemberProbe::servesStill(const UpstreamId &upstream, MonotonicTime probedAt) const -> bool
{
    return hooks_.hasServedSince_(upstream, probedAt - evidenceLead);
}

auto MemberProbe::hasEnded(const Upstream &upstream) const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = probed_.find(upstream.announced_.upstream_);
    return found != probed_.end() && found->second.ended_
        && found->second.incarnation_ == upstream.announced_.incarnation_;
}

} // namespace lycheereach
