/// \file
/// \brief An engine that takes orders and requests.
#pragma once

#include "base/Time.h"
#include "groups/MemberOrder.h"
#include "state/Announcement.h"

namespace lycheereach {

/// An engine that takes orders and requests. Its capacity is cold until enough requests completed.
class FakeEngine
{
public:
    struct Settings
    {
        Duration loadTime_ = std::chrono::seconds(10);
        std::uint32_t coldCapacity_ = 2;
        std::uint32_t warmCapacity_ = 16;
        std::uint32_t warmAfter_ = 12;
    };

    FakeEngine(Announcement first, Settings settings);

    /// False when the order is refused for its fencing number.
    auto order(const MemberOrder &order, MonotonicTime now) -> bool;
    /// False when it is not ready in that group and epoch.
    auto start(const GroupId &group, Epoch epoch, MonotonicTime now) -> bool;
    auto finish(Incarnation incarnation, bool completed) -> void;
    auto restart(MonotonicTime now) -> void;
    auto die(MonotonicTime now) -> void;
    /// The next announcement.
    auto announce(MonotonicTime now) -> Announcement;
    /// Brings the phase up to date.
    auto advance(MonotonicTime now) -> void;

    [[nodiscard]] auto isAlive() const -> bool { return isAlive_; }
    [[nodiscard]] auto announced() const -> const Announcement & { return now_; }
    [[nodiscard]] auto capacity() const -> std::uint32_t;
    /// Since when it is not ready in \a group and \a epoch; nothing while it is.
    [[nodiscard]] auto awaySince(const GroupId &group, Epoch epoch) const
        -> std::optional<MonotonicTime>;

private:
    auto becomeIdle(MonotonicTime now) -> void;
    auto load(const std::string &model, MonotonicTime now) -> void;

    Announcement now_;
    Settings settings_;
    bool isAlive_ = true;
    FencingNumber seen_ = 0;
    std::string loading_;
    MonotonicTime loadedAt_;
    MonotonicTime changedAt_;
    std::uint32_t completed_ = 0;
};

} // namespace lycheereach
