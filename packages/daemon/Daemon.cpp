#include "daemon/Daemon.h"

#include "base/HybridClock.h"
#include "base/SystemClock.h"
#include "control/ControlService.h"
#include "daemon/HttpRoutes.h"
#include "daemon/OrderSender.h"
#include "gateway/AdminApi.h"
#include "gateway/BudgetService.h"
#include "gateway/CallerApi.h"
#include "gateway/ClaimSettler.h"
#include "gateway/Metrics.h"
#include "gateway/RequestService.h"
#include "gateway/SuspicionService.h"
#include "gateway/UpstreamApi.h"
#include "log/FileLogStorage.h"
#include "serving/ClaimExpiry.h"
#include "serving/LeaseholderService.h"
#include "serving/LoadReport.h"
#include "serving/PermitBroker.h"
#include "serving/PlannerService.h"
#include "settings/TextFile.h"
#include "timeline/EventRecorder.h"
#include "transport/ConnectionRegistry.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"
#include "transport/PeerNetwork.h"
#include "transport/WorkerPool.h"

#include <thread>
#include <utility>

#include <sys/resource.h>

namespace lycheereach {

namespace {

constexpr auto controlTick = std::chrono::milliseconds(20);
constexpr auto plannerTick = std::chrono::milliseconds(100);
constexpr auto servingTick = std::chrono::milliseconds(100);
constexpr auto queueTick = std::chrono::milliseconds(20);
constexpr auto eventTick = std::chrono::milliseconds(200);
/// Responses in progress may hold the memory of the process divided by this.
constexpr std::size_t heldResponsesMemoryDivisor = 4;
constexpr auto stopPoll = std::chrono::milliseconds(20);
/// Time for the server to read the requests on the last connections and to send the last answers.
constexpr auto finalAnswerTime = std::chrono::milliseconds(200);
/// The longest wait for another entry to take over the groups held here.
constexpr auto handoverLimit = std::chrono::seconds(10);

auto controlSettings(const DaemonSettings &settings) -> ControlSettings
{
    const auto incarnation = static_cast<Incarnation>(readWall().time_since_epoch().count());
    auto control = ControlSettings{
        .ownRecord_
        = EntryRecord{settings.id_, incarnation, settings.zone_, settings.address_,
                      settings.peerAddress_, EntryPhase::Live, settings.dataFolder_.has_value()},
        .stateLeaseDuration_ = std::chrono::milliseconds(settings.stateLeaseMs_),
        .renewalInterval_ = std::chrono::milliseconds(settings.renewEveryMs_),
        .logHeartbeatInterval_ = std::chrono::milliseconds(settings.logHeartbeatMs_),
        .logElectionTimeout_ = std::chrono::milliseconds(settings.logElectionMs_)};
    for (const auto &voter : settings.voters_)
        control.initialVoters_.push_back(voter.id_);
    return control;
}

auto storageFor(const DaemonSettings &settings) -> std::unique_ptr<LogStorage>
{
    if (!settings.dataFolder_)
        return nullptr;
    return std::make_unique<FileLogStorage>(*settings.dataFolder_);
}

auto serverSettings(const std::string &address, std::shared_ptr<ConnectionRegistry> connections,
                    const EventSink &event) -> HttpServerSettings
{
    const auto colon = address.rfind(':');
    const auto port = std::stoul(address.substr(colon + 1));
    return HttpServerSettings{.address_ = address.substr(0, colon),
                              .port_ = static_cast<std::uint16_t>(port),
                              .connections_ = std::move(connections),
                              .event_ = event};
}

auto memoryBytes(const DaemonSettings &settings) -> std::size_t
{
    constexpr std::size_t bytesPerMb = 1'000'000;
    return settings.memoryLimitMb_ * bytesPerMb;
}

/// The files that the system allows this process to have open.
auto openFileLimit() -> std::size_t
{
    auto limit = rlimit{};
    constexpr std::size_t usualLimit = 1024;
    return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : usualLimit;
}

/// The key in \a file, which the check of the settings has read before.
auto keyIn(const std::optional<std::string> &file) -> std::optional<std::string>
{
    if (!file)
        return std::nullopt;
    const auto key = readKeyFile(*file);
    return key ? std::optional(*key) : std::nullopt;
}

} // namespace

/// The parts in the order in which they need each other.
class Daemon::Parts
{
public:
    explicit Parts(DaemonSettings settings);

    auto start() -> Result<Nothing>;
    auto stop(const std::atomic<bool> &hurry) -> void;

private:
    auto controlHooks() -> ControlHooks;
    auto leaseholderHooks() -> LeaseholderHooks;
    auto brokerHooks() -> PermitBrokerHooks;
    auto plannerHooks() -> PlannerServiceHooks;
    auto networkHooks() -> PeerNetworkHooks;
    auto requestContext() -> RequestContext;
    [[nodiscard]] auto claimOf(const IdempotencyKey &key) const -> std::optional<Claim>;
    /// Sends a message to a peer.
    auto sender() -> std::function<void(const EntryId &, const std::string &, Json)>;
    auto received(const EntryId &from, const PeerMessage &message) -> void;
    auto stateChanged() -> void;
    auto beginTicking() -> void;
    auto waitUntil(const std::function<bool()> &done, Duration limit,
                   const std::atomic<bool> &hurry) const -> void;

    DaemonSettings settings_;
    HybridClock clock_;
    EventRecorder recorder_;
    EventSink event_;
    Metrics metrics_;
    WorkerPool workers_;
    std::shared_ptr<ConnectionRegistry> connections_;
    PeerNetwork network_;
    HttpClient client_;
    ControlService control_;
    ClaimExpiry expiry_;
    ClaimSettler settler_;
    SuspicionService suspicion_;
    BudgetService budgets_;
    std::shared_ptr<LeaseholderService> leaseholder_;
    PermitBroker broker_;
    std::shared_ptr<PlannerService> planner_;
    RequestService requests_;
    CallerApi callers_;
    UpstreamApi upstreams_;
    AdminApi admin_;
    HttpRoutes routes_;
    HttpServer server_;
    std::vector<std::shared_ptr<Timer>> timers_;
};

Daemon::Parts::Parts(DaemonSettings settings)
    : settings_(std::move(settings))
    , clock_(readWall)
    , recorder_(EventRecorderSettings{.process_ = settings_.id_.text(),
                                      .eventFile_ = settings_.eventFile_},
                clock_, nullptr)
    , event_(recorder_.sink())
    , metrics_(settings_.id_.text())
    , workers_(settings_.workers_)
    , connections_(std::make_shared<ConnectionRegistry>(
          connectionLimitsFor(memoryBytes(settings_), openFileLimit()), event_, readMonotonic))
    , network_(workers_, clock_,
               PeerNetworkSettings{.self_ = settings_.id_,
                                   .address_ = settings_.peerAddress_,
                                   .key_ = keyIn(settings_.peerKeyFile_).value_or(""),
                                   .connections_ = connections_},
               networkHooks())
    , client_(HttpClientSettings{.heldBytesLimit_
                                 = memoryBytes(settings_) / heldResponsesMemoryDivisor})
    , control_(controlSettings(settings_), storageFor(settings_), controlHooks())
    , expiry_(control_, readMonotonic, readWall)
    , settler_([this](const Command &command,
                      ProposalCallback done) { control_.propose(command, std::move(done)); },
               [this](const IdempotencyKey &key) { return claimOf(key); }, readMonotonic)
    , suspicion_(settings_.id_, control_, workers_, sender(), event_, readMonotonic)
    , budgets_(settings_.id_, control_, sender(), readMonotonic)
    , leaseholder_(
          std::make_shared<LeaseholderService>(settings_.id_, control_, leaseholderHooks()))
    , broker_(settings_.id_, settings_.zone_, control_, brokerHooks())
    , planner_(std::make_shared<PlannerService>(control_, leaseholderGroupPlanner(event_),
                                                plannerHooks()))
    , requests_(requestContext(), settings_.zone_,
                std::chrono::milliseconds(settings_.addressKeepMs_), budgets_)
    , callers_(control_, requests_, broker_, metrics_, network_, *connections_,
               std::chrono::milliseconds(settings_.addressKeepMs_))
    , upstreams_(control_, *leaseholder_, keyIn(settings_.upstreamKeyFile_), event_)
    , admin_(
          control_, keyIn(settings_.operatorKeyFile_),
          [this](const EventFilter &filter) { return recorder_.recent(filter); }, event_, readWall)
    , routes_(callers_, upstreams_, admin_, requests_)
    , server_(workers_, serverSettings(settings_.address_, connections_, event_),
              [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                  routes_.handle(std::move(request), std::move(reply));
              })
{ }

auto Daemon::Parts::controlHooks() -> ControlHooks
{
    return ControlHooks{
        .send_ = sender(),
        .sendReplacingQueued_ =
            [this](const EntryId &to, const std::string &method, Json params) {
                network_.send(to, PeerMessage{method, std::move(params), true});
            },
        .sendAll_ =
            [this](const std::vector<EntryId> &to, const std::string &method, Json params) {
                network_.send(to, PeerMessage{method, std::move(params)});
            },
        .setPeerAddress_ = [this](const EntryId &peer,
                                  const std::string &address) { network_.setPeer(peer, address); },
        .post_ = [this](std::function<void()> work) { workers_.post(std::move(work)); },
        .onStateChanged_ = [this] { stateChanged(); },
        .event_ = event_,
        .now_ = readMonotonic,
        .wallNow_ = readWall,
        .random_ = readRandom};
}

auto Daemon::Parts::leaseholderHooks() -> LeaseholderHooks
{
    return LeaseholderHooks{
        .send_ = sender(),
        .admitSuspect_ =
            [this](const GroupId &group, const std::string &fingerprint) {
                return suspicion_.admit(group.text(), fingerprint);
            },
        .suspectEnded_
        = [this](const GroupId &group,
                 const std::string &fingerprint) { suspicion_.leave(group.text(), fingerprint); },
        .reportLoads_ = [this](const LoadReport &report) { broker_.updateLoads(report); },
        .event_ = event_,
        .now_ = readMonotonic};
}

auto Daemon::Parts::brokerHooks() -> PermitBrokerHooks
{
    return PermitBrokerHooks{
        .send_ = sender(),
        .takeLocal_
        = [this](const PermitTake &take) { return leaseholder_->grantPermit(settings_.id_, take); },
        .noteLocal_ = [this](const PermitNote &note) { leaseholder_->handlePermitNote(note); },
        .event_ = event_,
        .now_ = readMonotonic,
        .random_ = readRandom};
}

auto Daemon::Parts::plannerHooks() -> PlannerServiceHooks
{
    return PlannerServiceHooks{
        .sendOrder_
        = [this](const EngineOrder &order,
                 std::function<void(bool)> ended) { sendOrder(client_, order, std::move(ended)); },
        .event_ = event_,
        .now_ = readMonotonic};
}

auto Daemon::Parts::networkHooks() -> PeerNetworkHooks
{
    return PeerNetworkHooks{
        .received_
        = [this](const EntryId &from, const PeerMessage &message) { received(from, message); },
        .keyRejected_ =
            [this](const std::string &address) {
                event_(Event{EventNumber::KeyRejected, {{"reason", "peer " + address}}});
            },
        .silent_ =
            [this](const EntryId &peer) {
                event_(Event{EventNumber::ConnectionSilent, {{"entry", peer.text()}}});
            }};
}

auto Daemon::Parts::claimOf(const IdempotencyKey &key) const -> std::optional<Claim>
{
    return control_.readState([&](const FleetState &state) {
        const auto found = state.claims_.find(key);
        return found == state.claims_.end() ? std::nullopt : std::optional(found->second);
    });
}

auto Daemon::Parts::requestContext() -> RequestContext
{
    return RequestContext{.self_ = settings_.id_,
                          .incarnation_ = [this] { return control_.incarnation(); },
                          .control_ = control_,
                          .settler_ = settler_,
                          .broker_ = broker_,
                          .suspicion_ = suspicion_,
                          .client_ = client_,
                          .workers_ = workers_,
                          .metrics_ = metrics_,
                          .tryTakeRetry_ = nullptr,
                          .event_ = event_,
                          .now_ = readMonotonic,
                          .wallNow_ = readWall,
                          .random_ = readRandom};
}

auto Daemon::Parts::sender() -> std::function<void(const EntryId &, const std::string &, Json)>
{
    return [this](const EntryId &to, const std::string &method, Json params) {
        network_.send(to, PeerMessage{method, std::move(params)});
    };
}

auto Daemon::Parts::received(const EntryId &from, const PeerMessage &message) -> void
{
    const auto &method = message.method_;
    const auto &params = message.params_;
    if (control_.receive(from, method, params) || leaseholder_->receive(from, method, params)
        || broker_.receive(from, method, params) || suspicion_.receive(from, method, params))
        return;
    budgets_.receive(from, method, params);
}

auto Daemon::Parts::stateChanged() -> void
{
    leaseholder_->stateChanged();
    broker_.stateChanged();
    suspicion_.stateChanged();
    requests_.stateChanged();
}

auto Daemon::Parts::start() -> Result<Nothing>
{
    if (auto opened = control_.open(); !opened)
        return opened;
    for (const auto &voter : settings_.voters_) {
        if (voter.id_ != settings_.id_)
            network_.setPeer(voter.id_, voter.peerAddress_);
    }
    if (const auto error = network_.start())
        return Failure{error, "peerAddress " + settings_.peerAddress_ + ": " + error.message()};
    if (const auto error = server_.start())
        return Failure{error, "address " + settings_.address_ + ": " + error.message()};
    event_(Event{EventNumber::ProcessStarted, {{"entry", settings_.id_.text()}}});
    beginTicking();
    return Nothing{};
}

auto Daemon::Parts::beginTicking() -> void
{
    timers_.push_back(workers_.every(controlTick, [this] { control_.tick(); }));
    timers_.push_back(workers_.every(plannerTick, [this] {
        planner_->tick();
        expiry_.tick();
    }));
    timers_.push_back(workers_.every(servingTick, [this] {
        leaseholder_->tick();
        settler_.tick();
        budgets_.tick();
    }));
    timers_.push_back(workers_.every(queueTick, [this] {
        broker_.tick();
        suspicion_.tick();
    }));
    timers_.push_back(workers_.every(eventTick, [this] {
        connections_->tick();
        recorder_.flush();
    }));
}

auto Daemon::Parts::waitUntil(const std::function<bool()> &done, Duration limit,
                              const std::atomic<bool> &hurry) const -> void
{
    const auto end = readMonotonic() + limit;
    while (!done() && !hurry && readMonotonic() < end)
        std::this_thread::sleep_for(stopPoll);
}

auto Daemon::Parts::stop(const std::atomic<bool> &hurry) -> void
{
    event_(Event{EventNumber::ShutdownBegan, {{"entry", settings_.id_.text()}}});
    const auto keep = std::chrono::milliseconds(settings_.addressKeepMs_);
    const auto limit = settings_.shutdownLimitMs_ == 0
        ? Duration(std::chrono::hours(24))
        : Duration(std::chrono::milliseconds(settings_.shutdownLimitMs_));
    control_.registerAsLeaving();
    requests_.leave();
    waitUntil([] { return false; }, std::min<Duration>(keep, limit), hurry);
    waitUntil(
        [this] { return requests_.active() == 0 && connections_->counters().unsentBytes_ == 0; },
        limit, hurry);
    waitUntil([this] { return leaseholder_->holdsNoGroupLease(); },
              std::min<Duration>(handoverLimit, limit), hurry);
    server_.stopListening();
    waitUntil([] { return false; }, std::min<Duration>(finalAnswerTime, limit), hurry);
    for (const auto &timer : timers_)
        timer->cancel();
    event_(Event{EventNumber::ProcessStopped, {{"entry", settings_.id_.text()}}});
    recorder_.flush();
    network_.stop();
    workers_.stop();
}

Daemon::Daemon(DaemonSettings settings)
    : parts_(std::make_unique<Parts>(std::move(settings)))
{ }

Daemon::~Daemon() = default;

auto Daemon::start() -> Result<Nothing>
{
    return parts_->start();
}

auto Daemon::stop(const std::atomic<bool> &hurry) -> void
{
    parts_->stop(hurry);
}

} // namespace lycheereach
