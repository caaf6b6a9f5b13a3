#include "timeline/WorkMeter.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

TEST_GROUP(WorkMeter)
{
    MonotonicTime now_{100s};
    std::vector<Event> events_;
    WorkMeter meter_{100ms, [this](const Event &event) { events_.push_back(event); },
                     [this] { return now_; }};

    auto work(std::string_view kind, Duration time)->void
    {
        meter_.measure(kind, [this, time] { now_ += time; });
    }
};

TEST(WorkMeter, severalRuns_areAddedUpByKind)
{
    work("apply", 10ms);
    work("apply", 30ms);
    work("tick", 1ms);
    const auto totals = meter_.totals();
    CHECK((totals.at("apply") == WorkTotals{2, 40ms, 30ms}));
    CHECK((totals.at("tick") == WorkTotals{1, 1ms, 1ms}));
    CHECK(events_.empty());
}

TEST(WorkMeter, aLongRun_isReportedAtOnce)
{
    work("snapshot", 100ms);
    LONGS_EQUAL(1, events_.size());
    CHECK((events_.front() == Event{EventNumber::WorkSlow, {{"kind", "snapshot"}, {"ms", "100"}}}));
}

// Guards against a process that is late because it reports each slow run.
TEST(WorkMeter, manyLongRuns_areReportedOnceInASecond)
{
    for (auto run = 0; run < 9; ++run)
        work("apply", 100ms);
    LONGS_EQUAL(1, events_.size());
    work("apply", 100ms);
    work("apply", 100ms);
    LONGS_EQUAL(2, events_.size());
}

TEST(WorkMeter, aReport_hasEachKindAndBeginsAnew)
{
    work("apply", 10ms);
    work("apply", 30ms);
    meter_.report();
    LONGS_EQUAL(1, events_.size());
    CHECK((events_.front() == Event{EventNumber::WorkTime, {{"apply", "40ms/2/30ms"}}}));
    CHECK(meter_.totals().empty());
}

TEST(WorkMeter, aReportWithoutWork_isLeftOut)
{
    meter_.report();
    CHECK(events_.empty());
}
