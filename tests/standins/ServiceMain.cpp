// usage: standin-service SETTINGS
// Hosts instances of a stand-in service until it is told to stop.
#include "standins/StandinControl.h"
#include "standins/StandinService.h"

#include <cstdio>

using namespace lycheereach;

namespace {

struct ServicesSettings
{
    std::vector<std::string> entries_;
    std::string upstreamKeyFile_;
    std::string recordFile_;
    /// `IP:port` of `POST /fault`.
    std::string control_ = "127.0.0.1:0";
    std::vector<StandinServiceSettings> instances_;

    static constexpr auto fields()
    {
        using S = ServicesSettings;
        return std::tuple{
            field("entries", &S::entries_), optionalField("upstreamKeyFile", &S::upstreamKeyFile_),
            optionalField("recordFile", &S::recordFile_), optionalField("control", &S::control_),
            field("instances", &S::instances_)};
    }
};

using Instances = std::map<std::string, std::unique_ptr<StandinService>>;

auto applyFault(const Instances &instances, const std::string &body) -> bool
{
    const auto fault = decodeText<StandinServiceFault>(body, "fault");
    if (!fault)
        return false;
    for (const auto &[name, instance] : instances) {
        if (fault->upstream_ == "*" || fault->upstream_ == name)
            instance->apply(*fault);
    }
    return true;
}

auto run(const ServicesSettings &settings) -> int
{
    auto workers = WorkerPool(2);
    auto client = HttpClient();
    auto record = RecordFile(settings.recordFile_);
    auto bookings = StandinBookings{
        workers, client, record, {settings.entries_, readKey(settings.upstreamKeyFile_), 500}};
    auto instances = Instances{};
    for (const auto &own : settings.instances_)
        instances[own.upstream_] = std::make_unique<StandinService>(bookings, own);
    for (const auto &[name, instance] : instances) {
        if (const auto error = instance->start()) {
            std::fprintf(stderr, "%s: %s\n", name.c_str(), error.message().c_str());
            return 1;
        }
    }
    auto control = serveFaults(workers, settings.control_, [&](const std::string &body) {
        return applyFault(instances, body);
    });
    waitForStop();
    control.reset();
    workers.stop();
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    blockStopSignals();
    const auto text = readFile(argc > 1 ? argv[1] : "");
    const auto settings = text ? decodeText<ServicesSettings>(*text, argv[1])
                               : Result<ServicesSettings>(text.failure());
    if (!settings) {
        std::fprintf(stderr, "%s\n", settings.failure().message_.c_str());
        return 2;
    }
    return run(*settings);
}
