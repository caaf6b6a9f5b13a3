#include "platform/ConfigurationReader.h"

#include "base/JsonCodec.h"
#include "requests/RequestDigest.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace lycheereach::platform;

TEST_GROUP(ConfigurationReader)
{
    PlatformSettings settings_;
    Json configuration_;

    auto setup()->void override
    {
        settings_.zones_ = {ZoneName("north")};
        configuration_ = Json::parse(R"({"version": 7,
          "routes": [
            {"name": "s", "host": "h", "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": 8000,
             "sloMs": 400, "priority": 1, "maxAttempts": 2, "resumable": true, "gapTargetMs": 250,
             "split": [{"service": "pool", "weight": 90}, {"service": "app", "weight": 10}]},
            {"name": "u", "host": "h", "pathPrefix": "/b/", "kind": "unsafe", "timeoutMs": 800,
             "service": "app", "public": true}],
          "services": [
            {"name": "pool", "healthPath": "/health", "maxConnections": 474, "coldPerS": 38.0,
             "engine": {"slots": 26, "step_ms": 6.45, "per_seq_ms": 0.1, "read_per_s": 56100.0, "loadsPerS": 5.5, "loads_at_once": 8, "models": [
               {"name": "m1", "size": 6, "share": 0.67, "pace": 1.0},
               {"name": "m2", "size": 3, "share": 0.33, "pace": 0.6}]}},
            {"name": "app"}],
          "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "priority": 1}]})");
    }

    auto read()->Result<PublishDeclaration>
    {
        return readConfiguration(configuration_.dump(), settings_);
    }
};

TEST(ConfigurationReader, completeDocument_read_returnsDeclarationWithRevision)
{
    const auto command = read();
    CHECK(command.ok());
    UNSIGNED_LONGS_EQUAL(7, command->revision_);
    CHECK(command->source_ == configuration_.dump());
    const auto &declaration = command->declaration_;
    CHECK(declaration.routes_[0].kind_ == RouteKind::ResumableStream);
    UNSIGNED_LONGS_EQUAL(90, declaration.routes_[0].shares_[0].weight_);
    CHECK(declaration.routes_[1].kind_ == RouteKind::Unsafe);
    CHECK(declaration.routes_[1].isPublic_);
    UNSIGNED_LONGS_EQUAL(2, declaration.pools_.size());
    UNSIGNED_LONGS_EQUAL(6, declaration.pools_[0].instancesPerGroup_);
    CHECK(declaration.pools_[1].engines_ == PoolName("pool"));
    CHECK(declaration.profiles_[0].times_ == (EngineTimes{6.45, 0.1, 56100}));
    CHECK(declaration.services_[0].name_ == PoolName("app"));
    CHECK(declaration.workspaces_[0].keyDigests_[1] == sha256("k2"));
}

TEST(ConfigurationReader, unknownRouteKind_read_isUnsafe)
{
    configuration_["routes"][0]["kind"] = "novel";
    CHECK(read()->declaration_.routes_[0].kind_ == RouteKind::Unsafe);
}

TEST(ConfigurationReader, streamWithoutResumable_read_isNotResumable)
{
    configuration_["routes"][0].erase("resumable");
    CHECK(read()->declaration_.routes_[0].kind_ == RouteKind::Stream);
}

TEST(ConfigurationReader, invalidDocuments_read_failWithReason)
{
    const auto corruptions = std::vector<std::function<void(Json &)>>{
        [](Json &json) { json.erase("version"); },
        [](Json &json) { json["version"] = 1.5; },
        [](Json &json) { json["version"] = 1e300; },
        [](Json &json) { json["services"][0]["coldPerS"] = 1e300; },
        [](Json &json) { json.erase("routes"); },
        [](Json &json) { json["routes"] = "none"; },
        [](Json &json) { json["routes"][0]["timeoutMs"] = 0; },
        [](Json &json) { json["routes"][0].erase("host"); },
        [](Json &json) { json["routes"][1]["service"] = "nobody"; },
        [](Json &json) { json["routes"][1]["pathPrefix"] = "/a/"; },
        [](Json &json) {
            for (auto &share : json["routes"][0]["split"])
                share["weight"] = 0;
        },
        [](Json &json) {
            json["tenants"].push_back({{"name", "other"}, {"apiKeys", {"k1"}}});
        }};
    for (const auto &corrupt : corruptions) {
        setup();
        corrupt(configuration_);
        const auto command = read();
        CHECK_FALSE(command.ok());
        CHECK_FALSE(command.failure().message_.empty());
    }
}

TEST(ConfigurationReader, truncatedJson_read_fails)
{
    const auto text = configuration_.dump();
    CHECK_FALSE(readConfiguration(text.substr(0, text.size() / 2), settings_).ok());
}

// Guards against a control process that ends: the stack overflowed when a list of the
// configuration was copied.
TEST(ConfigurationReader, listNestedVeryDeeply_read_fails)
{
    constexpr auto depth = std::size_t{100'000};
    const auto nested = std::string(depth, '[') + std::string(depth, ']');
    const auto body = R"({"version": 8, "services": [], "routes": [)" + nested + "]}";
    CHECK_FALSE(readConfiguration(body, settings_).ok());
}

// Guards against limits that the operator declares and no process obeys.
TEST(ConfigurationReader, limitsForRequests_read_areThoseOfTheDeclaration)
{
    configuration_["limits"] = {{"maxHeaderBytes", 16384},
                                {"maxBodyBytes", 4194304},
                                {"headerTimeoutMs", 3000},
                                {"idleTimeoutMs", 15000}};
    const auto command = read();
    CHECK(command.ok());
    CHECK(command->declaration_.requestLimits_ == (RequestLimits{16384, 4194304, 3000, 15000}));
}

TEST(ConfigurationReader, limitsOfZeroOrMissing_read_areTheDefaults)
{
    CHECK(!read()->declaration_.requestLimits_);
    configuration_["limits"] = {{"maxBodyBytes", 0}, {"idleTimeoutMs", 5000}};
    auto expected = RequestLimits{};
    expected.idleTimeoutMs_ = 5000;
    CHECK(read()->declaration_.requestLimits_ == expected);
}

TEST(ConfigurationReader, limitsThatAreNoNumbers_read_fails)
{
    configuration_["limits"] = {{"maxBodyBytes", "many"}};
    CHECK_FALSE(read().ok());
}
