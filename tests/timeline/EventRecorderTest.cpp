#include "timeline/EventRecorder.h"

#include <atomic>
#include <filesystem>
#include <fstream>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(EventRecorder)
{
    std::filesystem::path folder_;
    HybridClock clock_ = HybridClock([] { return WallTime(std::chrono::microseconds(1000)); });
    EventRecorderSettings settings_;

    auto setup()->void override
    {
        auto name = std::string("/tmp/lycheereach-timeline-XXXXXX");
        folder_ = mkdtemp(name.data());
        settings_.process_ = "e1";
        settings_.eventFile_ = (folder_ / "events.jsonl").string();
    }

    auto teardown()->void override
    {
        std::filesystem::remove_all(folder_);
    }

    static auto requestReceived(const std::string &id)->Event
    {
        return Event{EventNumber::RequestReceived, {{"request", id}}};
    }
};

TEST(EventRecorder, anEvent_recordedAndFlushed_isInMemoryFileAndTextLog)
{
    auto lines = std::vector<std::string>{};
    auto recorder
        = EventRecorder(settings_, clock_, [&](const auto &line) { lines.push_back(line); });
    recorder.record(requestReceived("r-1"));
    CHECK(lines.empty());
    CHECK(!recorder.flush());
    const auto inFile = readEventFile(*settings_.eventFile_);
    CHECK(inFile.ok());
    CHECK(*inFile == recorder.recent({}));
    LONGS_EQUAL(1, inFile->size());
    STRCMP_CONTAINS("LR-1701  request-received        request=r-1", lines.at(0).c_str());
}

TEST(EventRecorder, moreEventsThanRecentLimit_recorded_keepsTheNewest)
{
    settings_.recentLimit_ = 2;
    auto recorder = EventRecorder(settings_, clock_, {});
    for (const auto *id : {"r-1", "r-2", "r-3"})
        recorder.record(requestReceived(id));
    const auto recent = recorder.recent({});
    LONGS_EQUAL(2, recent.size());
    STRCMP_EQUAL("r-2", recent.front().attributes_.at("request").c_str());
}

TEST(EventRecorder, moreEventsThanPendingLimit_recorded_areCountedAsDropped)
{
    settings_.pendingLimit_ = 1;
    auto recorder = EventRecorder(settings_, clock_, {});
    recorder.record(requestReceived("r-1"));
    recorder.record(requestReceived("r-2"));
    LONGS_EQUAL(1, recorder.droppedEventCount());
    LONGS_EQUAL(2, recorder.recent({}).size());
}

TEST(EventRecorder, aFileThatCantBeWritten_flushed_givesItsError)
{
    settings_.eventFile_ = "/nowhere/events.jsonl";
    auto recorder = EventRecorder(settings_, clock_, {});
    recorder.record(requestReceived("r-1"));
    CHECK(recorder.flush() == std::errc::no_such_file_or_directory);
}

TEST(EventRecorder, aRecorder_destroyed_flushesPendingEvents)
{
    {
        auto recorder = EventRecorder(settings_, clock_, {});
        recorder.record(requestReceived("r-1"));
    }
    LONGS_EQUAL(1, readEventFile(*settings_.eventFile_)->size());
}

TEST(EventRecorder, aTornLastLine_read_isSkipped)
{
    {
        auto recorder = EventRecorder(settings_, clock_, {});
        recorder.record(requestReceived("r-1"));
    }
    std::ofstream(*settings_.eventFile_, std::ios::app) << "{\"at\":";
    LONGS_EQUAL(1, readEventFile(*settings_.eventFile_)->size());
}

TEST(EventRecorder, aMalformedMiddleLine_read_failsWithItsLineNumber)
{
    std::ofstream(*settings_.eventFile_) << "{\"at\":\n{}\n";
    STRCMP_CONTAINS("events.jsonl:1",
                    readEventFile(*settings_.eventFile_).failure().message_.c_str());
}

TEST(EventRecorder, severalThreads_recordAndFlush_loseNothingAndKeepTheOrder)
{
    constexpr auto threadCount = 4;
    constexpr auto eventsEach = 500;
    {
        auto recorder = EventRecorder(settings_, clock_, {});
        auto running = std::atomic<int>(threadCount);
        auto threads = std::vector<std::thread>{};
        for (auto i = 0; i < threadCount; ++i) {
            threads.emplace_back([&] {
                for (auto n = 0; n < eventsEach; ++n)
                    recorder.record(requestReceived("r"));
                --running;
            });
        }
        threads.emplace_back([&] {
            while (running > 0) {
                recorder.flush();
                std::this_thread::yield();
            }
        });
        for (auto &thread : threads)
            thread.join();
    }
    const auto events = readEventFile(*settings_.eventFile_);
    LONGS_EQUAL(threadCount * eventsEach, events->size());
    const auto isEarlier = [](const auto &left, const auto &right) { return left.at_ < right.at_; };
    CHECK(std::is_sorted(events->begin(), events->end(), isEarlier));
}
