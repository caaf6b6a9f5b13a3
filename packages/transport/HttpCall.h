/// \file
/// \brief A request to another HTTP server and how to make it.
#pragma once

#include "base/Time.h"
#include "base/Verdict.h"
#include "transport/HttpRequest.h"
#include "transport/HttpResponse.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <system_error>

namespace lycheereach {

/// A request with its address and time limits.
struct HttpCall
{
    /// `IP:port`.
    std::string address_;
    HttpRequest request_;
    Duration connectTimeout_ = std::chrono::seconds(1);
    /// Silence allowed before the first byte of the answer.
    Duration firstByteTimeout_ = std::chrono::seconds(10);
    /// Silence allowed within the answer.
    Duration idleTimeout_ = std::chrono::seconds(10);
    /// The longest head of an answer that is taken, in bytes; libcurl bounds single lines only.
    std::size_t headLimitBytes_ = std::size_t{64} * 1024;
    /// The longest body that is taken, in bytes; far above the answers of models and services, far
    /// below the memory of an entry.
    std::size_t bodyLimitBytes_ = std::size_t{32} * 1024 * 1024;
    /// The longest body of an answer with an error status, which holds a short text, in bytes.
    std::size_t errorBodyLimitBytes_ = std::size_t{1024} * 1024;
    /// The longest time from the start of the call to its end, with Error::ConnectionSilent after
    /// it. Without it only silence ends a call, which bytes that trickle never are.
    std::optional<Duration> totalTimeout_ = std::nullopt;
    /// A new connection instead of one from the pool, for a request that must not be repeated.
    bool freshConnection_ = false;
    /// Asked by the client's thread right before the first byte leaves; on false the call ends with
    /// Error::LeaseExpired and Verdict::NotRun. Without it every call may start.
    std::function<bool()> mayStart_ = nullptr;
};

/// How a call ended.
struct HttpOutcome
{
    /// Empty when the whole answer arrived; Error::MalformedAnswer when the bytes are no answer,
    /// Error::IncompleteAnswer when it broke off or is longer than is taken.
    std::error_code error_;
    /// NotRun when no byte of the request left, Ran when the whole answer arrived.
    Verdict verdict_ = Verdict::NotRun;
    std::string message_;
    /// Whether the other side refused the connection, so that nothing listens there.
    bool isRefused_ = false;
    /// Whether the answer announced its length or came in chunks. The end of any other answer is
    /// that of its connection, so that one broken off looks whole.
    bool isDelimited_ = false;
    /// Whether the call was ended because its answer was longer, or held more memory, than is
    /// taken.
    bool isTooLong_ = false;
};

/// Called from the client's thread, one at a time for a call, the last always ended_.
struct HttpCallHooks
{
    /// Status and headers; the body of the response is empty.
    std::function<void(const HttpResponse &)> head_;
    std::function<void(std::string_view)> part_;
    std::function<void(const HttpOutcome &)> ended_;
    /// Called whenever nothing has come for as long as HttpCall allows; the call goes on. Without
    /// it the call ends with Error::ConnectionSilent.
    std::function<void()> silent_ = nullptr;
    /// Whether a head is that of a response to this call; asked after head_. If not, the call ends
    /// with Error::WrongAnswer and its connection is closed, since its own response may follow
    /// there. Without it every head is.
    std::function<bool(const HttpResponse &)> answersThisCall_ = nullptr;
    /// How many bytes of the answer the receiver still holds, asked after part_ with the bytes of
    /// the body so far. Without it all of them.
    std::function<std::size_t(std::size_t bodyBytes)> heldBytes_ = nullptr;
};

} // namespace lycheereach
