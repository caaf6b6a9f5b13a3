#include "base/Event.h"

namespace lycheereach {

auto record(const Event &event, const HybridTime &at, const std::string &process) -> RecordedEvent
{
    const auto &entry = catalogueEntry(event.number_);
    return RecordedEvent{at, process, printedNumber(event.number_), entry.name_, event.attributes_};
}

} // namespace lycheereach
