/// \file
/// \brief A simulated engine that carries out orders and runs requests.
#pragma once

#include "base/Time.h"
#include "groups/EngineOrder.h"
#include "state/Announcement.h"

namespace lycheereach {

/// A simulated engine that carries out orders and runs requests. It is cold until enough requests
/// completed.
class FakeEngine
{
public:
    struct Settings
    {
        /// Duration of a load of weights that the engine does not hold.
        Duration loadTime_ = std::chrono::seconds(10);
        /// Requests that it can run at once.
        std::uint32_t coldCapacity_ = 2;
        std::uint32_t warmCapacity_ = 16;
        /// Completed requests after which it is warm.
        std::uint32_t completionsUntilWarm_ = 12;
    };

    FakeEngine(Announcement first, Settings settings);

    /// Returns false when the order is refused for its fencing number.
    auto execute(const EngineOrder &order, MonotonicTime now) -> bool;
    /// Returns false when the engine is not ready in \a group and \a epoch.
    auto startRequest(const GroupId &group, Epoch epoch, MonotonicTime now) -> bool;
    /// Ends a request; ignored when \a incarnation is not the present one.
    auto finishRequest(Incarnation incarnation, bool completed) -> void;
    auto restart(MonotonicTime now) -> void;
    auto crash(MonotonicTime now) -> void;
    /// The next announcement, with a new sequence number.
    auto announce(MonotonicTime now) -> Announcement;
    /// Finishes a load that is due by \a now.
    auto advance(MonotonicTime now) -> void;

    [[nodiscard]] auto isAlive() const -> bool { return isAlive_; }
    [[nodiscard]] auto announced() const -> const Announcement & { return announcement_; }
    [[nodiscard]] auto capacity() const -> std::uint32_t;
    /// Since when the engine has not been ready in \a group and \a epoch; nothing while it is.
    [[nodiscard]] auto notReadySince(const GroupId &group, Epoch epoch) const
        -> std::optional<MonotonicTime>;

private:
    auto becomeIdle(MonotonicTime now) -> void;
    auto load(const std::string &model, MonotonicTime now) -> void;

    Announcement announcement_;
    Settings settings_;
    bool isAlive_ = true;
    FencingNumber highestFencing_ = 0;
    /// The model being loaded; empty when there is none.
    std::string loadingModel_;
    MonotonicTime loadEndsAt_;
    MonotonicTime phaseChangedAt_;
    std::uint32_t completedRequests_ = 0;
};

} // namespace lycheereach
