#include "timeline/LineWriter.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <string>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

namespace {

constexpr auto limitBytes = std::size_t{10000};

} // namespace

TEST_GROUP(LineWriter)
{
    std::array<int, 2> ends_ = {-1, -1};

    auto teardown()->void override
    {
        for (const auto end : ends_) {
            if (end >= 0)
                ::close(end);
        }
    }

    /// Reads what is there.
    auto readAll()->std::string
    {
        ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        auto text = std::string{};
        auto part = std::array<char, 4096>{};
        auto count = ::read(ends_[0], part.data(), part.size());
        for (; count > 0; count = ::read(ends_[0], part.data(), part.size()))
            text.append(part.data(), static_cast<std::size_t>(count));
        return text;
    }

    /// Writes lines until far more is waiting than the descriptor and the writer hold.
    static auto overfill(LineWriter & writer)->void
    {
        for (auto line = 0; line < 100'000; ++line) {
            writer.write("line " + std::to_string(line));
            writer.flush();
        }
    }

    /// Checks that a writer to ends_[1], which nobody reads, goes on, and tells what is missing.
    auto checkUnread()->void
    {
        auto writer = LineWriter(ends_[1], limitBytes);
        overfill(writer);
        auto text = readAll();
        CHECK(text.starts_with("line 0\nline 1\n"));
        for (auto round = 0; round < 100; ++round) {
            writer.flush();
            text += readAll();
        }
        writer.write("last");
        writer.finish(1s);
        text += readAll();
        CHECK(text.find(" lines are missing: the log was not read\nlast\n") != std::string::npos);
    }
};

/// Guards against a process that hangs, with all its requests, because nobody reads its log.
TEST(LineWriter, aPipeThatNobodyReads_written_doesNotWaitAndTellsWhatIsMissing)
{
    CHECK_EQUAL(0, ::pipe(ends_.data()));
    checkUnread();
}

TEST(LineWriter, aSocketThatNobodyReads_written_doesNotWaitAndTellsWhatIsMissing)
{
    CHECK_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM, 0, ends_.data()));
    checkUnread();
}

TEST(LineWriter, anUnreadPipe_finished_waitsNoLongerThanTheLimit)
{
    CHECK_EQUAL(0, ::pipe(ends_.data()));
    auto writer = LineWriter(ends_[1], limitBytes);
    overfill(writer);
    const auto begin = std::chrono::steady_clock::now();
    writer.finish(20ms);
    CHECK(std::chrono::steady_clock::now() - begin < 1s);
    CHECK(!readAll().empty());
}

TEST(LineWriter, aFile_written_holdsAllLinesInOrder)
{
    auto *file = std::tmpfile();
    CHECK(file != nullptr);
    auto writer = LineWriter(::fileno(file), limitBytes);
    for (auto line = 0; line < 3000; ++line)
        writer.write("line " + std::to_string(line));
    writer.flush();
    std::rewind(file);
    auto text = std::array<char, 64>{};
    for (auto line = 0; line < 3000; ++line) {
        CHECK(std::fgets(text.data(), text.size(), file) != nullptr);
        STRCMP_EQUAL(("line " + std::to_string(line) + "\n").c_str(), text.data());
    }
    std::fclose(file);
}
