/// \file
/// \brief Choosing events of the time line.
#pragma once

#include "base/Event.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheereach {

/// Which events to show; what is left out matches every event.
struct EventFilter
{
    std::optional<std::string> request_;
    std::optional<std::string> group_;
    std::optional<std::string> upstream_;
    /// Wall time in microseconds since 1970.
    std::optional<std::int64_t> sinceMicroseconds_;

    auto operator==(const EventFilter &) const -> bool = default;
};

/// Whether \a event is one that \a filter asks for.
auto matches(const EventFilter &filter, const RecordedEvent &event) -> bool;

} // namespace lycheereach
