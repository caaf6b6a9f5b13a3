/// \file
/// \brief The tunables that an exception sets; the others stay as they are.
#pragma once

#include "base/JsonCodec.h"

#include <cstdint>
#include <optional>

namespace lycheereach {

/// The tunables that an exception sets; the others stay as they are.
struct PolicyOverride
{
    /// How often an upstream announces itself, in milliseconds.
    std::optional<std::uint32_t> announceEveryMs_;
    /// An upstream silent for this long is taken for dead, in milliseconds.
    std::optional<std::uint32_t> silenceTimeoutMs_;
    /// Requests at once at a cold upstream that does not say what it can carry.
    std::optional<std::uint32_t> coldLimit_;
    /// Requests at once at a warm upstream that does not say what it can carry.
    std::optional<std::uint32_t> warmLimit_;
    /// Completed requests for each step of the limit on the way to warm.
    std::optional<std::uint32_t> rampCompletions_;
    /// Instances that may load weights at once over the fleet.
    std::optional<std::uint32_t> loadsAtOnce_;
    /// Whether a group may span fabric domains.
    std::optional<bool> acrossDomains_;
    /// The deadline of a request that names none, in milliseconds.
    std::optional<std::uint32_t> requestTimeoutMs_;
    /// Time to connect to an upstream, in milliseconds.
    std::optional<std::uint32_t> connectTimeoutMs_;
    /// Silence allowed before the first byte of an answer, in milliseconds.
    std::optional<std::uint32_t> firstByteTimeoutMs_;
    /// Silence allowed within a stream, in milliseconds.
    std::optional<std::uint32_t> streamIdleTimeoutMs_;
    /// Attempts at one request that may be repeated.
    std::optional<std::uint32_t> attemptLimit_;
    /// Retries allowed for each hundred first attempts.
    std::optional<std::uint32_t> retryPercent_;
    /// Requests that wait at one entry for one pool.
    std::optional<std::uint32_t> queueLimit_;
    /// The longest wait in the queue, in milliseconds.
    std::optional<std::uint32_t> queueTimeoutMs_;
    /// A permit not started within this time is void, in milliseconds.
    std::optional<std::uint32_t> permitTtlMs_;

    auto operator==(const PolicyOverride &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{
            optionalField("announceEveryMs", &PolicyOverride::announceEveryMs_),
            optionalField("silenceTimeoutMs", &PolicyOverride::silenceTimeoutMs_),
            optionalField("coldLimit", &PolicyOverride::coldLimit_),
            optionalField("warmLimit", &PolicyOverride::warmLimit_),
            optionalField("rampCompletions", &PolicyOverride::rampCompletions_),
            optionalField("loadsAtOnce", &PolicyOverride::loadsAtOnce_),
            optionalField("acrossDomains", &PolicyOverride::acrossDomains_),
            optionalField("requestTimeoutMs", &PolicyOverride::requestTimeoutMs_),
            optionalField("connectTimeoutMs", &PolicyOverride::connectTimeoutMs_),
            optionalField("firstByteTimeoutMs", &PolicyOverride::firstByteTimeoutMs_),
            optionalField("streamIdleTimeoutMs", &PolicyOverride::streamIdleTimeoutMs_),
            optionalField("attemptLimit", &PolicyOverride::attemptLimit_),
            optionalField("retryPercent", &PolicyOverride::retryPercent_),
            optionalField("queueLimit", &PolicyOverride::queueLimit_),
            optionalField("queueTimeoutMs", &PolicyOverride::queueTimeoutMs_),
            optionalField("permitTtlMs", &PolicyOverride::permitTtlMs_)};
    }
};

} // namespace lycheereach
