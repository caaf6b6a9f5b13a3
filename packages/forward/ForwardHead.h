/// \file
/// \brief Status and headers of an upstream's answer to a forwarded request.
#pragma once

#include "base/Ids.h"
#include "transport/HttpHeaders.h"

#include <cstdint>
#include <optional>

namespace lycheereach {

/// How many requests an upstream says it has.
struct ReportedLoad
{
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    std::uint32_t slots_ = 0;

    auto operator==(const ReportedLoad &) const -> bool = default;
};

/// Status and headers of an upstream's answer to a forwarded request, as the dialect read them.
struct ForwardHead
{
    std::uint16_t status_ = 0;
    /// What the caller gets; without the fields that concern one connection only.
    HttpHeaders headers_;
    /// As the upstream echoed it.
    RequestId request_;
    /// Whether the upstream says that it did not run the request and never will.
    bool notRun_ = false;
    /// Whether the upstream is another instance than the one that was meant.
    bool isOtherInstance_ = false;
    /// Whether the answer bears the upstream's signature.
    bool isSigned_ = false;
    std::optional<ReportedLoad> load_;

    auto operator==(const ForwardHead &) const -> bool = default;
};

} // namespace lycheereach
