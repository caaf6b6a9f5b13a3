/// \file
/// \brief How long the engines of a profile take for tokens.
#pragma once

#include "base/JsonCodec.h"

#include <cstdint>

namespace lycheereach {

/// How long the engines of a profile take for tokens, as their declaration says; all 0 when it does
/// not.
struct EngineTimes
{
    /// One step, which writes a token of every request that runs, in milliseconds.
    double stepMs_ = 0;
    /// What each request that runs adds to a step, in milliseconds.
    double perRequestMs_ = 0;
    /// Tokens of prompts read in a second.
    double readPerSecond_ = 0;

    auto operator==(const EngineTimes &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("stepMs", &EngineTimes::stepMs_),
                          field("perRequestMs", &EngineTimes::perRequestMs_),
                          field("readPerSecond", &EngineTimes::readPerSecond_)};
    }

    /// Seconds of a group with \a slots places, all of them taken, that a request takes with
    /// \a prompt tokens to read and \a answer tokens to write; 1 when the times are unknown.
    [[nodiscard]] auto groupSeconds(std::uint64_t prompt, std::uint64_t answer,
                                    std::uint32_t slots) const -> double
    {
        if (stepMs_ <= 0 || readPerSecond_ <= 0 || slots == 0)
            return 1;
        constexpr auto msPerSecond = 1000.0;
        const auto write = (stepMs_ / slots + perRequestMs_) / msPerSecond;
        return static_cast<double>(prompt) / readPerSecond_ + static_cast<double>(answer) * write;
    }
};

} // namespace lycheereach
