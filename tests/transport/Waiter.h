/// \file
/// \brief Waiting for what other threads do, with a generous limit.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace lycheereach {

/// A value that tests wait for.
template <typename T>
class Watched
{
public:
    /// Changes the value under its lock.
    template <typename Change>
    auto change(const Change &change) -> void
    {
        const auto lock = std::scoped_lock(mutex_);
        change(value_);
        changed_.notify_all();
    }

    /// Waits until \a wanted holds; false when it does not within half a minute.
    template <typename Condition>
    auto waitFor(const Condition &wanted) -> bool
    {
        auto lock = std::unique_lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(30), [&] { return wanted(value_); });
    }

    auto get() -> T
    {
        const auto lock = std::scoped_lock(mutex_);
        return value_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    T value_{};
};

} // namespace lycheereach
