#include "transport/HookGate.h"

namespace lycheereach {

auto HookGate::enter() -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    if (closed_)
        return false;
    ++inside_;
    return true;
}

auto HookGate::leave() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    --inside_;
    if (inside_ == 0)
        empty_.notify_all();
}

auto HookGate::close() -> void
{
    auto lock = std::unique_lock(mutex_);
    closed_ = true;
    empty_.wait(lock, [this] { return inside_ == 0; });
}

} // namespace lycheereach
