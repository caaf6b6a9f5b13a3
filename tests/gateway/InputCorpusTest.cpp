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

constexpr auto seeds = 4000U;

/// Pieces that parsers tend to stumble over.
constexpr auto pieces = std::array{"{",
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

/// \a text with one to four pieces of damage.
auto damaged(std::string text, std::uint64_t seed) -> std::string
{
    enum Damage { Flip, Insert, Cut, Repeat, Count };
    auto random = std::mt19937_64(seed);
    for (auto rounds = 1 + random() % 4; rounds > 0 && !text.empty(); --rounds) {
        const auto at = random() % text.size();
        switch (random() % Count) {
        case Flip:
            text[at] = static_cast<char>(random());
            break;
        case Insert:
            text.insert(at, pieces.at(random() % pieces.size()));
            break;
        case Cut:
            text.erase(at, random() % 20);
            break;
        default:
            text.insert(at, text.substr(at, random() % 40));
        }
    }
    return text;
}

/// Gives \a read every damaged form of \a text; it returns the message of a refusal. Returns how
/// many were refused.
auto refusalsOf(const std::string &text,
                const std::function<std::optional<std::string>(const std::string &)> &read)
    -> std::uint32_t
{
    auto refused = 0U;
    for (auto seed = 0U; seed < seeds; ++seed) {
        const auto message = read(damaged(text, seed));
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

auto declaration() -> Declaration
{
    auto declared = Declaration{};
    declared.pools_ = {{PoolName("p"), "m"}};
    declared.services_ = {{PoolName("s"), {{"/book", {"POST"}, false}}}};
    return declared;
}

} // namespace

TEST_GROUP(InputCorpus){};

TEST(InputCorpus, bodiesOfChatCompletions_readCallerRequest_areReadOrRefusedAsNotRun)
{
    const auto declared = declaration();
    const auto body = std::string(R"({"model":"m","messages":[{"role":"user","content":"hi"}],)"
                                  R"("max_tokens":16,"stream":true})");
    const auto refused = refusalsOf(body, [&](const std::string &text) {
        const auto request = HttpRequest{"POST", "/v1/chat/completions", {}, text};
        const auto read = readCallerRequest(request, declared, RequestId("r"), MonotonicTime());
        CHECK(read || read.failure().verdict_ == Verdict::NotRun);
        return messageOf(read);
    });
    CHECK(refused > seeds / 2);
}

TEST(InputCorpus, targetsAndHeaders_readCallerRequest_areReadOrRefusedAsNotRun)
{
    const auto declared = declaration();
    const auto refused = refusalsOf("/services/s/book?paddock=7", [&](const std::string &text) {
        const auto request = HttpRequest{
            "POST",
            text,
            {{"Idempotency-Key", text}, {"X-Deadline-Ms", text}, {"X-Priority", text}},
            text};
        const auto read = readCallerRequest(request, declared, RequestId("r"), MonotonicTime());
        CHECK(read || read.failure().verdict_ == Verdict::NotRun);
        return messageOf(read);
    });
    CHECK(refused > 0);
}

TEST(InputCorpus, announcements_decoded_areReadOrRefused)
{
    auto said = Announcement{};
    said.upstream_ = UpstreamId("u");
    said.address_ = "127.0.0.1:1";
    said.zone_ = ZoneName("z");
    said.pool_ = PoolName("p");
    const auto refused = refusalsOf(encode(said).dump(), [](const std::string &text) {
        return messageOf(decodeText<Announcement>(text, "announcement"));
    });
    CHECK(refused > seeds / 2);
}

TEST(InputCorpus, framesOfPeers_read_areMessagesOrRefused)
{
    const auto message = PeerMessage{"control.propose", Json{{"number", 1}, {"command", "{}"}}};
    const auto frame = encodeFrame(encodeNotification(message, HybridTime{}));
    const auto refused = refusalsOf(frame, [&](const std::string &bytes) {
        auto frames = FrameReader(1U << 16U);
        frames.append(bytes);
        const auto payload = frames.next();
        if (!payload)
            return std::optional<std::string>("no whole frame");
        return messageOf(decodeNotification(*payload));
    });
    CHECK(refused > seeds / 2);
}

TEST(InputCorpus, messagesOfTheLog_decoded_areReadOrRefused)
{
    const auto message = LogMessage{.body_ = AppendRequest{.records_ = {LogRecord{1, 1}}}};
    const auto refused = refusalsOf(encodeMessage(message).dump(), [](const std::string &text) {
        const auto json = Json::parse(text, nullptr, false);
        return messageOf(decodeMessage(json));
    });
    CHECK(refused > seeds / 2);
}

TEST(InputCorpus, recordsOfTheLog_decodeCommand_areReadOrRefused)
{
    const auto command
        = ClaimRequest{IdempotencyKey("k"), "digest", EntryId("e"), 5, RequestId("r"), 1000};
    const auto refused = refusalsOf(encodeCommand(command), [](const std::string &text) {
        return messageOf(decodeCommand(text));
    });
    CHECK(refused > seeds / 2);
}
