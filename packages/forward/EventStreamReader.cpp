#include "forward/EventStreamReader.h"

#include "requests/ServerSentEvent.h"

namespace lycheereach {

EventStreamReader::EventStreamReader(std::optional<std::uint64_t> lastEventId)
    : lastEventId_(lastEventId)
{ }

auto EventStreamReader::feed(std::string_view bytes) -> std::string
{
    pending_ += bytes;
    auto whole = std::string{};
    auto unread = std::string_view(pending_);
    while (const auto length = hasForeignBytes_ ? 0 : firstEventLength(unread)) {
        const auto event = unread.substr(0, length);
        hasForeignBytes_ = !isServerSentEvent(event);
        if (hasForeignBytes_)
            break;
        const auto id = parseServerSentEvent(event).id_;
        const auto isRepeated = id && lastEventId_ && *id <= *lastEventId_;
        if (!isRepeated)
            whole += event;
        if (id && !isRepeated)
            lastEventId_ = id;
        hasEventWithoutId_ = hasEventWithoutId_ || !id;
        unread.remove_prefix(length);
    }
    pending_ = std::string(unread);
    return whole;
}

auto EventStreamReader::beginAttempt() -> void
{
    pending_.clear();
    hasForeignBytes_ = false;
}

} // namespace lycheereach
