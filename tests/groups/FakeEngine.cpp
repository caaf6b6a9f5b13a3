#include "groups/FakeEngine.h"

#include <algorithm>

namespace lycheereach {

FakeEngine::FakeEngine(Announcement first, Settings settings)
    : now_(std::move(first))
    , settings_(settings)
{ }

auto FakeEngine::order(const MemberOrder &order, MonotonicTime now) -> bool
{
    advance(now);
    if (now_.checksFencing_ && order.fencing_ < seen_)
        return false;
    seen_ = std::max(seen_, order.fencing_);
    if (order.kind_ == OrderKind::Leave) {
        if (now_.group_ == order.group_ && now_.epoch_ == order.epoch_)
            becomeIdle(now);
        return true;
    }
    const auto &loaded = now_.loaded_;
    const auto hasWeights = std::find(loaded.begin(), loaded.end(), order.model_) != loaded.end();
    if (order.kind_ == OrderKind::Load && hasWeights)
        return true;
    if (order.kind_ == OrderKind::Join) {
        const auto isSame = now_.group_ == order.group_ && now_.epoch_ == order.epoch_;
        if (isSame && now_.rank_ == order.rank_)
            return true;
        now_.group_ = order.group_;
        now_.epoch_ = order.epoch_;
        now_.rank_ = order.rank_;
        changedAt_ = now;
    }
    load(order.model_, now);
    return true;
}

auto FakeEngine::load(const std::string &model, MonotonicTime now) -> void
{
    now_.phase_ = MemberPhase::Loading;
    changedAt_ = now;
    if (loading_.empty()) {
        const auto hasWeights
            = std::find(now_.loaded_.begin(), now_.loaded_.end(), model) != now_.loaded_.end();
        loadedAt_ = now + (hasWeights ? std::chrono::milliseconds(200) : settings_.loadTime_);
    }
    loading_ = model;
}

auto FakeEngine::advance(MonotonicTime now) -> void
{
    if (loading_.empty() || now < loadedAt_)
        return;
    if (std::find(now_.loaded_.begin(), now_.loaded_.end(), loading_) == now_.loaded_.end())
        now_.loaded_.push_back(loading_);
    loading_.clear();
    now_.phase_ = now_.group_.empty() ? MemberPhase::Idle : MemberPhase::Ready;
    changedAt_ = now;
}

auto FakeEngine::start(const GroupId &group, Epoch epoch, MonotonicTime now) -> bool
{
    advance(now);
    if (!isAlive_ || awaySince(group, epoch))
        return false;
    ++now_.running_;
    return true;
}

auto FakeEngine::finish(Incarnation incarnation, bool completed) -> void
{
    if (incarnation != now_.incarnation_ || now_.running_ == 0)
        return;
    --now_.running_;
    completed_ += completed ? 1 : 0;
    now_.cold_ = completed_ < settings_.warmAfter_;
}

auto FakeEngine::restart(MonotonicTime now) -> void
{
    isAlive_ = true;
    ++now_.incarnation_;
    now_.sequence_ = 0;
    now_.loaded_.clear();
    now_.running_ = 0;
    now_.cold_ = true;
    loading_.clear();
    completed_ = 0;
    seen_ = 0;
    becomeIdle(now);
}

auto FakeEngine::die(MonotonicTime now) -> void
{
    isAlive_ = false;
    changedAt_ = now;
}

auto FakeEngine::becomeIdle(MonotonicTime now) -> void
{
    now_.group_ = GroupId{};
    now_.epoch_ = 0;
    now_.rank_ = 0;
    now_.phase_ = loading_.empty() ? MemberPhase::Idle : MemberPhase::Loading;
    changedAt_ = now;
}

auto FakeEngine::announce(MonotonicTime now) -> Announcement
{
    advance(now);
    ++now_.sequence_;
    return now_;
}

auto FakeEngine::capacity() const -> std::uint32_t
{
    return now_.cold_ ? settings_.coldCapacity_ : settings_.warmCapacity_;
}

auto FakeEngine::awaySince(const GroupId &group, Epoch epoch) const -> std::optional<MonotonicTime>
{
    const auto isReady = isAlive_ && now_.group_ == group && now_.epoch_ == epoch
        && now_.phase_ == MemberPhase::Ready;
    return isReady ? std::nullopt : std::optional(changedAt_);
}

} // namespace lycheereach
