// usage: standin-engines SETTINGS
// Hosts stand-in engines until it is told to stop.
#include "standins/StandinControl.h"
#include "standins/StandinEngine.h"

#include <cstdio>

using namespace lycheereach;

namespace {

struct EnginesSettings
{
    std::vector<std::string> entries_;
    std::string upstreamKeyFile_;
    std::string recordFile_;
    /// `IP:port` of `POST /fault`.
    std::string control_ = "127.0.0.1:0";
    std::uint32_t weightStoreLoads_ = 8;
    /// Keys for every engine that the engine itself does not set.
    Json defaults_ = Json::object();
    std::vector<Json> engines_;

    static constexpr auto fields()
    {
        using S = EnginesSettings;
        return std::tuple{field("entries", &S::entries_),
                          optionalField("upstreamKeyFile", &S::upstreamKeyFile_),
                          optionalField("recordFile", &S::recordFile_),
                          optionalField("control", &S::control_),
                          optionalField("weightStoreLoads", &S::weightStoreLoads_),
                          optionalField("defaults", &S::defaults_),
                          field("engines", &S::engines_)};
    }
};

using Engines = std::map<std::string, std::unique_ptr<StandinEngine>>;

auto addEngine(Engines &engines, StandinFabric &fabric, Json settings, const Json &own)
    -> Result<Nothing>
{
    settings.update(own);
    const auto decoded = decode<StandinEngineSettings>(settings, "/engines");
    if (!decoded)
        return decoded.failure();
    auto engine = std::make_unique<StandinEngine>(fabric, *decoded);
    fabric.engines_[decoded->upstream_] = engine.get();
    engines[decoded->upstream_] = std::move(engine);
    return Nothing{};
}

auto applyFault(const Engines &engines, const std::string &body) -> bool
{
    const auto fault = decodeText<StandinFault>(body, "fault");
    if (!fault)
        return false;
    for (const auto &[name, engine] : engines) {
        if (fault->upstream_ == "*" || fault->upstream_ == name)
            engine->apply(*fault);
    }
    return true;
}

auto run(const EnginesSettings &settings) -> int
{
    auto workers = WorkerPool(4);
    auto client = HttpClient();
    auto record = RecordFile(settings.recordFile_);
    auto fabric = StandinFabric{workers,
                                client,
                                record,
                                {settings.entries_, readKey(settings.upstreamKeyFile_), 500},
                                settings.weightStoreLoads_};
    auto engines = Engines{};
    for (const auto &own : settings.engines_) {
        if (const auto added = addEngine(engines, fabric, settings.defaults_, own); !added) {
            std::fprintf(stderr, "%s\n", added.failure().message_.c_str());
            return 2;
        }
    }
    for (const auto &[name, engine] : engines) {
        if (const auto error = engine->start()) {
            std::fprintf(stderr, "%s: %s\n", name.c_str(), error.message().c_str());
            return 1;
        }
    }
    auto control = serveFaults(workers, settings.control_,
                               [&](const std::string &body) { return applyFault(engines, body); });
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
    const auto settings = text ? decodeText<EnginesSettings>(*text, argv[1])
                               : Result<EnginesSettings>(text.failure());
    if (!settings) {
        std::fprintf(stderr, "%s\n", settings.failure().message_.c_str());
        return 2;
    }
    return run(*settings);
}
