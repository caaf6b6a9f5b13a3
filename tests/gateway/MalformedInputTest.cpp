#include "gateway/RequestReader.h"
#include "log/LogMessage.h"
#include "state/Announcement.h"
#include "state/Command.h"
#include "transport/HttpRequest.h"
#include "transport/PeerFraming.h"
#include "transport/PeerNotification.h"

#include <array>
#include <functional>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

namespace {

constexpr auto seedCount = 4000U;

/// Fragments that parsers often handle wrongly.
constexpr auto malformedPieces = std::array{"{",
                                            "}",
                                            "[",
                                            "]",
                                            "\"",
                                            ",",
                                            ":",
                                            "\\u0000",
                                            "\xff\xfe",
                                            "-1",
                                            "1e99",
                                            "\\ud800",
                                            "null",
                                            "false",
                                            "[[[[[[[",
                                            "1.5",
                                            "18446744073709551616",
                                            "\n"};

/// \a text with one to four random mutations.
auto mutate(std::string text, std::uint64_t seed) -> std::string
{
    enum Mutation { Replace, Insert, Erase, Repeat, Count };
    auto random = std::mt19937_64(seed);
    for (auto mutationsLeft = 1 + random() % 4; mutationsLeft > 0 && !text.empty();
         --mutationsLeft) {
        const auto position = random() % text.size();
        switch (random() % Count) {
        case Replace:
            text[position] = static_cast<char>(random());
            break;
        case Insert:
            text.insert(position, malformedPieces.at(random() % malformedPieces.size()));
            break;
        case Erase:
            text.erase(position, random() % 20);
            break;
        default:
            text.insert(position, text.substr(position, random() % 40));
        }
    }
    return text;
}

/// Passes \a parse the mutation of \a text for every seed and returns how many it refused. \a parse
/// returns the message of a refusal, which must not be empty, and nothing for an accepted text.
auto countRefusals(const std::string &text,
                   const std::function<std::optional<std::string>(const std::string &)> &parse)
    -> std::uint32_t
{
    auto refused = 0U;
    for (auto seed = 0U; seed < seedCount; ++seed) {
        const auto message = parse(mutate(text, seed));
        refused += message ? 1 : 0;
        CHECK(!message || !message->empty());
    }
    return refused;
}

template <typename T>
auto messageOf(const Result<T> &result) -> std::optional<std::string>
{
    if (result)
        return std::nullopt;
    return result.failure().message_;
}

auto testDeclaration() -> Declaration
{
    auto declaration = Declaration{};
    declaration.pools_ = {{PoolName("p"), "m"}};
    declaration.services_ = {{PoolName("s"), {{"/book", {"POST"}, false}}}};
    return declaration;
}

} // namespace

TEST_GROUP(MalformedInput){};

TEST(MalformedInput, chatCompletionBodies_readCallerRequest_areAcceptedOrRefusedAsNotRun)
{
    const auto declaration = testDeclaration();
    const auto body = std::string(R"({"model":"m","messages":[{"role":"user","content":"hi"}],)"
                                  R"("max_tokens":16,"stream":true})");
    const auto refused = countRefusals(body, [&](const std::string &text) {
        const auto request = HttpRequest{"POST", "/v1/chat/completions", {}, text};
        const auto result
            = readCallerRequest(request, declaration, RequestId("r"), MonotonicTime());
        CHECK(result || result.failure().verdict_ == Verdict::NotRun);
        return messageOf(result);
    });
    CHECK(refused > seedCount / 2);
}

TEST(MalformedInput, targetsAndHeaders_readCallerRequest_areAcceptedOrRefusedAsNotRun)
{
    const auto declaration = testDeclaration();
    const auto refused = countRefusals("/services/s/book?paddock=7", [&](const std::string &text) {
        const auto request = HttpRequest{
            "POST",
            text,
            {{"Idempotency-Key", text}, {"X-Deadline-Ms", text}, {"X-Priority", text}},
            text};
        const auto result
            = readCallerRequest(request, declaration, RequestId("r"), MonotonicTime());
        CHECK(result || result.failure().verdict_ == Verdict::NotRun);
        return messageOf(result);
    });
    CHECK(refused > 0);
}

TEST(MalformedInput, announcements_decodeText_areAcceptedOrRefused)
{
    auto announcement = Announcement{};
    announcement.upstream_ = UpstreamId("u");
    announcement.address_ = "127.0.0.1:1";
    announcement.zone_ = ZoneName("z");
    announcement.pool_ = PoolName("p");
    const auto refused = countRefusals(encode(announcement).dump(), [](const std::string &text) {
        return messageOf(decodeText<Announcement>(text, "announcement"));
    });
    CHECK(refused > seedCount / 2);
}

TEST(MalformedInput, peerFrames_decodeNotification_areAcceptedOrRefused)
{
    const auto message = PeerMessage{"control.propose", Json{{"number", 1}, {"command", "{}"}}};
    const auto frame = encodeFrame(encodeNotification(message, HybridTime{}));
    const auto refused = countRefusals(frame, [&](const std::string &bytes) {
        auto frames = FrameReader(1U << 16U);
        frames.append(bytes);
        const auto payload = frames.next();
        if (!payload)
            return std::optional<std::string>("no whole frame");
        return messageOf(decodeNotification(*payload));
    });
    CHECK(refused > seedCount / 2);
}

TEST(MalformedInput, logMessages_decodeMessage_areAcceptedOrRefused)
{
    const auto message = LogMessage{.body_ = AppendRequest{.records_ = {LogRecord{1, 1}}}};
    const auto refused = countRefusals(encodeMessage(message).dump(), [](const std::string &text) {
        const auto json = Json::parse(text, nullptr, false);
        return messageOf(decodeMessage(json));
    });
    CHECK(refused > seedCount / 2);
}

TEST(MalformedInput, logRecords_decodeCommand_areAcceptedOrRefused)
{
    const auto command
        = ClaimRequest{IdempotencyKey("k"), "digest", EntryId("e"), 5, RequestId("r"), 1000};
    const auto refused = countRefusals(encodeCommand(command), [](const std::string &text) {
        return messageOf(decodeCommand(text));
    });
    CHECK(refused > seedCount / 2);
}
