/// \file
/// \brief Cold targets whose permits are granted by the real PermitTable.
#pragma once

#include "groups/EventQueue.h"
#include "routing/PermitTable.h"

#include <random>
#include <utility>
#include <vector>

namespace lycheereach {

constexpr auto coldTargets = std::size_t{16};
constexpr auto coldEntries = std::size_t{9};
constexpr auto coldCapacity = 4U;

/// Entries that ask the PermitTable of one leaseholder, with messages that take up to 3 ms and
/// loads that they hear of every 100 ms.
class PermitLoad
{
public:
    explicit PermitLoad(std::uint64_t seed);

    /// Requests in a second within the limit and above it, over a minute.
    auto run() -> std::pair<double, double>;

private:
    static auto entry(std::size_t number) -> EntryId;
    static auto group(std::size_t number) -> GroupId;
    auto addTarget(std::size_t number) -> void;
    auto delay() -> Duration;
    auto tick() -> void;
    auto arrive() -> void;
    auto start(std::size_t target, const Permit &permit) -> void;

    std::mt19937_64 random_;
    EventQueue queue_;
    FleetState state_;
    PermitTable table_;
    std::vector<std::uint32_t> running_ = std::vector<std::uint32_t>(coldTargets, 0);
    std::vector<std::uint32_t> reported_ = running_;
    std::uint64_t attempts_ = 0;
    double carried_ = 0;
    double excess_ = 0;
};

} // namespace lycheereach
