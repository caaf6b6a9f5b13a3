#include "platform/UpstreamReportReader.h"

#include "base/JsonCodec.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace lycheereach::platform;

TEST_GROUP(UpstreamReportReader)
{
    Json report_ = Json::parse(R"({"service": "pool", "address": "10.0.0.9:80", "zone": "north",
      "version": "v1", "slots": 26, "state": "ready", "coldRemainingMs": 0, "stage": "both",
      "models": [], "sequence": 4, "born": 1700000000123, "domain": "d1", "staged": ["m1"],
      "group": {"name": "g7", "epoch": 12, "rank": 2, "state": "open"}})");

    auto read()->Result<Announcement>
    {
        return readUpstreamReport("i-1", report_.dump());
    }
};

TEST(UpstreamReportReader, engineReport_read_containsGroupMembership)
{
    const auto announcement = read();
    CHECK(announcement.ok());
    CHECK(announcement->upstream_ == UpstreamId("i-1"));
    UNSIGNED_LONGS_EQUAL(1700000000123, announcement->incarnation_);
    CHECK(announcement->kind_ == UpstreamKind::Engine);
    CHECK(announcement->group_ == GroupId("g7"));
    UNSIGNED_LONGS_EQUAL(12, announcement->epoch_);
    CHECK(announcement->phase_ == MemberPhase::Open);
    CHECK(announcement->loaded_ == std::vector<std::string>{"m1"});
    CHECK_FALSE(announcement->cold_);
}

TEST(UpstreamReportReader, drainingColdServiceReport_read_isLeavingAndCold)
{
    for (const auto *key : {"stage", "models", "domain", "staged", "group"})
        report_.erase(key);
    report_["state"] = "draining";
    report_["coldRemainingMs"] = 1500;
    const auto announcement = read();
    CHECK(announcement->kind_ == UpstreamKind::Service);
    CHECK(announcement->leaving_);
    CHECK(announcement->cold_);
    UNSIGNED_LONGS_EQUAL(1500, announcement->coldMs_);
}

TEST(UpstreamReportReader, invalidReports_read_fail)
{
    const auto invalidFields = std::vector<std::pair<const char *, Json>>{
        {"state", "dancing"}, {"state", 3},
        {"service", nullptr}, {"address", 7},
        {"sequence", "four"}, {"sequence", -1},
        {"zone", ""},         {"group", "g7"},
        {"staged", "m1"},     {"coldRemainingMs", "x"}};
    const auto validReport = report_;
    for (const auto &[key, value] : invalidFields) {
        report_ = validReport;
        report_[key] = value;
        CHECK_FALSE(read().ok());
    }
    CHECK_FALSE(readUpstreamReport("i-1", "\x80\x81").ok());
    CHECK_FALSE(readUpstreamReport("i-1", "[]").ok());
}
