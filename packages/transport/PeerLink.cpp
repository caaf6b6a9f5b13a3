#include "transport/PeerLink.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <utility>

namespace lycheereach {

namespace {

constexpr auto firstBackoff = std::chrono::milliseconds(25);
/// A process that is started again is found within this time; a refused attempt costs its machine
/// next to nothing.
constexpr auto longestBackoff = std::chrono::milliseconds(200);
/// The pause after a peer that did not prove the key.
constexpr auto rejectedBackoff = std::chrono::milliseconds(800);
/// Messages that go out in one write.
constexpr std::size_t batchBytes = 256U << 10U;

auto now() -> MonotonicTime
{
    return std::chrono::steady_clock::now();
}

} // namespace

PeerLink::PeerLink(std::shared_ptr<PeerContext> context, EntryId peer,
                   asio::ip::tcp::endpoint endpoint)
    : context_(std::move(context))
    , peer_(std::move(peer))
    , endpoint_(std::move(endpoint))
    , strand_(asio::make_strand(context_->io_))
    , timer_(strand_)
    , backoff_(firstBackoff)
{ }

auto PeerLink::start() -> void
{
    asio::post(strand_, [self = shared_from_this()] { self->connect(); });
}

auto PeerLink::send(std::string frame, std::string superseded) -> void
{
    const auto size = frame.size();
    if (waitingBytes_.fetch_add(size) + size > context_->settings_.queueLimitBytes_) {
        waitingBytes_ -= size;
        ++context_->messagesDropped_;
        return;
    }
    auto waiting = Waiting{std::move(frame), now(), true, std::move(superseded)};
    asio::post(strand_, [self = shared_from_this(), waiting = std::move(waiting)]() mutable {
        self->queue(std::move(waiting));
    });
}

auto PeerLink::close() -> void
{
    asio::post(strand_, [self = shared_from_this()] {
        self->state_ = State::Closed;
        self->dropConnection();
        self->timer_.cancel();
    });
}

auto PeerLink::connect() -> void
{
    if (state_ == State::Closed)
        return;
    state_ = State::Connecting;
    lastHeard_ = now();
    connection_ = std::make_shared<Connection>(strand_);
    connection_->socket_.async_connect(
        endpoint_,
        [self = shared_from_this(), connection = connection_](const std::error_code &error) {
            if (connection != self->connection_)
                return;
            if (error)
                self->fail();
            else
                self->sendHello();
        });
    tick();
}

auto PeerLink::sendHello() -> void
{
    auto ignored = std::error_code{};
    connection_->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    state_ = State::Proving;
    hello_ = PeerHello{context_->settings_.self_, peer_, makeNonce()};
    writeHandshake(encode(hello_).dump());
    readMore();
}

auto PeerLink::readMore() -> void
{
    connection_->socket_.async_read_some(asio::buffer(connection_->buffer_),
                                         [self = shared_from_this(), connection = connection_](
                                             const std::error_code &error, std::size_t size) {
                                             if (connection != self->connection_)
                                                 return;
                                             if (error)
                                                 self->fail();
                                             else
                                                 self->take(size);
                                         });
}

auto PeerLink::take(std::size_t size) -> void
{
    lastHeard_ = now();
    context_->bytesReceived_ += size;
    const auto connection = connection_;
    connection->frames_.append({connection->buffer_.data(), size});
    while (connection == connection_) {
        const auto frame = connection->frames_.next();
        if (!frame)
            break;
        takeFrame(*frame);
    }
    if (connection != connection_)
        return;
    if (connection->frames_.isTooLarge())
        fail();
    else
        readMore();
}

auto PeerLink::takeFrame(const std::string &frame) -> void
{
    if (state_ == State::Proving) {
        takeChallenge(frame);
        return;
    }
    const auto stamped = decodeNotification(frame);
    if (!stamped) {
        fail();
        return;
    }
    backoff_ = firstBackoff;
    context_->deliver(peer_, *stamped);
}

auto PeerLink::takeChallenge(const std::string &frame) -> void
{
    const auto &key = context_->settings_.key_;
    const auto challenge = decodeText<PeerChallenge>(frame, "peer handshake");
    const auto nonce = challenge ? challenge->nonce_ : std::string{};
    const auto expected = handshakeProof(key, PeerSide::Listening, hello_, nonce);
    if (!challenge || !sameProof(challenge->proof_, expected)) {
        context_->tellKeyRejected(printEndpoint(endpoint_));
        backoff_ = rejectedBackoff;
        fail();
        return;
    }
    const auto proof = handshakeProof(key, PeerSide::Connecting, hello_, nonce);
    writeHandshake(encode(PeerProof{proof}).dump());
    connection_->frames_.setLimit(context_->frameLimit());
    state_ = State::Ready;
    beat();
}

auto PeerLink::queue(Waiting waiting) -> void
{
    if (state_ != State::Ready) {
        dropStale();
        dropSuperseded(waiting.method_);
    }
    waiting_.push_back(std::move(waiting));
    if (state_ == State::Ready)
        writeNext();
}

auto PeerLink::dropSuperseded(const std::string &method) -> void
{
    if (method.empty())
        return;
    std::erase_if(waiting_, [&](const Waiting &waiting) {
        const auto isVoid = waiting.method_ == method;
        if (isVoid)
            waitingBytes_ -= waiting.frame_.size();
        return isVoid;
    });
}

/// Messages that have waited for a connection for too long say nothing about the present.
auto PeerLink::dropStale() -> void
{
    const auto oldest = now() - context_->settings_.silenceTimeout_;
    while (!waiting_.empty() && waiting_.front().since_ < oldest) {
        waitingBytes_ -= waiting_.front().frame_.size();
        if (waiting_.front().isMessage_)
            ++context_->messagesDropped_;
        waiting_.pop_front();
    }
}

auto PeerLink::writeNext() -> void
{
    if (connection_->writeUnderWay_ || state_ != State::Ready)
        return;
    auto batch = std::string{};
    while (!waiting_.empty() && batch.size() < batchBytes) {
        waitingBytes_ -= waiting_.front().frame_.size();
        batch += waiting_.front().frame_;
        if (waiting_.front().isMessage_)
            ++context_->messagesSent_;
        waiting_.pop_front();
    }
    if (!batch.empty())
        write(std::move(batch));
}

/// Goes out before every message; the peer's answer to the last handshake frame may overtake the
/// end of its write.
auto PeerLink::writeHandshake(const std::string &text) -> void
{
    auto frame = encodeFrame(text);
    if (!connection_->writeUnderWay_) {
        write(std::move(frame));
        return;
    }
    waitingBytes_ += frame.size();
    waiting_.push_front(Waiting{std::move(frame), now(), false, {}});
}

auto PeerLink::write(std::string bytes) -> void
{
    connection_->writing_ = std::move(bytes);
    connection_->writeUnderWay_ = true;
    lastSent_ = now();
    asio::async_write(connection_->socket_, asio::buffer(connection_->writing_),
                      [self = shared_from_this(),
                       connection = connection_](const std::error_code &error, std::size_t size) {
                          self->context_->bytesSent_ += size;
                          connection->writeUnderWay_ = false;
                          if (connection != self->connection_)
                              return;
                          if (error)
                              self->fail();
                          else
                              self->writeNext();
                      });
}

auto PeerLink::tick() -> void
{
    timer_.expires_after(context_->settings_.heartbeatInterval_);
    timer_.async_wait(
        [self = shared_from_this(), connection = connection_](const std::error_code &error) {
            if (error || connection != self->connection_)
                return;
            const auto &settings = self->context_->settings_;
            if (now() - self->lastHeard_ <= settings.silenceTimeout_) {
                const auto oldest = std::min(self->lastHeard_, self->lastSent_);
                if (now() - oldest >= settings.heartbeatInterval_)
                    self->beat();
                self->tick();
                return;
            }
            if (self->state_ != State::Connecting)
                self->context_->tellSilent(self->peer_);
            self->fail();
        });
}

auto PeerLink::beat() -> void
{
    if (state_ != State::Ready)
        return;
    auto frame = context_->frameOf(PeerMessage{heartbeatMethod, Json::object()});
    if (!frame)
        return;
    waitingBytes_ += frame->size();
    queue(Waiting{std::move(*frame), now(), false, {}});
}

auto PeerLink::fail() -> void
{
    if (state_ == State::Closed || state_ == State::Broken)
        return;
    state_ = State::Broken;
    dropConnection();
    std::erase_if(waiting_, [this](const Waiting &waiting) {
        if (!waiting.isMessage_)
            waitingBytes_ -= waiting.frame_.size();
        return !waiting.isMessage_;
    });
    timer_.expires_after(backoff_);
    backoff_ = std::min<Duration>(2 * backoff_, longestBackoff);
    timer_.async_wait([self = shared_from_this()](const std::error_code &error) {
        if (error)
            return;
        self->dropStale();
        self->connect();
    });
}

auto PeerLink::dropConnection() -> void
{
    if (!connection_)
        return;
    auto ignored = std::error_code{};
    connection_->socket_.close(ignored);
    connection_.reset();
}

} // namespace lycheereach
