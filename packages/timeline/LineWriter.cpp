#include "timeline/LineWriter.h"

#include "base/SystemClock.h"

#include <algorithm>
#include <cerrno>
#include <climits>

#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace lycheereach {

namespace {

/// The mode of the file behind \a descriptor; 0 if there is none.
auto modeOf(int descriptor) -> mode_t
{
    struct stat status = {};
    return ::fstat(descriptor, &status) == 0 ? status.st_mode : 0;
}

} // namespace

LineWriter::LineWriter(int descriptor, std::size_t limitBytes)
    : descriptor_(descriptor)
    , limitBytes_(limitBytes)
    , isPipe_(S_ISFIFO(modeOf(descriptor)))
    , isSocket_(S_ISSOCK(modeOf(descriptor)))
{ }

auto LineWriter::write(const std::string &line) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    if (waiting_.size() + line.size() >= limitBytes_)
        writeReady();
    if (waiting_.size() + line.size() >= limitBytes_) {
        ++droppedLines_;
        return;
    }
    if (droppedLines_ > 0) {
        append(std::to_string(droppedLines_) + " lines are missing: the log was not read");
        droppedLines_ = 0;
    }
    append(line);
}

auto LineWriter::flush() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    writeReady();
}

auto LineWriter::finish(Duration limit) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    const auto end = readMonotonic() + limit;
    writeReady();
    while (!waiting_.empty() && readMonotonic() < end && isReady(end - readMonotonic()))
        writeReady();
}

auto LineWriter::append(const std::string &line) -> void
{
    waiting_ += line;
    waiting_ += '\n';
}

auto LineWriter::writeReady() -> void
{
    auto written = std::size_t{0};
    while (written < waiting_.size() && isReady(Duration::zero())) {
        const auto count = writeSome(waiting_.data() + written, waiting_.size() - written);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && errno != EAGAIN)
            written = waiting_.size(); // The reader is gone.
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    waiting_.erase(0, written);
}

auto LineWriter::writeSome(const char *bytes, std::size_t size) const -> std::ptrdiff_t
{
    if (isSocket_)
        return ::send(descriptor_, bytes, size, MSG_DONTWAIT | MSG_NOSIGNAL);
    // A pipe that is ready takes PIPE_BUF bytes at once.
    return ::write(descriptor_, bytes, isPipe_ ? std::min<std::size_t>(size, PIPE_BUF) : size);
}

auto LineWriter::isReady(Duration limit) const -> bool
{
    if (!isPipe_ && !isSocket_)
        return true;
    auto request = pollfd{descriptor_, POLLOUT, 0};
    return ::poll(&request, 1, static_cast<int>(toMilliseconds(limit))) > 0;
}

} // namespace lycheereach
