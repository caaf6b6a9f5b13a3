/// \file
/// \brief Filter for events of the timeline.
#pragma once

#include "base/Event.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheereach {

/// Conditions that an event must all meet; an absent condition matches every event.
struct EventFilter
{
    std::optional<std::string> request_;
    std::optional<std::string> group_;
    std::optional<std::string> upstream_;
    /// Earliest wall time, in microseconds since 1970.
    std::optional<std::int64_t> sinceMicroseconds_;

    auto operator==(const EventFilter &) const -> bool = default;
};

/// Whether \a event meets all conditions of \a filter.
auto matches(const EventFilter &filter, const RecordedEvent &event) -> bool;

} // namespace lycheereach
