#include "gateway/RequestReader.h"
#include "requests/RequestFingerprint.h"
#include "transport/HttpRequest.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(RequestReader)
{
    Declaration declaration_;

    auto setup()->void override
    {
        declaration_.pools_ = {{PoolName("p"), "m"}};
        declaration_.services_ = {{PoolName("s"), {{"/book", {"POST"}, true}}}};
    }

    auto fingerprintsOf(const std::string &target, const std::string &body)
        const->std::vector<std::string>
    {
        const auto request = HttpRequest{"POST", target, {}, body};
        const auto result
            = readCallerRequest(request, declaration_, RequestId("r"), MonotonicTime());
        STRCMP_EQUAL("", result ? "" : result.failure().message_.c_str());
        STRCMP_EQUAL(result->digest_.c_str(), result->fingerprints_.front().c_str());
        return result->fingerprints_;
    }

    /// Of a chat request with \a messages.
    auto chatFingerprints(const Json &messages) const->std::vector<std::string>
    {
        return fingerprintsOf("/v1/chat/completions",
                              Json{{"model", "m"}, {"messages", messages}}.dump());
    }

    static auto message(const char *role, const Json &content)->Json
    {
        return {{"role", role}, {"content", content}};
    }
};

TEST(RequestReader, unlikeChatsWithOneSystemMessage_readCallerRequest_haveItsFingerprintInCommon)
{
    const auto system = message("system", "be brief");
    const auto first = chatFingerprints({system, message("user", "one")});
    const auto second = chatFingerprints({message("user", "zero"), system, message("user", "two")});
    CHECK_EQUAL(2, first.size());
    CHECK_EQUAL(3, second.size());
    CHECK(first[0] != second[0]);
    CHECK(isPartFingerprint(first[1]));
    CHECK(first[1] == second[2]);
}

TEST(RequestReader, aRoleOrContentDiffers_readCallerRequest_haveOtherFingerprints)
{
    const auto last = message("user", "one");
    const auto first = chatFingerprints({message("system", "x"), last});
    CHECK(first[1] != chatFingerprints({message("user", "x"), last})[1]);
    CHECK(first[1] != chatFingerprints({message("system", "y"), last})[1]);
    CHECK(first[1] != chatFingerprints({message("system", Json{"x"}), last})[1]);
}

TEST(RequestReader, requestsWithoutSharedParts_readCallerRequest_haveTheDigestOnly)
{
    CHECK_EQUAL(1, chatFingerprints(Json::array({message("user", "one")})).size());
    CHECK_EQUAL(1, fingerprintsOf("/services/s/book", "body").size());
}

TEST(RequestReader, aLongConversation_readCallerRequest_hasABoundedNumberOfFingerprints)
{
    auto messages = Json::array();
    for (auto number = 0; number < 200; ++number)
        messages.push_back(message("user", std::to_string(number)));
    CHECK_EQUAL(1 + maxPartFingerprints, chatFingerprints(messages).size());
}
