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

// Guards against an upstream that is taken for a free one, or put into use again, by a report of
// another writer about it.
TEST(UpstreamReportReader, reportsWithAFieldMissing_read_fail)
{
    const auto validReport = report_;
    for (const auto *key : {"service", "address", "zone", "version", "slots", "state",
                            "coldRemainingMs", "sequence"}) {
        report_ = validReport;
        report_.erase(key);
        CHECK_FALSE_TEXT(read().ok(), key);
        report_[key] = Json::object();
        CHECK_FALSE_TEXT(read().ok(), key);
    }
}

// Guards against control processes that end one after another: the stack overflowed when a list of
// the report was copied.
TEST(UpstreamReportReader, fieldsNestedVeryDeeply_read_fail)
{
    constexpr auto depth = std::size_t{100'000};
    const auto nested = std::string(depth, '[') + std::string(depth, ']');
    for (const auto &field : {R"("staged": [)" + nested + "]",
                              R"("group": {"name": )" + nested + "}", R"("unknown": )" + nested}) {
        const auto body
            = R"({"service": "pool", "address": "10.0.0.9:80", "zone": "north", "state": "ready",
                  "version": "v1", "slots": 26, "coldRemainingMs": 0, "sequence": 4, )"
            + field + "}";
        CHECK_FALSE(readUpstreamReport("i-1", body).ok());
    }
}

// Guards against numbers that depend on the processor: a conversion of a number beyond its type is
// undefined.
TEST(UpstreamReportReader, numbersBeyondTheirTypes_read_fail)
{
    const auto validReport = report_;
    const auto fields = std::vector<std::pair<const char *, Json>>{
        {"/sequence", 1e20},     {"/sequence", 1e300},        {"/born", 18446744073709551616.0},
        {"/active", 4294967296}, {"/queued", 1e10},           {"/coldRemainingMs", 1e300},
        {"/group/epoch", 1e300}, {"/group/rank", 4294967296}, {"/group/rank", -1}};
    for (const auto &[field, value] : fields) {
        report_ = validReport;
        report_[Json::json_pointer(field)] = value;
        const auto announcement = read();
        CHECK_FALSE_TEXT(announcement.ok(), field);
        STRCMP_CONTAINS("must be a number from 0 to", announcement.failure().message_.c_str());
    }
}

// Guards against two reports in a row with one sequence number: a double has no room for large
// whole numbers.
TEST(UpstreamReportReader, largestNumbers_read_areExact)
{
    report_["sequence"] = std::uint64_t{18446744073709551615U};
    report_["active"] = 4294967295;
    report_["coldRemainingMs"] = 1500.75;
    const auto announcement = read();
    CHECK(announcement.ok());
    CHECK(announcement->sequence_ == 18446744073709551615U);
    CHECK(announcement->running_ == 4294967295U);
    CHECK(announcement->coldMs_ == 1500U);
}

// Guards against an upstream to which no request can be sent: any text passed as its address.
TEST(UpstreamReportReader, addressesThatAreNoIpAndPort_read_fail)
{
    for (const auto &address :
         {"x", "10.0.0.9", "10.0.0.9:", ":80", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999",
          "10.0.0.9:-1", "10.0.0.9:8x", "10.0.0:80", "10.0.0.9:80/path", "user@10.0.0.9:80"}) {
        report_["address"] = address;
        const auto announcement = read();
        CHECK_FALSE_TEXT(announcement.ok(), address);
        STRCMP_CONTAINS("'address' must be IP:port", announcement.failure().message_.c_str());
    }
}

// Guards against control processes that stop following the log: a snapshot or a record with texts
// this long is more than peers take.
TEST(UpstreamReportReader, reportOfAbsurdLength_read_fails)
{
    report_["zone"] = std::string(100'000, 'z');
    CHECK_FALSE(read().ok());
}
