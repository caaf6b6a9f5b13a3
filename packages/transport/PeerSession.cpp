#include "transport/PeerSession.h"

#include "transport/ConnectionUsage.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <utility>

namespace lycheereach {

namespace {

/// The longest time for the handshake, in silence timeouts.
constexpr auto handshakeSilences = 3;

} // namespace

PeerSession::PeerSession(std::shared_ptr<PeerContext> context, PeerStrand strand,
                         asio::ip::tcp::socket socket, Accepted accepted)
    : context_(std::move(context))
    , strand_(strand)
    , peerStrand_(strand)
    , socket_(std::move(socket))
    , timer_(strand_)
    , accepted_(std::move(accepted))
    , nonce_(makeNonce())
    , startedAt_(std::chrono::steady_clock::now())
    , lastHeard_(startedAt_)
{ }

auto PeerSession::start() -> void
{
    asio::post(strand_, [self = shared_from_this()] {
        auto ignored = std::error_code{};
        self->remote_ = printEndpoint(self->socket_.remote_endpoint(ignored));
        self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->watchSilence();
        self->readMore();
    });
}

auto PeerSession::close() -> void
{
    closed_ = true;
    asio::post(strand_, [self = shared_from_this()] { self->closeNow(); });
}

auto PeerSession::readMore() -> void
{
    handling_ = false;
    if (closed_)
        return;
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const std::error_code &error, std::size_t size) {
            if (error)
                self->closeNow();
            else
                self->take(size);
        });
}

auto PeerSession::take(std::size_t size) -> void
{
    lastHeard_ = std::chrono::steady_clock::now();
    if (usage_)
        usage_->recordReceived();
    context_->bytesReceived_ += size;
    frames_.append({buffer_.data(), size});
    while (!proved_ && !closed_) {
        const auto frame = frames_.next();
        if (!frame)
            break;
        takeHandshake(*frame);
    }
    auto frames = Frames{};
    while (proved_) {
        auto frame = frames_.next();
        if (!frame)
            break;
        frames.push_back(std::move(*frame));
    }
    if (frames_.isTooLarge()) {
        closeNow();
        return;
    }
    if (frames.empty()) {
        readMore();
        return;
    }
    handling_ = true;
    asio::post(peerStrand_, [self = shared_from_this(), frames = std::move(frames)]() mutable {
        self->handleFrames(std::move(frames));
    });
}

auto PeerSession::takeHandshake(const std::string &frame) -> void
{
    if (helloTaken_)
        takeProof(frame);
    else
        takeHello(frame);
}

auto PeerSession::takeHello(const std::string &frame) -> void
{
    const auto hello = decodeText<PeerHello>(frame, "peer handshake");
    if (!hello || hello->to_ != context_->settings_.self_) {
        closeNow();
        return;
    }
    hello_ = *hello;
    helloTaken_ = true;
    const auto proof
        = handshakeProof(context_->settings_.key_, PeerSide::Listening, hello_, nonce_);
    write(encodeFrame(encode(PeerChallenge{nonce_, proof}).dump()));
}

auto PeerSession::takeProof(const std::string &frame) -> void
{
    const auto proof = decodeText<PeerProof>(frame, "peer handshake");
    const auto expected
        = handshakeProof(context_->settings_.key_, PeerSide::Connecting, hello_, nonce_);
    if (!proof || !sameProof(proof->proof_, expected)) {
        rejectKey();
        return;
    }
    proved_ = true;
    frames_.setLimit(context_->frameLimit());
    buffer_.resize(readBufferBytes);
    if (usage_)
        usage_->exempt();
    peerStrand_ = accepted_(hello_.from_, shared_from_this());
}

auto PeerSession::handleFrames(Frames frames) -> void
{
    for (const auto &frame : frames) {
        if (closed_)
            return;
        if (!handleFrame(frame)) {
            close();
            return;
        }
    }
    asio::post(strand_, [self = shared_from_this()] { self->readMore(); });
}

auto PeerSession::handleFrame(const std::string &frame) -> bool
{
    const auto stamped = decodeNotification(frame);
    if (!stamped)
        return false;
    context_->deliver(hello_.from_, *stamped);
    if (stamped->message_.method_ == heartbeatMethod)
        asio::post(strand_, [self = shared_from_this()] { self->answerHeartbeat(); });
    return true;
}

auto PeerSession::answerHeartbeat() -> void
{
    if (auto frame = context_->frameOf(PeerMessage{heartbeatMethod, Json::object()}))
        write(std::move(*frame));
}

auto PeerSession::send(std::string frame) -> void
{
    asio::post(strand_, [self = shared_from_this(), frame = std::move(frame)]() mutable {
        ++self->context_->messagesSent_;
        self->write(std::move(frame));
    });
}

auto PeerSession::write(std::string bytes) -> void
{
    if (closed_)
        return;
    // A peer that reads nothing is cut off.
    if (waiting_.size() + bytes.size() > context_->settings_.queueLimitBytes_) {
        closeNow();
        return;
    }
    waiting_ += bytes;
    if (writing_.empty())
        writeNext();
}

auto PeerSession::writeNext() -> void
{
    writing_.clear();
    writing_.swap(waiting_);
    if (writing_.empty() || closed_)
        return;
    asio::async_write(socket_, asio::buffer(writing_),
                      [self = shared_from_this()](const std::error_code &error, std::size_t size) {
                          self->context_->bytesSent_ += size;
                          if (error)
                              self->closeNow();
                          else
                              self->writeNext();
                      });
}

auto PeerSession::watchSilence() -> void
{
    timer_.expires_after(context_->settings_.silenceTimeout_);
    timer_.async_wait([self = shared_from_this()](const std::error_code &error) {
        if (error || self->closed_)
            return;
        const auto &limit = self->context_->settings_.silenceTimeout_;
        const auto now = std::chrono::steady_clock::now();
        const auto isSilent = now - self->lastHeard_ > limit && !self->handling_;
        const auto isUnproved
            = !self->proved_ && now - self->startedAt_ > handshakeSilences * limit;
        if (isSilent || isUnproved)
            self->closeNow();
        else
            self->watchSilence();
    });
}

auto PeerSession::rejectKey() -> void
{
    context_->tellKeyRejected(remote_);
    closeNow();
}

auto PeerSession::closeNow() -> void
{
    closed_ = true;
    auto ignored = std::error_code{};
    socket_.close(ignored);
    timer_.cancel();
}

} // namespace lycheereach
