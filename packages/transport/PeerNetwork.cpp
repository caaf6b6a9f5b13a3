#include "transport/PeerNetwork.h"

#include "base/ErrorCode.h"
#include "base/RankedMutex.h"
#include "transport/ConnectionRegistry.h"
#include "transport/PeerContext.h"
#include "transport/PeerLink.h"
#include "transport/PeerSession.h"
#include "transport/WorkerPool.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace lycheereach {

namespace {

/// The wait after a failed accept, for example for want of file descriptors.
constexpr auto acceptRetryDelay = std::chrono::milliseconds(100);

/// The connections that a process knows; kept alive by the listener and sessions.
class PeerRegistry : public std::enable_shared_from_this<PeerRegistry>
{
public:
    explicit PeerRegistry(std::shared_ptr<PeerContext> context)
        : context_(std::move(context))
        , acceptor_(context_->io_)
        , retryTimer_(context_->io_)
        , selfStrand_(asio::make_strand(context_->io_))
    { }

    auto listen() -> std::error_code
    {
        const auto endpoint = parseEndpoint(context_->settings_.address_);
        if (!endpoint)
            return Error::InvalidArgument;
        auto error = std::error_code{};
        acceptor_.open(endpoint->protocol(), error);
        if (!error)
            acceptor_.set_option(asio::socket_base::reuse_address(true), error);
        if (!error)
            acceptor_.bind(*endpoint, error);
        if (!error)
            acceptor_.listen(asio::socket_base::max_listen_connections, error);
        if (!error)
            port_ = acceptor_.local_endpoint(error).port();
        if (!error)
            acceptNext();
        return {error.value(), std::system_category()};
    }

    auto setPeer(const EntryId &peer, const std::string &address) -> void
    {
        const auto endpoint = parseEndpoint(address);
        const auto lock = std::scoped_lock(mutex_);
        const auto found = links_.find(peer);
        if (found != links_.end()) {
            if (endpoint && found->second->endpoint() == *endpoint)
                return;
            found->second->close();
            links_.erase(found);
        }
        if (stopped_ || !endpoint || peer == context_->settings_.self_)
            return;
        auto link = std::make_shared<PeerLink>(context_, peer, *endpoint);
        link->start();
        links_.emplace(peer, std::move(link));
    }

    auto send(const EntryId &peer, PeerMessage message) -> void
    {
        if (peer == context_->settings_.self_)
            deliverHere(std::move(message));
        else
            send(std::vector{peer}, message);
    }

    auto send(const std::vector<EntryId> &peers, const PeerMessage &message) -> void
    {
        const auto frame = context_->frameOf(message);
        if (!frame)
            return;
        const auto superseded = message.supersedes_ ? message.method_ : std::string();
        for (const auto &peer : peers) {
            if (const auto link = findLink(peer))
                link->send(*frame, superseded);
            else if (const auto session = findSession(peer))
                session->send(*frame);
            else
                ++context_->messagesDropped_;
        }
    }

    auto stop() -> void
    {
        {
            const auto lock = std::scoped_lock(mutex_);
            stopped_ = true;
            for (const auto &[peer, link] : links_)
                link->close();
            links_.clear();
            for (const auto &weak : sessions_) {
                if (const auto session = weak.lock())
                    session->close();
            }
        }
        closeAcceptor();
        context_->gate_.close();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return port_; }

private:
    /// Where the messages of a peer are handled, and its present connection.
    struct Incoming
    {
        PeerStrand strand_;
        std::weak_ptr<PeerSession> session_;
    };

    auto deliverHere(PeerMessage message) -> void
    {
        asio::post(selfStrand_, [context = context_, message = std::move(message)]() mutable {
            context->deliver(context->settings_.self_, StampedMessage{{}, std::move(message)});
        });
    }

    auto findSession(const EntryId &peer) -> std::shared_ptr<PeerSession>
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = incoming_.find(peer);
        return found == incoming_.end() ? nullptr : found->second.session_.lock();
    }

    auto findLink(const EntryId &peer) -> std::shared_ptr<PeerLink>
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = links_.find(peer);
        return found == links_.end() ? nullptr : found->second;
    }

    auto acceptNext() -> void
    {
        const auto lock = std::scoped_lock(acceptMutex_);
        if (!acceptor_.is_open())
            return;
        const auto strand = asio::make_strand(context_->io_);
        acceptor_.async_accept(strand,
                               [self = shared_from_this(), strand](const std::error_code &error,
                                                                   asio::ip::tcp::socket socket) {
                                   if (error) {
                                       self->retryAccept();
                                       return;
                                   }
                                   self->startSession(strand, std::move(socket));
                                   self->acceptNext();
                               });
    }

    auto retryAccept() -> void
    {
        const auto lock = std::scoped_lock(acceptMutex_);
        if (!acceptor_.is_open())
            return;
        retryTimer_.expires_after(acceptRetryDelay);
        retryTimer_.async_wait([self = shared_from_this()](const std::error_code &error) {
            if (!error)
                self->acceptNext();
        });
    }

    auto closeAcceptor() -> void
    {
        const auto lock = std::scoped_lock(acceptMutex_);
        auto ignored = std::error_code{};
        acceptor_.close(ignored);
        retryTimer_.cancel();
    }

    auto startSession(const PeerStrand &strand, asio::ip::tcp::socket socket) -> void
    {
        auto session = std::make_shared<PeerSession>(
            context_, strand, std::move(socket),
            [weak = weak_from_this(), strand](const EntryId &peer,
                                              const std::shared_ptr<PeerSession> &accepted) {
                const auto self = weak.lock();
                return self ? self->replaceSession(peer, accepted) : strand;
            });
        if (const auto &connections = context_->settings_.connections_) {
            auto usage = connections->admit([weak = std::weak_ptr(session)] {
                if (const auto open = weak.lock())
                    open->close();
            });
            if (!usage) // Counted by the registry.
                return;
            session->setUsage(std::move(usage));
        }
        const auto lock = std::scoped_lock(mutex_);
        if (stopped_)
            return;
        std::erase_if(sessions_, [](const auto &weak) { return weak.expired(); });
        sessions_.push_back(session);
        session->start();
    }

    auto replaceSession(const EntryId &peer, const std::shared_ptr<PeerSession> &session)
        -> PeerStrand
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto fresh = Incoming{asio::make_strand(context_->io_), session};
        const auto [found, inserted] = incoming_.emplace(peer, fresh);
        if (!inserted) {
            if (const auto earlier = found->second.session_.lock())
                earlier->close();
            found->second.session_ = session;
        }
        return found->second.strand_;
    }

    std::shared_ptr<PeerContext> context_;
    std::mutex acceptMutex_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retryTimer_;
    PeerStrand selfStrand_;
    std::uint16_t port_ = 0;
    RankedMutex mutex_{LockRank::Transport};
    bool stopped_ = false;
    std::map<EntryId, std::shared_ptr<PeerLink>> links_;
    std::map<EntryId, Incoming> incoming_;
    std::vector<std::weak_ptr<PeerSession>> sessions_;
};

} // namespace

class PeerNetwork::Impl
{
public:
    Impl(WorkerPool &workers, HybridClock &clock, PeerNetworkSettings settings,
         PeerNetworkHooks hooks)
        : context_(std::make_shared<PeerContext>(workers.context(), clock, std::move(settings),
                                                 std::move(hooks)))
        , registry_(std::make_shared<PeerRegistry>(context_))
    { }

    std::shared_ptr<PeerContext> context_;
    std::shared_ptr<PeerRegistry> registry_;
};

PeerNetwork::PeerNetwork(WorkerPool &workers, HybridClock &clock, PeerNetworkSettings settings,
                         PeerNetworkHooks hooks)
    : impl_(std::make_unique<Impl>(workers, clock, std::move(settings), std::move(hooks)))
{ }

PeerNetwork::~PeerNetwork()
{
    stop();
}

auto PeerNetwork::start() -> std::error_code
{
    return impl_->registry_->listen();
}

auto PeerNetwork::port() const -> std::uint16_t
{
    return impl_->registry_->port();
}

auto PeerNetwork::setPeer(const EntryId &peer, const std::string &address) -> void
{
    impl_->registry_->setPeer(peer, address);
}

auto PeerNetwork::send(const EntryId &peer, PeerMessage message) -> void
{
    impl_->registry_->send(peer, std::move(message));
}

auto PeerNetwork::send(const std::vector<EntryId> &peers, const PeerMessage &message) -> void
{
    impl_->registry_->send(peers, message);
}

auto PeerNetwork::counters() const -> PeerNetworkCounters
{
    return impl_->context_->counters();
}

auto PeerNetwork::stop() -> void
{
    impl_->registry_->stop();
}

} // namespace lycheereach
