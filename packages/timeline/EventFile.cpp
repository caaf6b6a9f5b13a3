#include "timeline/EventFile.h"

#include "base/JsonCodec.h"

#include <cerrno>
#include <fstream>
#include <utility>

namespace lycheereach {

EventFile::EventFile(std::string path)
    : path_(std::move(path))
{ }

auto EventFile::append(const std::vector<RecordedEvent> &events) -> std::error_code
{
    errno = 0;
    auto stream = std::ofstream(path_, std::ios::app | std::ios::binary);
    for (const auto &event : events)
        stream << toJsonText(encode(event)) << '\n';
    stream.flush();
    if (stream)
        return {};
    return errno != 0 ? std::error_code(errno, std::generic_category())
                      : make_error_code(Error::DiskFailed);
}

auto readEventFile(const std::string &path) -> Result<std::vector<RecordedEvent>>
{
    auto stream = std::ifstream(path, std::ios::binary);
    if (!stream)
        return Failure{Error::NotFound, path + ": can't be read"};
    auto events = std::vector<RecordedEvent>{};
    auto line = std::string{};
    auto lineNumber = 0;
    while (std::getline(stream, line)) {
        ++lineNumber;
        const auto source = path + ":" + std::to_string(lineNumber);
        const auto event = decodeText<RecordedEvent>(line, source);
        const auto isTorn = stream.eof();
        if (!event && !isTorn)
            return event.failure();
        if (event)
            events.push_back(*event);
    }
    return events;
}

} // namespace lycheereach
