#include "platform/PlatformSettings.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace lycheereach::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const auto entryToml = std::string(R"(
nodeName = "edge-1"
zone = "north"
ip = "10.1.0.40"
internalPorts = [7340, 7355]
seeds = ["10.1.0.43:8229", "10.2.0.32:8229"]
bootstrap = true
unknown = 1
[zones]
north = "r"
south = "r"
[listen]
front = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
[faultTolerance]
machines = 2
zones = 1
[bounds]
graceS = 8
drainMs = 2000
retryBudgetRatio = 0.2
retryBudgetExtra = 134
budgetWindowS = 10
)");

} // namespace

TEST_GROUP(PlatformSettings){};

TEST(PlatformSettings, entrySettings_read_containAddressesAndLimits)
{
    const auto settings = readPlatformSettings(entryToml, "node.toml");
    CHECK(settings.ok());
    CHECK(settings->peerAddress_ == "10.1.0.40:7340");
    CHECK(settings->seedPeers_ == (std::vector<std::string>{"10.1.0.43:7340", "10.2.0.32:7340"}));
    CHECK(settings->requestAddress_ == "10.1.0.40:8227");
    CHECK(settings->controlAddress_.empty());
    CHECK_FALSE(settings->dataFolder_.has_value());
    UNSIGNED_LONGS_EQUAL(2, settings->zones_.size());
    CHECK(settings->shutdownGracePeriod_ == seconds(8));
    CHECK(settings->drainDuration_ == milliseconds(2000));
    UNSIGNED_LONGS_EQUAL(2, settings->toleratedMachineFailures_);
    UNSIGNED_LONGS_EQUAL(1, settings->toleratedZoneFailures_);
    DOUBLES_EQUAL(134, settings->retryBudgetExtra_, 0.001);
}

TEST(PlatformSettings, missingKey_read_failsWithFileAndKey)
{
    const auto settings = readPlatformSettings("nodeName = \"n\"\n", "node.toml");
    CHECK_FALSE(settings.ok());
    STRCMP_CONTAINS("node.toml", settings.failure().message_.c_str());
    STRCMP_CONTAINS("'zone'", settings.failure().message_.c_str());
}

TEST(PlatformSettings, invalidToml_read_failsWithLine)
{
    const auto settings = readPlatformSettings("a = \n", "node.toml");
    CHECK_FALSE(settings.ok());
    STRCMP_CONTAINS("line 1", settings.failure().message_.c_str());
}

TEST(PlatformSettings, missingFile_load_fails)
{
    CHECK_FALSE(loadPlatformSettings("/nonexistent/node.toml").ok());
}
