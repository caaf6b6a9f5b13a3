/// \file
/// \brief The request that is being received on a connection.
#pragma once

#include "transport/HttpBody.h"
#include "transport/HttpInputLimits.h"
#include "transport/HttpRefusal.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lycheereach {

class ConnectionUsage;

/// Reads the limits that are in force.
using HttpInputLimitsSource = std::function<HttpInputLimits()>;

/// The request that is being received on a connection: counts what it holds and gathers its body.
/// A request that breaks a limit is refused, and nothing more is taken from the connection. Not
/// thread-safe.
class HttpInput
{
public:
    HttpInput(std::shared_ptr<ConnectionUsage> usage, HttpInputLimitsSource limits);

    // Each returns false when the request is refused.
    auto begin() -> bool;
    /// Takes a part of the target, or of the name or value of a header or trailer field.
    auto takeHead(std::size_t bytes) -> bool;
    /// Another header field begins.
    auto beginField() -> bool;
    /// The head is complete; \a bodyBytes is what it announces, nothing for a chunked body.
    auto endHead(std::optional<std::uint64_t> bodyBytes) -> bool;
    auto takeBody(std::string_view part) -> bool;

    /// The request is complete.
    auto end() -> void;
    /// The body of the request that end() has completed, once.
    auto takeCompleted() -> HttpBody;
    [[nodiscard]] auto refusal() const -> std::optional<HttpRefusal> { return refusal_; }
    [[nodiscard]] auto usage() const -> const std::shared_ptr<ConnectionUsage> & { return usage_; }
    /// The limits for the request that is received, or the last one.
    [[nodiscard]] auto limits() const -> const HttpInputLimits & { return limits_; }

private:
    auto refuse(HttpRefusal refusal) -> bool;
    /// Makes room for a body of \a bytes.
    auto grow(std::size_t bytes) -> bool;

    std::shared_ptr<ConnectionUsage> usage_;
    HttpInputLimitsSource limitsSource_;
    HttpInputLimits limits_;
    std::size_t headBytes_ = 0;
    std::size_t fields_ = 0;
    /// What the body needs at most.
    std::size_t largestBody_ = 0;
    std::string body_;
    HttpBody completed_;
    std::optional<HttpRefusal> refusal_;
};

} // namespace lycheereach
