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

/// A caller's id of a request matches the ids that begin with it and a dot.
auto isOfRequest(const RecordedEvent &event, const std::optional<std::string> &wanted) -> bool
{
    if (hasAttribute(event, "request", wanted))
        return true;
    const auto found = event.attributes_.find("request");
    return found != event.attributes_.end() && found->second.starts_with(*wanted + ".");
}

} // namespace

auto matches(const EventFilter &filter, const RecordedEvent &event) -> bool
{
    if (filter.sinceMicroseconds_ && event.at_.wallMicroseconds_ < *filter.sinceMicroseconds_)
        return false;
    return isOfRequest(event, filter.request_) && hasAttribute(event, "group", filter.group_)
        && hasAttribute(event, "upstream", filter.upstream_);
}

} // namespace lycheereach
