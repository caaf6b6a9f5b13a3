#include "groups/FakeEngine.h"

#include <algorithm>

namespace lycheereach {

FakeEngine::FakeEngine(Announcement first, Settings settings)
    : announcement_(std::move(first))
    , settings_(settings)
{ }

auto FakeEngine::execute(const EngineOrder &order, MonotonicTime now) -> bool
{
    advance(now);
    if (announcement_.checksFencing_ && order.fencing_ < highestFencing_)
        return false;
    highestFencing_ = std::max(highestFencing_, order.fencing_);
    if (order.kind_ == OrderKind::Leave) {
        if (announcement_.group_ == order.group_ && announcement_.epoch_ == order.epoch_)
            becomeIdle(now);
        return true;
    }
    const auto &loaded = announcement_.loaded_;
    const auto hasWeights = std::find(loaded.begin(), loaded.end(), order.model_) != loaded.end();
    if (order.kind_ == OrderKind::Load && hasWeights)
        return true;
    if (order.kind_ == OrderKind::Join) {
        const auto isSame
            = announcement_.group_ == order.group_ && announcement_.epoch_ == order.epoch_;
        if (isSame && announcement_.rank_ == order.rank_)
            return true;
        announcement_.group_ = order.group_;
        announcement_.epoch_ = order.epoch_;
        announcement_.rank_ = order.rank_;
        phaseChangedAt_ = now;
    }
    load(order.model_, now);
    return true;
}

auto FakeEngine::load(const std::string &model, MonotonicTime now) -> void
{
    announcement_.phase_ = MemberPhase::Loading;
    phaseChangedAt_ = now;
    if (loadingModel_.empty()) {
        const auto hasWeights
            = std::find(announcement_.loaded_.begin(), announcement_.loaded_.end(), model)
            != announcement_.loaded_.end();
        loadEndsAt_ = now + (hasWeights ? std::chrono::milliseconds(200) : settings_.loadTime_);
    }
    loadingModel_ = model;
}

auto FakeEngine::advance(MonotonicTime now) -> void
{
    if (loadingModel_.empty() || now < loadEndsAt_)
        return;
    if (std::find(announcement_.loaded_.begin(), announcement_.loaded_.end(), loadingModel_)
        == announcement_.loaded_.end())
        announcement_.loaded_.push_back(loadingModel_);
    loadingModel_.clear();
    announcement_.phase_ = announcement_.group_.empty() ? MemberPhase::Idle : MemberPhase::Ready;
    phaseChangedAt_ = now;
}

auto FakeEngine::startRequest(const GroupId &group, Epoch epoch, MonotonicTime now) -> bool
{
    advance(now);
    if (!isAlive_ || notReadySince(group, epoch))
        return false;
    ++announcement_.running_;
    return true;
}

auto FakeEngine::finishRequest(Incarnation incarnation, bool completed) -> void
{
    if (incarnation != announcement_.incarnation_ || announcement_.running_ == 0)
        return;
    --announcement_.running_;
    completedRequests_ += completed ? 1 : 0;
    announcement_.cold_ = completedRequests_ < settings_.completionsUntilWarm_;
}

auto FakeEngine::restart(MonotonicTime now) -> void
{
    isAlive_ = true;
    ++announcement_.incarnation_;
    announcement_.sequence_ = 0;
    announcement_.loaded_.clear();
    announcement_.running_ = 0;
    announcement_.cold_ = true;
    loadingModel_.clear();
    completedRequests_ = 0;
    highestFencing_ = 0;
    becomeIdle(now);
}

auto FakeEngine::crash(MonotonicTime now) -> void
{
    isAlive_ = false;
    phaseChangedAt_ = now;
}

auto FakeEngine::becomeIdle(MonotonicTime now) -> void
{
    announcement_.group_ = GroupId{};
    announcement_.epoch_ = 0;
    announcement_.rank_ = 0;
    announcement_.phase_ = loadingModel_.empty() ? MemberPhase::Idle : MemberPhase::Loading;
    phaseChangedAt_ = now;
}

auto FakeEngine::announce(MonotonicTime now) -> Announcement
{
    advance(now);
    ++announcement_.sequence_;
    return announcement_;
}

auto FakeEngine::capacity() const -> std::uint32_t
{
    return announcement_.cold_ ? settings_.coldCapacity_ : settings_.warmCapacity_;
}

auto FakeEngine::notReadySince(const GroupId &group, Epoch epoch) const
    -> std::optional<MonotonicTime>
{
    const auto isReady = isAlive_ && announcement_.group_ == group && announcement_.epoch_ == epoch
        && announcement_.phase_ == MemberPhase::Ready;
    return isReady ? std::nullopt : std::optional(phaseChangedAt_);
}

} // namespace lycheereach
