/// \file
/// \brief One entry of the time line.
#pragma once

#include "base/EventCatalogue.h"
#include "base/HybridTime.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lycheereach {

/// A numbered event with its attributes. The customary attribute keys are `request`, `attempt`,
/// `group`, `upstream`, `entry`, `zone`, `operation`, `version` and `reason`.
struct Event
{
    EventNumber number_ = EventNumber::ProcessStarted;
    std::map<std::string, std::string> attributes_;

    auto operator==(const Event &) const -> bool = default;
};

/// Takes an event; safe to call from any thread.
using EventSink = std::function<void(const Event &)>;

/// Runs \a work and records the time that it took under \a kind.
using WorkMeasure = std::function<void(std::string_view kind, const std::function<void()> &work)>;

/// An Event as one process recorded it.
struct RecordedEvent
{
    HybridTime at_;
    std::string process_;
    /// The number as printed, `LR-1204`.
    std::string number_;
    std::string name_;
    std::map<std::string, std::string> attributes_;

    auto operator==(const RecordedEvent &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{
            field("at", &RecordedEvent::at_), field("process", &RecordedEvent::process_),
            field("number", &RecordedEvent::number_), field("name", &RecordedEvent::name_),
            field("attributes", &RecordedEvent::attributes_)};
    }
};

/// \a event with its stamp and process.
auto record(const Event &event, const HybridTime &at, const std::string &process) -> RecordedEvent;

} // namespace lycheereach
