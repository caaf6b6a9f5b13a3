#include "transport/HttpTransfer.h"

#include "base/ErrorCode.h"
#include "transport/SocketHandover.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace lycheereach {

namespace {

/// A pooled connection idle for longer is not used again; servers close idle ones after 60 s.
constexpr long idleConnectionSeconds = 30;

auto now() -> MonotonicTime
{
    return std::chrono::steady_clock::now();
}

/// Whether libcurl writes the header field itself.
auto isFramingHeader(const HttpHeader &header) -> bool
{
    const auto one = HttpHeaders{header};
    return one.find("Host") || one.find("Content-Length") || one.find("Transfer-Encoding")
        || one.find("Connection") || one.find("Expect");
}

} // namespace

HttpTransfer::HttpTransfer(HttpCall call, HttpCallHooks hooks, MonotonicTime now,
                           HeldBytes &heldByAll, SocketHandover &sockets)
    : call_(std::move(call))
    , hooks_(std::move(hooks))
    , easy_(curl_easy_init(), &curl_easy_cleanup)
    , headers_(nullptr, &curl_slist_free_all)
    , reader_(call_.request_.method_ == "HEAD")
    , heldByAll_(heldByAll)
    , startedAt_(now)
    , lastHeard_(now)
    , sockets_(sockets)
{
    configure();
    configureBody();
    configureHeaders();
    ++heldByAll_.calls_;
}

HttpTransfer::~HttpTransfer()
{
    --heldByAll_.calls_;
    setHeldBytes(0);
    if (wantsSocket_)
        sockets_.forget(localAddress_);
}

auto HttpTransfer::setHeldBytes(std::size_t bytes) -> void
{
    heldByAll_.total_ += bytes - heldBytes_;
    heldBytes_ = bytes;
}

auto HttpTransfer::isOverTime(MonotonicTime now) const -> bool
{
    return call_.totalTimeout_ && now - startedAt_ > *call_.totalTimeout_;
}

auto HttpTransfer::bodyLimitBytes() const -> std::size_t
{
    constexpr std::uint16_t firstErrorStatus = 400;
    return reader_.head().status_ < firstErrorStatus
        ? call_.bodyLimitBytes_
        : std::min(call_.bodyLimitBytes_, call_.errorBodyLimitBytes_);
}

auto HttpTransfer::configure() -> void
{
    auto *easy = easy_.get();
    const auto url = "http://" + call_.address_ + "/";
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    // As a part of the URL libcurl would encode some bytes of the target and cut it at a '#'.
    if (!call_.request_.target_.empty())
        curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, call_.request_.target_.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, long{CURL_HTTP_VERSION_1_1});
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, idleConnectionSeconds);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(toMilliseconds(call_.connectTimeout_)));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call_.freshConnection_ ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, call_.freshConnection_ ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &HttpTransfer::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &HttpTransfer::onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &HttpTransfer::onConnected);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &HttpTransfer::onClose);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, &sockets_);
    // The answer reader decodes chunks, so that it sees every byte.
    curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
}

auto HttpTransfer::configureBody() -> void
{
    auto *easy = easy_.get();
    const auto &request = call_.request_;
    if (request.method_ == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (!request.body_.empty() || request.method_ == "POST" || request.method_ == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body_.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body_.size()));
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method_.c_str());
}

auto HttpTransfer::configureHeaders() -> void
{
    const auto &headers = call_.request_.headers_;
    for (const auto *name : {"Expect", "Accept", "Content-Type"}) {
        if (!headers.find(name))
            appendHeader(std::string(name) + ":");
    }
    for (const auto &header : headers.all()) {
        if (isFramingHeader(header))
            continue;
        const auto separator = header.value_.empty() ? ";" : ": ";
        appendHeader(header.name_ + separator + header.value_);
    }
    curl_easy_setopt(easy_.get(), CURLOPT_HTTPHEADER, headers_.get());
}

auto HttpTransfer::appendHeader(const std::string &line) -> void
{
    auto *longer = curl_slist_append(headers_.get(), line.c_str());
    if (longer == nullptr)
        return;
    static_cast<void>(headers_.release());
    headers_.reset(longer);
}

auto HttpTransfer::isSilent(MonotonicTime now) const -> bool
{
    if (!connected_)
        return false;
    const auto allowed = reader_.isHeadComplete() ? call_.idleTimeout_ : call_.firstByteTimeout_;
    return now - std::max(lastHeard_, silenceToldAt_) > allowed;
}

auto HttpTransfer::tellSilence(MonotonicTime now) -> bool
{
    if (!hooks_.silent_)
        return false;
    silenceToldAt_ = now;
    hooks_.silent_();
    return true;
}

auto HttpTransfer::verdict() const -> Verdict
{
    auto sent = 0L;
    curl_easy_getinfo(easy_.get(), CURLINFO_REQUEST_SIZE, &sent);
    return connected_ || sent > 0 ? Verdict::MayHaveRun : Verdict::NotRun;
}

auto HttpTransfer::sentBodyBytes() const -> std::size_t
{
    auto sent = curl_off_t{0};
    curl_easy_getinfo(easy_.get(), CURLINFO_SIZE_UPLOAD_T, &sent);
    return std::min(static_cast<std::size_t>(sent), call_.request_.body_.size());
}

auto HttpTransfer::isWholeAfter(CURLcode code) const -> bool
{
    if (reader_.isDelimited())
        return reader_.isWhole();
    return code == CURLE_OK && reader_.isHeadComplete()
        && (tail_ || sentBodyBytes() == call_.request_.body_.size());
}

auto HttpTransfer::advanceUploadTail(MonotonicTime now) -> bool
{
    const auto unsent = tail_->unsentBytes();
    const auto state = tail_->advance();
    if (tail_->unsentBytes() < unsent)
        lastHeard_ = now;
    if (state == UploadTail::State::Sending)
        return true;
    if (state == UploadTail::State::Received)
        endWith(CURLE_OK);
    else
        endWith(Error::IncompleteAnswer,
                call_.address_ + ": the connection was reset while the request was being sent");
    return false;
}

auto HttpTransfer::endWith(CURLcode code) -> void
{
    if (forbidden_) {
        endWith(Error::LeaseExpired, call_.address_ + ": the right to start ran out");
        return;
    }
    if (isWrongAnswer_) {
        endWith(Error::WrongAnswer, call_.address_ + ": the response answers another request");
        return;
    }
    if (isTooLong_) {
        endWith(Error::IncompleteAnswer, call_.address_ + ": the answer is longer than is taken");
        return;
    }
    if (!reader_.problem().empty()) {
        endWith(Error::MalformedAnswer, call_.address_ + ": the answer has " + reader_.problem());
        return;
    }
    if (isWholeAfter(code)) {
        hooks_.ended_(HttpOutcome{.verdict_ = Verdict::Ran, .isDelimited_ = reader_.isDelimited()});
        return;
    }
    if (code == CURLE_OK && reader_.isHeadComplete()) {
        endWith(Error::IncompleteAnswer,
                call_.address_ + ": the answer ended before the request was sent");
        return;
    }
    const auto message = call_.address_ + ": " + curl_easy_strerror(code);
    if (verdict() == Verdict::NotRun)
        endWith(code == CURLE_URL_MALFORMAT ? Error::InvalidArgument : Error::ConnectionFailed,
                message);
    else
        endWith(Error::IncompleteAnswer, message);
}

auto HttpTransfer::endWith(std::error_code error, const std::string &message) -> void
{
    auto osError = 0L;
    curl_easy_getinfo(easy_.get(), CURLINFO_OS_ERRNO, &osError);
    const auto isRefused = !connected_ && osError == ECONNREFUSED;
    hooks_.ended_(
        HttpOutcome{error, verdict(), message, isRefused, reader_.isDelimited(), isTooLong_});
}

auto HttpTransfer::endAsTooLong() -> void
{
    isTooLong_ = true;
    endWith(Error::IncompleteAnswer,
            call_.address_ + ": the answers in progress hold more memory than is allowed, this one "
                + std::to_string(heldBytes_) + " bytes");
}

auto HttpTransfer::takeHeadLine(std::string_view line) -> bool
{
    lastHeard_ = now();
    if (!reader_.takeHeadLine(line))
        return false;
    if (reader_.isHeadComplete())
        takeHead();
    return !isWrongAnswer_;
}

auto HttpTransfer::takeHead() -> void
{
    if (hooks_.head_)
        hooks_.head_(reader_.head());
    isWrongAnswer_ = hooks_.answersThisCall_ && !hooks_.answersThisCall_(reader_.head());
    if (!reader_.isDelimited() && !call_.request_.body_.empty())
        wantSocket();
}

auto HttpTransfer::wantSocket() -> void
{
    wantsSocket_ = true;
    sockets_.want(localAddress_, [this](int socket) {
        const auto body
            = std::string_view(call_.request_.body_.data(), call_.request_.body_.size());
        tail_ = std::make_unique<UploadTail>(socket, body.substr(sentBodyBytes()));
    });
}

auto HttpTransfer::takePart(std::string_view part) -> void
{
    bodyBytes_ += part.size();
    isTooLong_ = isTooLong_ || bodyBytes_ > bodyLimitBytes();
    if (isTooLong_)
        return;
    if (hooks_.part_)
        hooks_.part_(part);
    setHeldBytes(hooks_.heldBytes_ ? hooks_.heldBytes_(bodyBytes_) : bodyBytes_);
    // libcurl may go on with the others before the client looks at what all hold.
    isTooLong_ = heldByAll_.isExceeded() && heldBytes_ > heldByAll_.share();
}

auto HttpTransfer::onHeader(char *data, std::size_t size, std::size_t count, void *self)
    -> std::size_t
{
    auto &transfer = *static_cast<HttpTransfer *>(self);
    transfer.headBytes_ += size * count;
    transfer.isTooLong_ = transfer.headBytes_ > transfer.call_.headLimitBytes_;
    if (transfer.isTooLong_)
        return CURL_WRITEFUNC_ERROR;
    return transfer.takeHeadLine({data, size * count}) ? size * count : CURL_WRITEFUNC_ERROR;
}

auto HttpTransfer::onBody(char *data, std::size_t size, std::size_t count, void *self)
    -> std::size_t
{
    auto &transfer = *static_cast<HttpTransfer *>(self);
    transfer.lastHeard_ = now();
    const auto isBody = transfer.reader_.takeBody(
        {data, size * count}, [&](std::string_view part) { transfer.takePart(part); });
    // A connection with bytes that belong to no answer is closed.
    const auto goesOn = isBody && !transfer.isTooLong_ && !transfer.reader_.hasExcess();
    return goesOn ? size * count : CURL_WRITEFUNC_ERROR;
}

auto HttpTransfer::onClose(void *sockets, curl_socket_t socket) -> int
{
    return static_cast<SocketHandover *>(sockets)->close(socket);
}

auto HttpTransfer::onConnected(void *self, char * /*remoteIp*/, char *localIp, int /*remotePort*/,
                               int localPort) -> int
{
    auto *transfer = static_cast<HttpTransfer *>(self);
    // libcurl sends a request anew when a pooled connection breaks before the answer; whether to
    // repeat it is for the caller to say.
    if (transfer->connected_)
        return CURL_PREREQFUNC_ABORT;
    const auto &mayStart = transfer->call_.mayStart_;
    transfer->forbidden_ = mayStart && !mayStart();
    if (transfer->forbidden_)
        return CURL_PREREQFUNC_ABORT;
    transfer->connected_ = true;
    transfer->localAddress_ = std::string(localIp) + ":" + std::to_string(localPort);
    transfer->lastHeard_ = now();
    return CURL_PREREQFUNC_OK;
}

} // namespace lycheereach
