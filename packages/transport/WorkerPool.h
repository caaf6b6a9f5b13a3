/// \file
/// \brief The threads of a process and its timers.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace lycheereach {

/// Cancels a timer when it is destroyed or told to.
class Timer
{
public:
    virtual ~Timer() = default;
    virtual auto cancel() -> void = 0;
};

/// A pool of worker threads over one Asio context. Thread-safe.
class WorkerPool
{
public:
    explicit WorkerPool(std::size_t threads);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    auto operator=(const WorkerPool &) -> WorkerPool & = delete;

    /// Runs \a work soon on a worker.
    auto post(std::function<void()> work) -> void;
    /// Runs \a work once after \a delay unless the timer is cancelled first.
    auto after(Duration delay, std::function<void()> work) -> std::shared_ptr<Timer>;
    /// Runs \a work every \a period, never two runs at once, until the timer is cancelled.
    auto every(Duration period, std::function<void()> work) -> std::shared_ptr<Timer>;
    /// Lets running work end, drops the rest and joins the threads. Not from a worker.
    auto stop() -> void;

    [[nodiscard]] auto context() -> asio::io_context &;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lycheereach
