#include "timeline/EventFilter.h"

namespace lycheereach {

namespace {

auto hasAttribute(const RecordedEvent &event, const char *key,
                  const std::optional<std::string> &wanted) -> bool
{
    if (!wanted)
        return true;
    const auto found = event.attributes_.find(key);
    return found != event.attributes_.end() && found->second == *wanted;
}

} // namespace

auto matches(const EventFilter &filter, const RecordedEvent &event) -> bool
{
    if (filter.sinceMicroseconds_ && event.at_.wallMicroseconds_ < *filter.sinceMicroseconds_)
        return false;
    return hasAttribute(event, "request", filter.request_)
        && hasAttribute(event, "group", filter.group_)
        && hasAttribute(event, "upstream", filter.upstream_);
}

} // namespace lycheereach
