/// \file
/// \brief A server on the loopback interface that a test scripts byte by byte.
#pragma once

#include <functional>
#include <string>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

namespace lycheereach {

/// Accepts connections one after the other, reads the head of a request on each, and leaves the
/// rest to a script. Bytes of the request's body may have been read with the head.
class ScriptedServer
{
public:
    using Script = std::function<void(asio::ip::tcp::socket &)>;

    ScriptedServer(int connections, Script script)
        : acceptor_(context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , thread_([this, connections, script = std::move(script)] { serve(connections, script); })
    { }
    ~ScriptedServer() { thread_.join(); }
    ScriptedServer(const ScriptedServer &) = delete;
    auto operator=(const ScriptedServer &) -> ScriptedServer & = delete;

    auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    static auto write(asio::ip::tcp::socket &socket, const std::string &bytes) -> void
    {
        auto error = std::error_code{};
        asio::write(socket, asio::buffer(bytes), error);
    }

    /// Reads until the client closes or resets the connection, and \a limit bytes at most.
    static auto read(asio::ip::tcp::socket &socket, std::size_t limit = std::string::npos)
        -> std::string
    {
        auto bytes = std::string{};
        auto part = std::string(65536, '\0');
        auto error = std::error_code{};
        while (!error && bytes.size() < limit)
            bytes += part.substr(0, socket.read_some(asio::buffer(part), error));
        return bytes;
    }

private:
    auto serve(int connections, const Script &script) -> void
    {
        for (; connections > 0; --connections) {
            auto socket = asio::ip::tcp::socket(context_);
            acceptor_.accept(socket);
            auto head = asio::streambuf{};
            auto error = std::error_code{};
            asio::read_until(socket, head, "\r\n\r\n", error);
            script(socket);
        }
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

} // namespace lycheereach
