/// \file
/// \brief What one connection of a client holds.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace lycheereach {

class ConnectionRegistry;

/// What one connection holds; counts in its ConnectionRegistry until it is destroyed. Thread-safe.
class ConnectionUsage : public std::enable_shared_from_this<ConnectionUsage>
{
public:
    /// Something that counts as held until it is destroyed.
    using Hold = std::shared_ptr<void>;

    ConnectionUsage(std::shared_ptr<ConnectionRegistry> registry, std::uint64_t id);
    ~ConnectionUsage();
    ConnectionUsage(const ConnectionUsage &) = delete;
    auto operator=(const ConnectionUsage &) -> ConnectionUsage & = delete;

    auto recordReceived() -> void;
    auto recordSent() -> void;
    /// From now on the connection is closed when it has no request for \a idleTimeout.
    auto limitIdleTime(Duration idleTimeout) -> void;
    /// The first bytes of a request have arrived; its head is due within \a headTimeout. False when
    /// the connection is being closed, so that nothing more may be taken from it.
    auto beginRequest(Duration headTimeout) -> bool;
    /// The head of the request is complete; each part of its body is due within
    /// \a bodySilenceTimeout of the one before.
    auto endHead(Duration bodySilenceTimeout) -> void;
    /// Sets the bytes that the request holds while it is received; false, and nothing changes, when
    /// there is no room for them.
    auto tryHoldInput(std::size_t bytes) -> bool;
    /// Holds nothing of the request any more.
    auto dropInput() -> void;
    /// The request is complete; its bytes stay held as long as the result.
    auto endRequest() -> Hold;
    /// A request is being handled as long as the result lives.
    auto beginResponse() -> Hold;
    /// Holds \a bytes of a response that is being sent.
    auto holdOutput(std::size_t bytes) -> Hold;
    /// Never closes the connection to make room for others.
    auto exempt() -> void;
    [[nodiscard]] auto registry() const -> ConnectionRegistry & { return *registry_; }

private:
    /// Runs \a change with the connection's record under the lock.
    template <typename Change>
    auto withRecord(Change change) -> void;

    std::shared_ptr<ConnectionRegistry> registry_;
    std::uint64_t id_;
};

} // namespace lycheereach
