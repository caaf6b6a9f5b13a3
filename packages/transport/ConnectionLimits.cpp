#include "transport/ConnectionLimits.h"

#include <algorithm>

namespace lycheereach {

namespace {

constexpr std::size_t heldMemoryDivisor = 4;
constexpr std::size_t connectionMemoryDivisor = 8;
/// What a connection takes beside the bytes that it holds: buffers, parser and timers.
constexpr std::size_t connectionBytes = std::size_t{16} * 1024;
constexpr std::size_t descriptorDivisor = 2;

} // namespace

auto connectionLimitsFor(std::size_t memoryBytes, std::size_t descriptors) -> ConnectionLimits
{
    const auto byMemory = memoryBytes / connectionMemoryDivisor / connectionBytes;
    const auto byDescriptors = descriptors / descriptorDivisor;
    return {.connections_ = std::max(std::size_t{1}, std::min(byMemory, byDescriptors)),
            .heldBytes_ = memoryBytes / heldMemoryDivisor};
}

} // namespace lycheereach
