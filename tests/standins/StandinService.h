/// \file
/// \brief A stand-in for a plain service that takes bookings.
#pragma once

#include "standins/Announcer.h"
#include "standins/RecordFile.h"
#include "transport/HttpServer.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lycheereach {

/// One instance of the service.
struct StandinServiceSettings
{
    std::string upstream_;
    std::string zone_;
    /// The name of the service.
    std::string service_;
    std::string address_ = "127.0.0.1:0";
    std::uint32_t carries_ = 32;
    std::uint32_t runMs_ = 5;

    static constexpr auto fields()
    {
        using S = StandinServiceSettings;
        return std::tuple{
            field("upstream", &S::upstream_),       field("zone", &S::zone_),
            field("service", &S::service_),         optionalField("address", &S::address_),
            optionalField("carries", &S::carries_), optionalField("runMs", &S::runMs_)};
    }
};

/// A fault told to an instance.
struct StandinServiceFault
{
    /// An instance, or `*` for all.
    std::string upstream_;
    /// `lose-answer`, `slow`, `die` or `restart`.
    std::string kind_;
    /// Of `lose-answer`: how many answers to lose.
    std::uint32_t count_ = 1;
    /// Of `slow`: the time that each call takes.
    std::uint32_t runMs_ = 0;

    static constexpr auto fields()
    {
        using S = StandinServiceFault;
        return std::tuple{field("upstream", &S::upstream_), field("kind", &S::kind_),
                          optionalField("count", &S::count_), optionalField("runMs", &S::runMs_)};
    }
};

/// What the instances of one process share.
struct StandinBookings
{
    WorkerPool &workers_;
    HttpClient &client_;
    RecordFile &record_;
    AnnouncerSettings announcer_;
    std::mutex mutex_;
    /// Runs for each idempotency key over all instances.
    std::map<std::string, std::uint32_t> runs_;
};

/// `POST /bookings` runs a booking, `GET /bookings` lists the runs for each key.
class StandinService
{
public:
    StandinService(StandinBookings &bookings, StandinServiceSettings settings);
    ~StandinService();
    StandinService(const StandinService &) = delete;
    auto operator=(const StandinService &) -> StandinService & = delete;

    auto start() -> std::error_code;
    auto apply(const StandinServiceFault &fault) -> void;

private:
    using Reply = std::shared_ptr<HttpReply>;

    auto openServer() -> std::error_code;
    auto handle(const HttpRequest &request, const Reply &reply) -> void;
    auto book(const HttpRequest &request, const Reply &reply) -> void;
    auto describe() -> std::optional<Announcement>;
    auto restart() -> void;

    StandinBookings &bookings_;
    StandinServiceSettings settings_;
    std::unique_ptr<HttpServer> server_;
    std::shared_ptr<Announcer> announcer_;
    bool alive_ = true;
    std::uint32_t loseAnswers_ = 0;
    Incarnation incarnation_ = 0;
    Sequence sequence_ = 0;
    std::uint32_t running_ = 0;
};

} // namespace lycheereach
