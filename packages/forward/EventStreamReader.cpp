#include "forward/EventStreamReader.h"

#include "requests/ServerSentEvent.h"

namespace lycheereach {

EventStreamReader::EventStreamReader(std::optional<std::uint64_t> lastEventId)
    : last_(lastEventId)
{ }

auto EventStreamReader::take(std::string_view bytes) -> std::string
{
    pending_ += bytes;
    auto whole = std::string{};
    auto rest = std::string_view(pending_);
    while (const auto length = firstEventLength(rest)) {
        const auto text = rest.substr(0, length);
        const auto id = parseServerSentEvent(text).id_;
        const auto isRepeated = id && last_ && *id <= *last_;
        if (!isRepeated)
            whole += text;
        if (id && !isRepeated)
            last_ = id;
        hasUnnumbered_ = hasUnnumbered_ || !id;
        rest.remove_prefix(length);
    }
    pending_ = std::string(rest);
    return whole;
}

auto EventStreamReader::beginRun() -> void
{
    pending_.clear();
}

} // namespace lycheereach
