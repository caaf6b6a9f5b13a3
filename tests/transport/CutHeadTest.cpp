#include "base/ErrorCode.h"
#include "transport/HttpClient.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

namespace {

/// How an answer ends too early.
struct Cut
{
    std::string answer_;
    bool isReset_ = false;
    /// Whether the connection has carried a whole answer before.
    bool isKept_ = false;
};

/// Answers the requests of one connection: the first whole if the connection is kept, then with a
/// part of an answer behind which it closes.
class CuttingServer
{
public:
    explicit CuttingServer(Cut cut)
        : acceptor_(context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , socket_(context_)
        , thread_([this, cut = std::move(cut)] { serve(cut); })
    { }
    ~CuttingServer() { thread_.join(); }
    CuttingServer(const CuttingServer &) = delete;
    auto operator=(const CuttingServer &) -> CuttingServer & = delete;

    auto address() -> std::string
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    auto answer(const std::string &text) -> void
    {
        auto error = std::error_code{};
        asio::read_until(socket_, request_, "\r\n\r\n", error);
        request_.consume(request_.size());
        asio::write(socket_, asio::buffer(text), error);
    }

    auto serve(const Cut &cut) -> void
    {
        acceptor_.accept(socket_);
        if (cut.isKept_)
            answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
        answer(cut.answer_);
        auto error = std::error_code{};
        if (cut.isReset_)
            socket_.set_option(asio::socket_base::linger(true, 0), error);
        socket_.close();
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket socket_;
    asio::streambuf request_;
    std::thread thread_;
};

} // namespace

/// Both request paths take the answers of upstreams from this client.
TEST_GROUP(CutHead)
{
    HttpClient client_;

    auto checkEachCutOf(const std::string &head, const std::string &method, Cut cut)->void
    {
        for (std::size_t length = 0; length < head.size(); ++length) {
            cut.answer_ = head.substr(0, length);
            auto server = CuttingServer(cut);
            auto call = HttpCall{};
            call.address_ = server.address();
            call.request_ = {"GET", "/", {}, {}};
            if (cut.isKept_)
                CHECK(client_.fetch(call).ok());
            call.request_.method_ = method;
            const auto answered = client_.fetch(call);
            CHECK(!answered.ok());
            CHECK(answered.failure().code_ == Error::IncompleteAnswer);
            CHECK(answered.failure().verdict_ == Verdict::MayHaveRun);
        }
    }

    auto checkAllCutsOf(const std::string &head)->void
    {
        for (const auto isReset : {false, true}) {
            for (const auto isKept : {false, true})
                checkEachCutOf(head, "GET", Cut{{}, isReset, isKept});
        }
    }
};

// These guard against a head that ends early and passes for a whole answer without a body.
TEST(CutHead, ofAnAnswerWithALength_cutAtAnyByte_isIncomplete)
{
    checkAllCutsOf("HTTP/1.1 200 OK\r\nX-Seal: 1\r\nContent-Length: 9\r\n\r\n");
}

// As above.
TEST(CutHead, ofAnAnswerInChunks_cutAtAnyByte_isIncomplete)
{
    checkAllCutsOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
}

// As above.
TEST(CutHead, ofAnAnswerThatEndsWithItsConnection_cutAtAnyByte_isIncomplete)
{
    checkAllCutsOf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
}

// As above.
TEST(CutHead, behindAnInterimAnswer_cutAtAnyByte_isIncomplete)
{
    checkAllCutsOf(
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Seal: 1\r\n\r\n");
}

// As above.
TEST(CutHead, ofAnAnswerToHead_cutAtAnyByte_isIncomplete)
{
    checkEachCutOf("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "HEAD", Cut{});
}
