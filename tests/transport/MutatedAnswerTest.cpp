#include "transport/AnswerSample.h"
#include "transport/HttpClient.h"
#include "transport/ReadAnswer.h"
#include "transport/ReferenceAnswer.h"
#include "transport/ScriptedServer.h"
#include "transport/Waiter.h"

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::string_literals;

namespace {

/// The number of seeds, from LYCHEEREACH_FIRST_SEED on, that each test runs; LYCHEEREACH_MUTATIONS
/// sets it.
auto number(const char *name, std::uint32_t fallback) -> std::uint32_t
{
    const auto *text = std::getenv(name);
    return text == nullptr ? fallback : static_cast<std::uint32_t>(std::strtoul(text, nullptr, 10));
}

/// Draws sound answers and changes them in one to three places.
class Mutator
{
public:
    explicit Mutator(std::uint32_t seed)
        : random_(seed)
    { }

    auto draw() -> std::string
    {
        auto bytes = sound_[below(sound_.size())].bytes_;
        for (auto changes = 1 + below(3); changes > 0; --changes)
            change(bytes);
        return bytes;
    }

    auto below(std::size_t limit) -> std::size_t { return random_() % limit; }

private:
    auto change(std::string &bytes) -> void
    {
        const auto at = below(bytes.size() + 1);
        const auto length = std::min(1 + below(4), bytes.size() - at);
        switch (below(6)) {
        case 0:
            bytes.insert(at, 1, static_cast<char>(below(256)));
            break;
        case 1:
            bytes.replace(at, std::min(length, std::size_t{1}), 1, static_cast<char>(below(256)));
            break;
        case 2:
            bytes.erase(at, length);
            break;
        case 3:
            bytes.insert(at, pieces_[below(pieces_.size())]);
            break;
        case 4:
            bytes.insert(below(bytes.size() + 1), bytes.substr(at, 1 + below(30)));
            break;
        default:
            bytes.resize(std::max(at, std::size_t{1}));
        }
        if (bytes.empty())
            bytes = "\n";
    }

    std::vector<AnswerSample> sound_ = soundAnswers();
    std::vector<std::string> pieces_ = {"\r\n"s,
                                        "\n"s,
                                        "\r"s,
                                        " "s,
                                        "\t"s,
                                        ":"s,
                                        ","s,
                                        ";"s,
                                        "0"s,
                                        "9"s,
                                        "\0"s,
                                        "\x7f"s,
                                        "\xff"s,
                                        "Content-Length: 4\r\n"s,
                                        "Content-Length: 9\r\n"s,
                                        "Transfer-Encoding: chunked\r\n"s,
                                        "Transfer-Encoding"s,
                                        "HTTP/1.0 200 OK\r\n"s,
                                        "\r\n\r\n"s,
                                        "0\r\n\r\n"s,
                                        "5\r\n"s};
    std::mt19937 random_;
};

auto describe(std::uint32_t seed, const std::string &bytes) -> std::string
{
    auto text = "seed " + std::to_string(seed) + ": ";
    for (const auto c : bytes)
        text += c >= ' ' && c <= '~' ? std::string(1, c)
                                     : "<" + std::to_string(static_cast<unsigned char>(c)) + ">";
    return text;
}

} // namespace

/// Guards against malformed answers that nobody has listed: each is read as RFC 9112 says, or
/// refused.
TEST_GROUP(MutatedAnswer)
{
    std::uint32_t firstSeed_ = number("LYCHEEREACH_FIRST_SEED", 1);
};

TEST(MutatedAnswer, ofAnySeed_read_isWhatTheGrammarSays)
{
    constexpr auto drawsOfASeed = 1000;
    const auto seeds = number("LYCHEEREACH_MUTATIONS", 10);
    for (auto seed = firstSeed_; seed < firstSeed_ + seeds; ++seed) {
        auto mutator = Mutator(seed);
        for (auto draw = 0; draw < drawsOfASeed; ++draw) {
            const auto bytes = mutator.draw();
            const auto answer = readAnswer(bytes, false, 1 + mutator.below(20));
            CHECK_TEXT(answer == referenceAnswer(bytes), describe(seed, bytes).c_str());
        }
    }
}

// libcurl, which reads the same bytes, may refuse more, but never tells another answer.
TEST(MutatedAnswer, ofAnySeed_receivedByAClient_isWhatTheGrammarSaysOrRefused)
{
    constexpr auto drawsOfASeed = 100;
    const auto seeds = number("LYCHEEREACH_MUTATIONS", 10);
    auto client = HttpClient();
    auto whole = 0;
    for (auto seed = firstSeed_; seed < firstSeed_ + seeds; ++seed) {
        auto mutator = Mutator(seed);
        // The server may still be writing one answer when the next is drawn.
        auto sent = Watched<std::string>{};
        const auto server = ScriptedServer(drawsOfASeed, [&](asio::ip::tcp::socket &socket) {
            ScriptedServer::write(socket, sent.get());
        });
        for (auto draw = 0; draw < drawsOfASeed; ++draw) {
            const auto bytes = mutator.draw();
            sent.change([&](std::string &value) { value = bytes; });
            auto call = HttpCall{};
            call.address_ = server.address();
            call.request_ = {"GET", "/", {}, {}};
            call.freshConnection_ = true;
            const auto answer = client.fetch(call);
            const auto expected = referenceAnswer(bytes);
            CHECK_TEXT(!answer || (expected && *answer == *expected),
                       describe(seed, bytes).c_str());
            whole += answer ? 1 : 0;
        }
    }
    CHECK(whole > 0);
}
