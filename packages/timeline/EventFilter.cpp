#include "timeline/EventFilter.h"

namespace lycheereach {

namespace {

/// Whether attribute \a key equals \a wanted; without \a wanted every event matches.
auto attributeMatches(const RecordedEvent &event, const char *key,
                      const std::optional<std::string> &wanted) -> bool
{
    if (!wanted)
        return true;
    const auto found = event.attributes_.find(key);
    return found != event.attributes_.end() && found->second == *wanted;
}

/// The request id that a caller chose also matches the ids made of it, a dot and a suffix.
auto requestMatches(const RecordedEvent &event, const std::optional<std::string> &wanted) -> bool
{
    if (attributeMatches(event, "request", wanted))
        return true;
    const auto found = event.attributes_.find("request");
    return found != event.attributes_.end() && found->second.starts_with(*wanted + ".");
}

} // namespace

auto matches(const EventFilter &filter, const RecordedEvent &event) -> bool
{
    if (filter.sinceMicroseconds_ && event.at_.wallMicroseconds_ < *filter.sinceMicroseconds_)
        return false;
    return requestMatches(event, filter.request_) && attributeMatches(event, "group", filter.group_)
        && attributeMatches(event, "upstream", filter.upstream_);
}

} // namespace lycheereach
