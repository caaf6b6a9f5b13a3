#include "transport/WorkerPool.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace lycheereach {

namespace {

/// The part of a timer that a pending wait keeps alive.
class TimerCore : public std::enable_shared_from_this<TimerCore>
{
public:
    TimerCore(asio::io_context &context, std::function<void()> work, bool repeats)
        : timer_(context)
        , work_(std::move(work))
        , repeats_(repeats)
    { }

    auto arm(Duration delay) -> void
    {
        const auto lock = std::scoped_lock(mutex_);
        if (cancelled_)
            return;
        timer_.expires_after(delay);
        timer_.async_wait([self = shared_from_this(), delay](const std::error_code &error) {
            if (!error)
                self->fire(delay);
        });
    }

    auto cancel() -> void
    {
        const auto lock = std::scoped_lock(mutex_);
        cancelled_ = true;
        timer_.cancel();
    }

private:
    auto fire(Duration delay) -> void
    {
        if (isCancelled())
            return;
        work_();
        if (repeats_)
            arm(delay);
    }

    auto isCancelled() -> bool
    {
        const auto lock = std::scoped_lock(mutex_);
        return cancelled_;
    }

    std::mutex mutex_;
    asio::steady_timer timer_;
    std::function<void()> work_;
    bool repeats_;
    bool cancelled_ = false;
};

/// What the owner of a timer holds.
class TimerHandle final : public Timer
{
public:
    explicit TimerHandle(std::shared_ptr<TimerCore> core)
        : core_(std::move(core))
    { }
    ~TimerHandle() override { core_->cancel(); }
    TimerHandle(const TimerHandle &) = delete;
    auto operator=(const TimerHandle &) -> TimerHandle & = delete;

    auto cancel() -> void override { core_->cancel(); }

private:
    std::shared_ptr<TimerCore> core_;
};

} // namespace

class WorkerPool::Impl
{
public:
    explicit Impl(std::size_t threads)
        : guard_(asio::make_work_guard(context_))
    {
        for (std::size_t index = 0; index < threads; ++index)
            threads_.emplace_back([this] { context_.run(); });
    }

    auto startTimer(Duration delay, std::function<void()> work, bool repeats)
        -> std::shared_ptr<Timer>
    {
        auto core = std::make_shared<TimerCore>(context_, std::move(work), repeats);
        core->arm(delay);
        return std::make_shared<TimerHandle>(std::move(core));
    }

    auto stop() -> void
    {
        context_.stop();
        for (auto &thread : threads_) {
            if (thread.joinable())
                thread.join();
        }
    }

    asio::io_context context_;

private:
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::vector<std::thread> threads_;
};

WorkerPool::WorkerPool(std::size_t threads)
    : impl_(std::make_unique<Impl>(threads))
{ }

WorkerPool::~WorkerPool()
{
    stop();
}

auto WorkerPool::post(std::function<void()> work) -> void
{
    asio::post(impl_->context_, std::move(work));
}

auto WorkerPool::after(Duration delay, std::function<void()> work) -> std::shared_ptr<Timer>
{
    return impl_->startTimer(delay, std::move(work), false);
}

auto WorkerPool::every(Duration period, std::function<void()> work) -> std::shared_ptr<Timer>
{
    return impl_->startTimer(period, std::move(work), true);
}

auto WorkerPool::stop() -> void
{
    impl_->stop();
}

auto WorkerPool::context() -> asio::io_context &
{
    return impl_->context_;
}

} // namespace lycheereach
