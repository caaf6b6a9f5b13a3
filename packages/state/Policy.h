/// \file
/// \brief The tunables in force for one upstream, pool or zone.
#pragma once

#include "base/JsonCodec.h"

#include <cstdint>

namespace lycheereach {

/// The tunables in force for one upstream, pool or zone.
struct Policy
{
    /// How often an upstream announces itself, in milliseconds.
    std::uint32_t announceEveryMs_ = 500;
    /// An upstream silent for this long is taken for dead, in milliseconds.
    std::uint32_t silenceTimeoutMs_ = 2000;
    /// Requests at once at a cold upstream that does not say what it can carry.
    std::uint32_t coldLimit_ = 2;
    /// Requests at once at a warm upstream that does not say what it can carry.
    std::uint32_t warmLimit_ = 16;
    /// Completed requests for each step of the limit on the way to warm.
    std::uint32_t rampCompletions_ = 4;
    /// Instances that may load weights at once over the fleet.
    std::uint32_t loadsAtOnce_ = 8;
    /// Whether a group may span fabric domains.
    bool acrossDomains_ = false;
    /// The deadline of a request that names none, in milliseconds.
    std::uint32_t requestTimeoutMs_ = 60000;
    /// Time to connect to an upstream, in milliseconds.
    std::uint32_t connectTimeoutMs_ = 1000;
    /// Silence allowed before the first byte of an answer, in milliseconds.
    std::uint32_t firstByteTimeoutMs_ = 10000;
    /// Silence allowed within a stream, in milliseconds.
    std::uint32_t streamIdleTimeoutMs_ = 3000;
    /// Attempts at one request that may be repeated.
    std::uint32_t attemptLimit_ = 3;
    /// Retries allowed for each hundred first attempts.
    std::uint32_t retryPercent_ = 20;
    /// Requests that wait at one entry for one pool.
    std::uint32_t queueLimit_ = 512;
    /// The longest wait in the queue, in milliseconds.
    std::uint32_t queueTimeoutMs_ = 10000;
    /// A permit not started within this time is void, in milliseconds.
    std::uint32_t permitTtlMs_ = 1000;

    auto operator==(const Policy &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{optionalField("announceEveryMs", &Policy::announceEveryMs_),
                          optionalField("silenceTimeoutMs", &Policy::silenceTimeoutMs_),
                          optionalField("coldLimit", &Policy::coldLimit_),
                          optionalField("warmLimit", &Policy::warmLimit_),
                          optionalField("rampCompletions", &Policy::rampCompletions_),
                          optionalField("loadsAtOnce", &Policy::loadsAtOnce_),
                          optionalField("acrossDomains", &Policy::acrossDomains_),
                          optionalField("requestTimeoutMs", &Policy::requestTimeoutMs_),
                          optionalField("connectTimeoutMs", &Policy::connectTimeoutMs_),
                          optionalField("firstByteTimeoutMs", &Policy::firstByteTimeoutMs_),
                          optionalField("streamIdleTimeoutMs", &Policy::streamIdleTimeoutMs_),
                          optionalField("attemptLimit", &Policy::attemptLimit_),
                          optionalField("retryPercent", &Policy::retryPercent_),
                          optionalField("queueLimit", &Policy::queueLimit_),
                          optionalField("queueTimeoutMs", &Policy::queueTimeoutMs_),
                          optionalField("permitTtlMs", &Policy::permitTtlMs_)};
    }
};

} // namespace lycheereach
