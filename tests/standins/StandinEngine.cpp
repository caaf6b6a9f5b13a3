#include "standins/StandinEngine.h"

#include "standins/EngineDialect.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

namespace {

constexpr std::uint64_t defaultTokens = 16;

} // namespace

StandinEngine::StandinEngine(StandinFabric &fabric, StandinEngineSettings settings)
    : fabric_(fabric)
    , settings_(std::move(settings))
    , announcer_(std::make_shared<Announcer>(fabric.workers_, fabric.client_, fabric.announcer_,
                                             [this] { return describe(); }))
{ }

StandinEngine::~StandinEngine()
{
    announcer_->stop();
    server_.reset();
}

auto StandinEngine::start() -> std::error_code
{
    if (const auto error = openServer())
        return error;
    restart();
    return {};
}

auto StandinEngine::openServer() -> std::error_code
{
    const auto colon = settings_.address_.rfind(':');
    auto http = HttpServerSettings{};
    http.address_ = settings_.address_.substr(0, colon);
    http.port_ = static_cast<std::uint16_t>(std::stoul(settings_.address_.substr(colon + 1)));
    server_.reset();
    server_ = std::make_unique<HttpServer>(
        fabric_.workers_, http,
        [this](const HttpRequest &request, const Reply &reply) { handle(request, reply); });
    const auto error = server_->start();
    settings_.address_ = http.address_ + ":" + std::to_string(server_->port());
    return error;
}

auto StandinEngine::handle(const HttpRequest &request, const Reply &reply) -> void
{
    const auto lock = std::scoped_lock(fabric_.mutex_);
    if (!alive_)
        return;
    if (paused_)
        held_.emplace_back(request, reply);
    else if (request.target_ == "/v1/orders")
        handleOrder(request, reply);
    else if (request.target_ == "/v1/chat/completions")
        handleChat(request, reply);
    else if (request.target_ == "/v1/cancel")
        handleCancel(request, reply);
    else
        reply->send(
            {static_cast<std::uint16_t>(request.target_ == "/healthz" ? 200 : 404), {}, ""});
}

auto StandinEngine::handleOrder(const HttpRequest &request, const Reply &reply) -> void
{
    const auto order = decodeText<Order>(request.body_, "order");
    if (!order) {
        reply->send(jsonAnswer(400, {{"error", order.failure().message_}}));
        return;
    }
    const auto fencing = numberOf(request, "X-Fencing-Number");
    fabric_.record_.add({{"event", "order"},
                         {"upstream", settings_.upstream_},
                         {"order", order->order_},
                         {"group", order->group_},
                         {"epoch", order->epoch_},
                         {"fencing", fencing},
                         {"seen", fencingSeen_},
                         {"inGroup", joined_.group_}});
    if (settings_.checksFencing_ && fencing < fencingSeen_) {
        reply->send(jsonAnswer(409, {{"accepted", false}, {"seen", fencingSeen_}}));
        return;
    }
    fencingSeen_ = std::max(fencingSeen_, fencing);
    if (order->order_ == "load" && !load(order->model_)) {
        reply->send(jsonAnswer(409, {{"accepted", false}, {"seen", fencingSeen_}}));
        return;
    }
    if (order->order_ == "join")
        join(*order);
    else if (order->order_ == "load")
        announcer_->announce();
    else if (order->group_ == joined_.group_ && order->epoch_ >= joined_.epoch_)
        leave();
    reply->send(jsonAnswer(200, {{"accepted", true}}));
}

auto StandinEngine::join(const Order &order) -> void
{
    if (order.group_ == joined_.group_ && order.epoch_ == joined_.epoch_)
        return;
    leave();
    joined_ = order;
    if (loaded_ == order.model_)
        phase_ = MemberPhase::Ready;
    else
        beginLoading(order.model_);
}

/// Loads weights outside of a group; a member or an engine that loads already refuses.
auto StandinEngine::load(const std::string &model) -> bool
{
    if (!joined_.group_.empty() || phase_ != MemberPhase::Idle)
        return false;
    if (loaded_ != model)
        beginLoading(model);
    return true;
}

auto StandinEngine::leave() -> void
{
    abortRuns();
    joined_ = Order{};
    phase_ = MemberPhase::Idle;
    announcer_->announce();
}

/// The more load at once than the weight store serves, the longer each takes.
auto StandinEngine::beginLoading(const std::string &model) -> void
{
    phase_ = MemberPhase::Loading;
    ++fabric_.loading_;
    const auto share = std::max(1U, fabric_.loading_ / std::max(1U, fabric_.weightStoreLoads_));
    const auto duration = std::chrono::milliseconds(settings_.loadMs_ * share);
    loadTimer_ = fabric_.workers_.after(duration, [this, model, number = ++loadNumber_] {
        const auto lock = std::scoped_lock(fabric_.mutex_);
        --fabric_.loading_;
        if (number != loadNumber_ || phase_ != MemberPhase::Loading)
            return;
        loaded_ = model;
        phase_ = joined_.group_.empty() ? MemberPhase::Idle : MemberPhase::Ready;
        announcer_->announce();
    });
}

auto StandinEngine::handleChat(const HttpRequest &request, const Reply &reply) -> void
{
    if (crashIfMarked(request.body_))
        return;
    const auto body = Json::parse(request.body_.text(), nullptr, false);
    if (!body.is_object()) {
        reply->send(refusal(request, 400, "the body is not a JSON object"));
        return;
    }
    const auto agreed
        = agrees(request.headers_.value("X-Group"), numberOf(request, "X-Group-Epoch"));
    if (!agreed || joined_.rank_ != 0 || !groupIsWhole()) {
        reply->send(refusal(request, 409, "not ready in this group and epoch"));
        return;
    }
    const auto over = runs_.size() >= carries();
    const auto resumed = request.headers_.value("X-Resume-Attempt");
    fabric_.record_.add({{"event", over ? "over-limit" : "started"},
                         {"upstream", settings_.upstream_},
                         {"group", joined_.group_},
                         {"epoch", joined_.epoch_},
                         {"cold", isCold()},
                         {"running", runs_.size()},
                         {"carries", carries()},
                         {"resumed", resumed},
                         {"request", request.headers_.value("X-Request-Id")},
                         {"attempt", request.headers_.value("X-Attempt-Id")}});
    if (over)
        reply->send(refusal(request, 503, "carries no more"));
    else
        startRun(request, body, reply);
}

auto StandinEngine::startRun(const HttpRequest &request, const Json &body, const Reply &reply)
    -> void
{
    const auto earlier = request.headers_.value("X-Resume-Attempt");
    if (!earlier.empty())
        endRun(earlier, false);
    const auto attempt = request.headers_.value("X-Attempt-Id");
    auto run = Run{};
    run.reply_ = reply;
    run.echo_ = echoed(request);
    run.hash_ = promptHash(promptOf(body));
    run.stream_ = body.value("stream", false);
    run.start_ = RunStart{tokensSaid(body), body.value("max_tokens", defaultTokens)};
    if (const auto known = starts_.find(earlier); known != starts_.end())
        run.start_ = known->second;
    starts_[attempt] = run.start_;
    run.token_ = numberOf(request, "X-Resume-Offset");
    if (run.stream_) {
        auto head = HttpResponse{200, run.echo_, ""};
        head.headers_.add("Content-Type", "text/event-stream");
        reply->begin(std::move(head));
    }
    runs_[attempt] = std::move(run);
    armRun(attempt);
}

auto StandinEngine::armRun(const std::string &attempt) -> void
{
    const auto delay = std::chrono::milliseconds(settings_.tokenMs_ * slowFactor_);
    runs_.at(attempt).timer_ = fabric_.workers_.after(delay, [this, attempt] {
        const auto lock = std::scoped_lock(fabric_.mutex_);
        step(attempt);
    });
}

auto StandinEngine::step(const std::string &attempt) -> void
{
    const auto found = runs_.find(attempt);
    if (found == runs_.end())
        return;
    if (!groupIsWhole()) {
        endRun(attempt, false);
        return;
    }
    if (paused_) {
        armRun(attempt);
        return;
    }
    if (found->second.token_ >= found->second.start_.tokens_) {
        finishRun(attempt);
        return;
    }
    sendToken(attempt, found->second);
    armRun(attempt);
}

auto StandinEngine::sendToken(const std::string &attempt, Run &run) -> void
{
    ++run.token_;
    const auto number = std::to_string(run.start_.said_ + run.token_);
    const auto text = "token " + number + " of " + run.hash_ + "; ";
    run.text_ += text;
    if (!run.stream_)
        return;
    const auto event = Json{{"id", attempt},
                            {"object", "chat.completion.chunk"},
                            {"model", joined_.model_},
                            {"choices", {{{"index", 0}, {"delta", {{"content", text}}}}}}};
    run.reply_->write("id: " + std::to_string(run.token_) + "\ndata: " + event.dump() + "\n\n",
                      [this, attempt](const std::error_code &error) {
                          if (!error)
                              return;
                          const auto lock = std::scoped_lock(fabric_.mutex_);
                          endRun(attempt, false);
                      });
}

auto StandinEngine::finishRun(const std::string &attempt) -> void
{
    auto &run = runs_.at(attempt);
    if (run.stream_) {
        run.reply_->write("data: [DONE]\n\n", nullptr);
        run.reply_->finish();
    } else {
        const auto message = Json{{"role", "assistant"}, {"content", run.text_}};
        const auto choice = Json{{"index", 0}, {"message", message}, {"finish_reason", "stop"}};
        auto answer = jsonAnswer(200,
                                 {{"id", attempt},
                                  {"object", "chat.completion"},
                                  {"model", joined_.model_},
                                  {"choices", Json::array({choice})},
                                  {"usage", {{"completion_tokens", run.token_}}}});
        for (const auto &header : run.echo_.all())
            answer.headers_.add(header.name_, header.value_);
        run.reply_->send(std::move(answer));
    }
    endRun(attempt, true);
}

auto StandinEngine::endRun(const std::string &attempt, bool whole) -> void
{
    const auto found = runs_.find(attempt);
    if (found == runs_.end())
        return;
    fabric_.record_.add({{"event", "ended"},
                         {"upstream", settings_.upstream_},
                         {"attempt", attempt},
                         {"request", found->second.echo_.value("X-Request-Id")},
                         {"tokens", found->second.token_},
                         {"whole", whole}});
    runs_.erase(found);
}

auto StandinEngine::handleCancel(const HttpRequest &request, const Reply &reply) -> void
{
    const auto body = Json::parse(request.body_.text(), nullptr, false);
    if (!body.is_object()) {
        reply->send(refusal(request, 400, "the body is not a JSON object"));
        return;
    }
    endRun(body.value("attempt", ""), false);
    reply->send(jsonAnswer(200, Json::object()));
}

auto StandinEngine::abortRuns() -> void
{
    while (!runs_.empty())
        endRun(std::string(runs_.begin()->first), false);
}

auto StandinEngine::apply(const StandinFault &fault) -> void
{
    const auto lock = std::scoped_lock(fabric_.mutex_);
    fabric_.record_.add(
        {{"event", "fault"}, {"upstream", settings_.upstream_}, {"kind", fault.kind_}});
    if (fault.kind_ == "die")
        die();
    else if (fault.kind_ == "restart")
        fabric_.workers_.post([this] { restart(); });
    else if (fault.kind_ == "pause")
        paused_ = true;
    else if (fault.kind_ == "cold")
        coldUntil_
            = std::chrono::steady_clock::now() + std::chrono::milliseconds(settings_.coldStartMs_);
    else if (fault.kind_ == "slow")
        slowFactor_ = std::max(1U, fault.factor_);
    else if (fault.kind_ == "crash-on")
        crashMarker_ = fault.marker_;
    if (fault.kind_ != "resume")
        return;
    paused_ = false;
    for (auto &[request, reply] : std::exchange(held_, {}))
        fabric_.workers_.post([this, request = request, reply = reply] { handle(request, reply); });
    announcer_->announce();
}

auto StandinEngine::die() -> void
{
    alive_ = false;
    server_->stopListening();
    held_.clear();
    abortRuns();
    phase_ = MemberPhase::Idle;
    joined_ = Order{};
    loaded_.clear();
}

/// Opens the server again without the lock, since closing the old one waits for its handlers.
auto StandinEngine::restart() -> void
{
    const auto wasDead = [this] {
        const auto lock = std::scoped_lock(fabric_.mutex_);
        return !alive_;
    }();
    if (wasDead && openServer())
        return;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    {
        const auto lock = std::scoped_lock(fabric_.mutex_);
        alive_ = true;
        paused_ = false;
        fencingSeen_ = 0;
        incarnation_ = static_cast<Incarnation>(
            std::chrono::duration_cast<std::chrono::microseconds>(now).count());
        sequence_ = 0;
        coldUntil_
            = std::chrono::steady_clock::now() + std::chrono::milliseconds(settings_.coldStartMs_);
        abortRuns();
        joined_ = Order{};
        loaded_.clear();
        phase_ = MemberPhase::Idle;
    }
    announcer_->announce();
}

auto StandinEngine::crashIfMarked(const std::string &body) -> bool
{
    if (crashMarker_.empty() || body.find(crashMarker_) == std::string::npos)
        return false;
    fabric_.record_.add({{"event", "crash"}, {"upstream", settings_.upstream_}});
    die();
    if (settings_.restartMs_ > 0)
        restartTimer_ = fabric_.workers_.after(std::chrono::milliseconds(settings_.restartMs_),
                                               [this] { restart(); });
    return true;
}

auto StandinEngine::describe() -> std::optional<Announcement>
{
    const auto lock = std::scoped_lock(fabric_.mutex_);
    if (!alive_ || paused_)
        return std::nullopt;
    auto said = Announcement{};
    said.upstream_ = UpstreamId(settings_.upstream_);
    said.incarnation_ = incarnation_;
    said.sequence_ = ++sequence_;
    said.address_ = settings_.address_;
    said.zone_ = ZoneName(settings_.zone_);
    said.fabricDomain_ = FabricDomain(settings_.fabricDomain_);
    said.pool_ = PoolName(settings_.pool_);
    said.accelerators_ = settings_.accelerators_;
    said.checksFencing_ = settings_.checksFencing_;
    said.cold_ = isCold();
    if (settings_.saysCarries_)
        said.carries_ = carries();
    if (!loaded_.empty())
        said.loaded_.push_back(loaded_);
    said.group_ = GroupId(joined_.group_);
    said.epoch_ = joined_.epoch_;
    said.rank_ = joined_.rank_;
    said.phase_ = phase_;
    said.running_ = static_cast<std::uint32_t>(runs_.size());
    return said;
}

auto StandinEngine::agrees(const std::string &group, Epoch epoch) const -> bool
{
    return alive_ && !paused_ && phase_ == MemberPhase::Ready && !group.empty()
        && joined_.group_ == group && joined_.epoch_ == epoch;
}

/// A paused member stops its group as a dead one does.
auto StandinEngine::groupIsWhole() const -> bool
{
    return std::all_of(
        joined_.members_.begin(), joined_.members_.end(), [this](const Member &member) {
            const auto found = fabric_.engines_.find(member.upstream_);
            return found != fabric_.engines_.end()
                && (found->second == this || found->second->agrees(joined_.group_, joined_.epoch_));
        });
}

auto StandinEngine::isCold() const -> bool
{
    return std::chrono::steady_clock::now() < coldUntil_;
}

auto StandinEngine::carries() const -> std::uint32_t
{
    return isCold() ? settings_.carriesCold_ : settings_.carriesWarm_;
}

} // namespace lycheereach
