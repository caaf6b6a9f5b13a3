/// \file
/// \brief Keeps hooks from being called after their owner is gone.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace lycheereach {

/// Open until close(), which waits for the calls that are inside. Thread-safe.
class HookGate
{
public:
    /// Runs \a call unless the gate is closed; says whether it ran.
    template <typename Call>
    auto run(const Call &call) -> bool
    {
        if (!enter())
            return false;
        const auto entered = Entered(*this);
        call();
        return true;
    }

    /// Closes the gate and waits for the calls inside. Not from within run().
    auto close() -> void;

private:
    /// Leaves the gate at the end of its scope, also when the call throws.
    class Entered
    {
    public:
        explicit Entered(HookGate &gate)
            : gate_(gate)
        { }
        ~Entered() { gate_.leave(); }
        Entered(const Entered &) = delete;
        auto operator=(const Entered &) -> Entered & = delete;

    private:
        HookGate &gate_;
    };

    auto enter() -> bool;
    auto leave() -> void;

    std::mutex mutex_;
    std::condition_variable empty_;
    std::size_t inside_ = 0;
    bool closed_ = false;
};

} // namespace lycheereach
