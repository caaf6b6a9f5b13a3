/// \file
/// \brief A stand-in for a model engine.
#pragma once

#include "standins/Announcer.h"
#include "standins/RecordFile.h"
#include "state/Announcement.h"
#include "transport/HttpServer.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lycheereach {

/// How a stand-in engine behaves.
struct StandinEngineSettings
{
    std::string upstream_;
    std::string zone_;
    std::string fabricDomain_;
    std::string pool_;
    /// `IP:port`.
    std::string address_ = "127.0.0.1:0";
    std::uint32_t accelerators_ = 8;
    bool checksFencing_ = true;
    bool saysCarries_ = true;
    std::uint32_t coldStartMs_ = 3000;
    std::uint32_t carriesCold_ = 2;
    std::uint32_t carriesWarm_ = 16;
    std::uint32_t loadMs_ = 500;
    std::uint32_t tokenMs_ = 10;
    /// After a crash by a marked prompt; 0 stays dead.
    std::uint32_t restartMs_ = 0;

    static constexpr auto fields()
    {
        using S = StandinEngineSettings;
        return std::tuple{field("upstream", &S::upstream_),
                          field("zone", &S::zone_),
                          optionalField("fabricDomain", &S::fabricDomain_),
                          field("pool", &S::pool_),
                          optionalField("address", &S::address_),
                          optionalField("accelerators", &S::accelerators_),
                          optionalField("checksFencing", &S::checksFencing_),
                          optionalField("saysCarries", &S::saysCarries_),
                          optionalField("coldStartMs", &S::coldStartMs_),
                          optionalField("carriesCold", &S::carriesCold_),
                          optionalField("carriesWarm", &S::carriesWarm_),
                          optionalField("loadMs", &S::loadMs_),
                          optionalField("tokenMs", &S::tokenMs_),
                          optionalField("restartMs", &S::restartMs_)};
    }
};

/// A fault told to an engine.
struct StandinFault
{
    /// An engine, or `*` for all.
    std::string upstream_;
    /// `die`, `pause`, `resume`, `restart`, `cold`, `slow` or `crash-on`.
    std::string kind_;
    /// Of `crash-on`: prompts with this text crash the engine.
    std::string marker_;
    /// Of `slow`: the time of a token is multiplied by this.
    std::uint32_t factor_ = 1;

    static constexpr auto fields()
    {
        return std::tuple{field("upstream", &StandinFault::upstream_),
                          field("kind", &StandinFault::kind_),
                          optionalField("marker", &StandinFault::marker_),
                          optionalField("factor", &StandinFault::factor_)};
    }
};

class StandinEngine;

/// What the engines of one process share: the fabric between members and the weight store.
struct StandinFabric
{
    WorkerPool &workers_;
    HttpClient &client_;
    RecordFile &record_;
    AnnouncerSettings announcer_;
    /// Loads that the weight store serves at full speed.
    std::uint32_t weightStoreLoads_ = 8;
    /// Guards every engine.
    std::mutex mutex_;
    std::uint32_t loading_ = 0;
    std::map<std::string, StandinEngine *> engines_;
};

/// Joins groups by orders, loads, and as first member of a whole group streams answers that
/// depend on the prompt alone.
class StandinEngine
{
public:
    StandinEngine(StandinFabric &fabric, StandinEngineSettings settings);
    ~StandinEngine();
    StandinEngine(const StandinEngine &) = delete;
    auto operator=(const StandinEngine &) -> StandinEngine & = delete;

    auto start() -> std::error_code;
    auto apply(const StandinFault &fault) -> void;

private:
    struct Member
    {
        std::string upstream_;
        std::string address_;

        static constexpr auto fields()
        {
            return std::tuple{field("upstream", &Member::upstream_),
                              field("address", &Member::address_)};
        }
    };
    struct Order
    {
        std::string order_;
        std::string group_;
        Epoch epoch_ = 0;
        std::uint32_t rank_ = 0;
        std::vector<Member> members_;
        std::string model_;

        static constexpr auto fields()
        {
            return std::tuple{field("order", &Order::order_),
                              field("group", &Order::group_),
                              field("epoch", &Order::epoch_),
                              optionalField("rank", &Order::rank_),
                              optionalField("members", &Order::members_),
                              optionalField("model", &Order::model_)};
        }
    };
    /// One answer in progress.
    struct Run
    {
        std::shared_ptr<HttpReply> reply_;
        HttpHeaders echo_;
        std::string hash_;
        /// Tokens of the answer that the request brought along; events count from there.
        std::uint64_t said_ = 0;
        std::uint64_t token_ = 0;
        std::uint64_t last_ = 0;
        bool stream_ = false;
        std::string text_;
        std::shared_ptr<Timer> timer_;
    };
    using Reply = std::shared_ptr<HttpReply>;

    auto openServer() -> std::error_code;
    auto handle(const HttpRequest &request, const Reply &reply) -> void;
    auto handleOrder(const HttpRequest &request, const Reply &reply) -> void;
    auto handleChat(const HttpRequest &request, const Reply &reply) -> void;
    auto handleCancel(const HttpRequest &request, const Reply &reply) -> void;
    auto join(const Order &order) -> void;
    auto leave() -> void;
    auto beginLoading() -> void;
    auto startRun(const HttpRequest &request, const Json &body, const Reply &reply) -> void;
    auto armRun(const std::string &attempt) -> void;
    auto step(const std::string &attempt) -> void;
    auto sendToken(const std::string &attempt, Run &run) -> void;
    auto finishRun(const std::string &attempt) -> void;
    auto endRun(const std::string &attempt, bool whole) -> void;
    auto abortRuns() -> void;
    auto die() -> void;
    auto restart() -> void;
    auto crashIfMarked(const std::string &body) -> bool;
    auto describe() -> std::optional<Announcement>;
    [[nodiscard]] auto agrees(const std::string &group, Epoch epoch) const -> bool;
    [[nodiscard]] auto groupIsWhole() const -> bool;
    [[nodiscard]] auto isCold() const -> bool;
    [[nodiscard]] auto carries() const -> std::uint32_t;

    StandinFabric &fabric_;
    StandinEngineSettings settings_;
    std::unique_ptr<HttpServer> server_;
    std::shared_ptr<Announcer> announcer_;
    std::shared_ptr<Timer> loadTimer_;
    std::shared_ptr<Timer> restartTimer_;
    bool alive_ = true;
    bool paused_ = false;
    std::vector<std::pair<HttpRequest, Reply>> held_;
    std::uint32_t slowFactor_ = 1;
    std::string crashMarker_;
    Incarnation incarnation_ = 0;
    Sequence sequence_ = 0;
    FencingNumber fencingSeen_ = 0;
    MonotonicTime coldUntil_;
    std::string loaded_;
    Order joined_;
    MemberPhase phase_ = MemberPhase::Idle;
    std::uint64_t loadNumber_ = 0;
    std::map<std::string, Run> runs_;
};

} // namespace lycheereach
