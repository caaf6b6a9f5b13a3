#include "transport/ConnectionLimits.h"

#include <algorithm>

namespace lycheereach {

namespace {

constexpr std::size_t heldMemoryDivisor = 4;
constexpr std::size_t connectionMemoryDivisor = 8;
/// What a connection takes beside the bytes that it holds: buffers, parser and timers.
constexpr std::size_t connectionBytes = std::size_t{16} * 1024;
constexpr std::size_t descriptorDivisor = 2;
constexpr std::size_t unreadMemoryDivisor = 4;
/// Linux keeps twice the size that is set, for its own structures, and may fill all of it with
/// data.
constexpr std::size_t receiveBufferFactor = 2;
constexpr std::size_t minReceiveBufferBytes = std::size_t{8} * 1024;
constexpr std::size_t maxReceiveBufferBytes = std::size_t{128} * 1024;

} // namespace

auto connectionLimitsFor(std::size_t memoryBytes, std::size_t descriptors) -> ConnectionLimits
{
    const auto byMemory = memoryBytes / connectionMemoryDivisor / connectionBytes;
    const auto byDescriptors = descriptors / descriptorDivisor;
    const auto connections = std::max(std::size_t{1}, std::min(byMemory, byDescriptors));
    const auto unreadBytes = memoryBytes / unreadMemoryDivisor / connections;
    return {.connections_ = connections,
            .heldBytes_ = memoryBytes / heldMemoryDivisor,
            .receiveBufferBytes_ = std::clamp(unreadBytes / receiveBufferFactor,
                                              minReceiveBufferBytes, maxReceiveBufferBytes)};
}

} // namespace lycheereach
