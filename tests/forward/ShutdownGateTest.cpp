#include "forward/ShutdownGate.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

TEST_GROUP(ShutdownGate)
{
    MonotonicTime leaveStartedAt_{100s};
    ShutdownGate gate_{4s, MonotonicTime(100s)};
};

TEST(ShutdownGate, callersHoldTheAddress_mayEnd_waits)
{
    CHECK_FALSE(gate_.mayExit(false, leaveStartedAt_ + 3900ms));
    CHECK(gate_.mayExit(false, leaveStartedAt_ + 4s));
}

/// Failure: the process exits after the last event of a stream was handed to the HTTP server and
/// before its last byte is sent.
TEST(ShutdownGate, theLastAnswerWasJustHandedOver_mayEnd_waitsUntilItIsSent)
{
    CHECK_FALSE(gate_.mayExit(true, leaveStartedAt_ + 5300ms));
    CHECK_FALSE(gate_.mayExit(false, leaveStartedAt_ + 5350ms));
    CHECK(gate_.mayExit(false, leaveStartedAt_ + 5700ms));
}
