#include "transport/WorkerPool.h"

#include "transport/HookGate.h"
#include "transport/Waiter.h"

#include <stdexcept>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(WorkerPool)
{
    Watched<int> runs_;
    WorkerPool workers_ = WorkerPool(2);

    auto count()->std::function<void()>
    {
        return [this] { runs_.change([](int &runs) { ++runs; }); };
    }

    auto hasRun(int times)->bool
    {
        return runs_.waitFor([times](int runs) { return runs >= times; });
    }

    auto teardown()->void override
    {
        workers_.stop();
    }
};

TEST(WorkerPool, postedWork_isRun)
{
    workers_.post(count());
    CHECK(hasRun(1));
}

TEST(WorkerPool, aTimer_due_runsOnce)
{
    const auto timer = workers_.after(std::chrono::milliseconds(1), count());
    CHECK(hasRun(1));
}

TEST(WorkerPool, aRepeatingTimer_runsAgain)
{
    const auto timer = workers_.every(std::chrono::milliseconds(1), count());
    CHECK(hasRun(3));
}

TEST(WorkerPool, aTimer_cancelled_doesNotRun)
{
    const auto cancelled = workers_.after(std::chrono::milliseconds(30), count());
    cancelled->cancel();
    workers_.after(std::chrono::milliseconds(30), count()).reset();
    const auto later = workers_.after(std::chrono::milliseconds(60), count());
    CHECK(hasRun(1));
    CHECK_EQUAL(1, runs_.get());
}

TEST_GROUP(HookGate){};

// Guards against an owner that waits for ever for a call that has thrown.
TEST(HookGate, aCallThrew_close_doesNotWaitForIt)
{
    auto gate = HookGate{};
    auto hasThrown = false;
    try {
        gate.run([] { throw std::runtime_error("failed"); });
    } catch (const std::runtime_error &) {
        hasThrown = true;
    }
    CHECK(hasThrown);
    gate.close();
    CHECK_FALSE(gate.run([] {}));
}
