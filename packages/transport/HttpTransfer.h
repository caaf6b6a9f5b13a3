/// \file
/// \brief One HTTP call on a libcurl handle.
#pragma once

#include "base/Time.h"
#include "transport/HeldBytes.h"
#include "transport/HttpAnswerReader.h"
#include "transport/HttpCall.h"
#include "transport/UploadTail.h"

#include <curl/curl.h>

#include <memory>
#include <string_view>

namespace lycheereach {

class SocketHandover;

/// One HTTP call. Used by the thread of its client only.
class HttpTransfer
{
public:
    /// Adds the bytes of the answer that the receiver holds to \a heldByAll, until the
    /// transfer is destroyed. Takes its socket from \a sockets when it needs it after libcurl.
    HttpTransfer(HttpCall call, HttpCallHooks hooks, MonotonicTime now, HeldBytes &heldByAll,
                 SocketHandover &sockets);
    ~HttpTransfer();
    HttpTransfer(const HttpTransfer &) = delete;
    auto operator=(const HttpTransfer &) -> HttpTransfer & = delete;

    [[nodiscard]] auto handle() const -> CURL * { return easy_.get(); }
    /// Whether nothing has come for longer than the call allows.
    [[nodiscard]] auto isSilent(MonotonicTime now) const -> bool;
    /// Whether the call has lasted longer than it may.
    [[nodiscard]] auto isOverTime(MonotonicTime now) const -> bool;
    [[nodiscard]] auto heldBytes() const -> std::size_t { return heldBytes_; }
    /// Tells the hooks that nothing has come for too long; false when the call has to end.
    auto tellSilence(MonotonicTime now) -> bool;
    /// Tells the hooks how libcurl ended the call.
    auto endWith(CURLcode code) -> void;
    /// The rest of the request that is still to be sent once libcurl has ended the call, before
    /// the answer is known to be whole; null where that is known at once.
    [[nodiscard]] auto uploadTail() const -> const UploadTail * { return tail_.get(); }
    /// Goes on with uploadTail(); false once the call has ended, which the hooks have been told.
    auto advanceUploadTail(MonotonicTime now) -> bool;
    /// Tells the hooks that the call was ended because the receivers hold too many bytes.
    auto endAsTooLong() -> void;
    /// Tells the hooks that the call was ended by \a error.
    auto endWith(std::error_code error, const std::string &message) -> void;

private:
    using EasyHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
    using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

    auto configure() -> void;
    auto configureBody() -> void;
    auto configureHeaders() -> void;
    auto appendHeader(const std::string &line) -> void;
    [[nodiscard]] auto verdict() const -> Verdict;
    auto takeHeadLine(std::string_view line) -> bool;
    auto takeHead() -> void;
    auto takePart(std::string_view part) -> void;
    /// Asks for the socket of an answer whose end may come before that of the request.
    auto wantSocket() -> void;
    /// Whether libcurl ended the call at the end of an answer.
    [[nodiscard]] auto isWholeAfter(CURLcode code) const -> bool;
    [[nodiscard]] auto sentBodyBytes() const -> std::size_t;
    /// The longest body that is taken, given the status of the answer.
    [[nodiscard]] auto bodyLimitBytes() const -> std::size_t;
    auto setHeldBytes(std::size_t bytes) -> void;

    static auto onHeader(char *data, std::size_t size, std::size_t count, void *self)
        -> std::size_t;
    static auto onBody(char *data, std::size_t size, std::size_t count, void *self) -> std::size_t;
    static auto onConnected(void *self, char *remoteIp, char *localIp, int remotePort,
                            int localPort) -> int;
    static auto onClose(void *sockets, curl_socket_t socket) -> int;

    HttpCall call_;
    HttpCallHooks hooks_;
    EasyHandle easy_;
    HeaderList headers_;
    HttpAnswerReader reader_;
    std::size_t headBytes_ = 0;
    std::size_t bodyBytes_ = 0;
    std::size_t heldBytes_ = 0;
    HeldBytes &heldByAll_;
    MonotonicTime startedAt_;
    MonotonicTime lastHeard_;
    MonotonicTime silenceToldAt_;
    bool connected_ = false;
    /// `IP:port` of this side.
    std::string localAddress_;
    SocketHandover &sockets_;
    bool wantsSocket_ = false;
    std::unique_ptr<UploadTail> tail_;
    bool isTooLong_ = false;
    /// Whether HttpCallHooks::answersThisCall_ said no.
    bool isWrongAnswer_ = false;
    /// Whether HttpCall::mayStart_ said no.
    bool forbidden_ = false;
};

} // namespace lycheereach
