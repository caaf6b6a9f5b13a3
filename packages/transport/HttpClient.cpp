#include "transport/HttpClient.h"

#include "base/ErrorCode.h"
#include "base/RankedMutex.h"
#include "transport/HttpTransfer.h"
#include "transport/SocketHandover.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace lycheereach {

namespace {

/// How often silence is looked for while calls are in progress.
constexpr auto silenceCheckPeriod = std::chrono::milliseconds(10);
constexpr auto idlePollTimeout = std::chrono::seconds(1);
constexpr long pooledConnections = 512;
constexpr auto silentMessage = "nothing came within the time limit";

auto initializeCurl() -> void
{
    static const auto code = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(code);
}

/// The answer that fetch() gathers.
struct FetchState
{
    HttpResponse response_;
    std::promise<Result<HttpResponse>> promise_;
};

auto fetchHooks(const std::shared_ptr<FetchState> &state) -> HttpCallHooks
{
    auto hooks = HttpCallHooks{};
    hooks.head_ = [state](const HttpResponse &head) { state->response_ = head; };
    hooks.part_ = [state](std::string_view part) { state->response_.body_ += part; };
    hooks.ended_ = [state](const HttpOutcome &outcome) {
        if (outcome.error_)
            state->promise_.set_value(
                Failure{outcome.error_, outcome.message_, outcome.verdict_, {}});
        else
            state->promise_.set_value(std::move(state->response_));
    };
    return hooks;
}

} // namespace

class HttpClient::Impl
{
public:
    explicit Impl(HttpClientSettings settings)
    {
        heldBytes_.limit_ = settings.heldBytesLimit_;
        initializeCurl();
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, pooledConnections);
        thread_ = std::thread([this] { run(); });
    }

    ~Impl()
    {
        {
            const auto lock = std::scoped_lock(mutex_);
            stopping_ = true;
        }
        curl_multi_wakeup(multi_);
        thread_.join();
        curl_multi_cleanup(multi_);
    }
    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;

    auto start(HttpCall call, HttpCallHooks hooks) -> HttpCallId
    {
        const auto id = ++lastId_;
        {
            const auto lock = std::scoped_lock(mutex_);
            starts_.push_back(Start{id, std::move(call), std::move(hooks)});
        }
        curl_multi_wakeup(multi_);
        return id;
    }

    auto cancel(HttpCallId id, Error reason) -> void
    {
        {
            const auto lock = std::scoped_lock(mutex_);
            cancels_.emplace_back(id, reason);
        }
        curl_multi_wakeup(multi_);
    }

private:
    struct Start
    {
        HttpCallId id_;
        HttpCall call_;
        HttpCallHooks hooks_;
    };
    using Transfers = std::map<HttpCallId, std::unique_ptr<HttpTransfer>>;

    auto run() -> void
    {
        while (takeCommands()) {
            auto running = 0;
            curl_multi_perform(multi_, &running);
            endFinished();
            advanceUploadTails();
            endLargest();
            endSilent();
            const auto timeout = transfers_.empty() ? std::chrono::milliseconds(idlePollTimeout)
                                                    : silenceCheckPeriod;
            auto sockets = uploadTailSockets();
            curl_multi_poll(multi_, sockets.data(), static_cast<unsigned>(sockets.size()),
                            static_cast<int>(timeout.count()), nullptr);
        }
    }

    /// Carries out start() and cancel(); says whether to go on.
    auto takeCommands() -> bool
    {
        auto starts = std::vector<Start>{};
        auto cancels = std::vector<std::pair<HttpCallId, Error>>{};
        auto stopping = false;
        {
            const auto lock = std::scoped_lock(mutex_);
            starts.swap(starts_);
            cancels.swap(cancels_);
            stopping = stopping_;
        }
        for (auto &start : starts)
            begin(std::move(start));
        for (const auto &[id, reason] : cancels)
            end(id, reason,
                reason == Error::ConnectionSilent ? silentMessage : "the call was cancelled");
        if (!stopping)
            return true;
        while (!transfers_.empty())
            end(transfers_.begin()->first, Error::ShuttingDown, "the client shuts down");
        return false;
    }

    auto begin(Start start) -> void
    {
        auto transfer = std::make_unique<HttpTransfer>(
            std::move(start.call_), std::move(start.hooks_), std::chrono::steady_clock::now(),
            heldBytes_, sockets_);
        curl_multi_add_handle(multi_, transfer->handle());
        idOf_[transfer->handle()] = start.id_;
        transfers_.emplace(start.id_, std::move(transfer));
    }

    /// Takes a call out of libcurl; closes its connection when the call is in progress.
    auto remove(HttpCallId id) -> std::unique_ptr<HttpTransfer>
    {
        const auto found = transfers_.find(id);
        if (found == transfers_.end())
            return nullptr;
        auto transfer = std::move(found->second);
        transfers_.erase(found);
        uploadTails_.erase(id);
        idOf_.erase(transfer->handle());
        curl_multi_remove_handle(multi_, transfer->handle());
        return transfer;
    }

    auto end(HttpCallId id, Error error, const std::string &message) -> void
    {
        if (const auto transfer = remove(id))
            transfer->endWith(error, message);
    }

    auto endFinished() -> void
    {
        auto left = 0;
        while (const auto *message = curl_multi_info_read(multi_, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            const auto code = message->data.result;
            const auto id = idOf_.at(message->easy_handle);
            if (code == CURLE_OK && transfers_.at(id)->uploadTail() != nullptr) {
                curl_multi_remove_handle(multi_, message->easy_handle);
                uploadTails_.insert(id);
            } else {
                remove(id)->endWith(code);
            }
        }
    }

    auto advanceUploadTails() -> void
    {
        const auto now = std::chrono::steady_clock::now();
        for (const auto id : std::vector(uploadTails_.begin(), uploadTails_.end())) {
            if (!transfers_.at(id)->advanceUploadTail(now))
                remove(id);
        }
    }

    /// The sockets that libcurl has closed and that still send the rest of a request.
    auto uploadTailSockets() const -> std::vector<curl_waitfd>
    {
        auto sockets = std::vector<curl_waitfd>{};
        for (const auto id : uploadTails_) {
            const auto &tail = *transfers_.at(id)->uploadTail();
            if (tail.unsentBytes() > 0)
                sockets.push_back({tail.socket(), CURL_WAIT_POLLOUT, 0});
        }
        return sockets;
    }

    /// Ends the calls whose receivers hold most while all together hold too much.
    auto endLargest() -> void
    {
        while (heldBytes_.isExceeded()) {
            const auto largest
                = std::max_element(transfers_.begin(), transfers_.end(), [](auto &one, auto &two) {
                      return one.second->heldBytes() < two.second->heldBytes();
                  });
            remove(largest->first)->endAsTooLong();
        }
    }

    auto endSilent() -> void
    {
        const auto now = std::chrono::steady_clock::now();
        if (now < nextSilenceCheck_)
            return;
        nextSilenceCheck_ = now + silenceCheckPeriod;
        auto silent = std::vector<HttpCallId>{};
        for (const auto &[id, transfer] : transfers_) {
            if (transfer->isOverTime(now)
                || (transfer->isSilent(now) && !transfer->tellSilence(now)))
                silent.push_back(id);
        }
        for (const auto id : silent)
            end(id, Error::ConnectionSilent, silentMessage);
    }

    std::atomic<HttpCallId> lastId_ = 0;
    RankedMutex mutex_{LockRank::Transport};
    std::vector<Start> starts_;
    std::vector<std::pair<HttpCallId, Error>> cancels_;
    bool stopping_ = false;

    CURLM *multi_ = nullptr;
    HeldBytes heldBytes_;
    SocketHandover sockets_;
    Transfers transfers_;
    /// The calls with an HttpTransfer::uploadTail().
    std::set<HttpCallId> uploadTails_;
    std::map<CURL *, HttpCallId> idOf_;
    MonotonicTime nextSilenceCheck_;
    std::thread thread_;
};

HttpClient::HttpClient(HttpClientSettings settings)
    : impl_(std::make_unique<Impl>(settings))
{ }

HttpClient::~HttpClient() = default;

auto HttpClient::start(HttpCall call, HttpCallHooks hooks) -> HttpCallId
{
    return impl_->start(std::move(call), std::move(hooks));
}

auto HttpClient::cancel(HttpCallId id, Error reason) -> void
{
    impl_->cancel(id, reason);
}

auto HttpClient::fetch(HttpCall call) -> Result<HttpResponse>
{
    auto state = std::make_shared<FetchState>();
    auto answer = state->promise_.get_future();
    start(std::move(call), fetchHooks(state));
    return answer.get();
}

} // namespace lycheereach
