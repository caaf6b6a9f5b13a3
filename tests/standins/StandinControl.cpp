#include "standins/StandinControl.h"

#include "base/ErrorCode.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <utility>

namespace lycheereach {

namespace {

auto stopSignals() -> sigset_t
{
    auto signals = sigset_t{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

auto readFile(const std::string &path) -> Result<std::string>
{
    const auto file = std::ifstream(path);
    if (!file)
        return Failure{Error::NotFound, path + ": can't be read", Verdict::NotRun, {}};
    auto text = std::ostringstream{};
    text << file.rdbuf();
    return text.str();
}

auto readKey(const std::string &path) -> std::string
{
    if (path.empty())
        return {};
    auto key = std::string{};
    auto file = std::ifstream(path);
    std::getline(file, key);
    return key;
}

auto serveFaults(WorkerPool &workers, const std::string &address,
                 std::function<bool(const std::string &)> apply) -> std::unique_ptr<HttpServer>
{
    const auto colon = address.rfind(':');
    auto settings = HttpServerSettings{};
    settings.address_ = address.substr(0, colon);
    settings.port_ = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    auto server = std::make_unique<HttpServer>(
        workers, settings,
        [apply = std::move(apply)](const HttpRequest &request,
                                   const std::shared_ptr<HttpReply> &reply) {
            const auto done = request.target_ == "/fault" && apply(request.body_);
            reply->send({static_cast<std::uint16_t>(done ? 200 : 400), {}, ""});
        });
    if (const auto error = server->start())
        std::fprintf(stderr, "%s: %s\n", address.c_str(), error.message().c_str());
    return server;
}

auto blockStopSignals() -> void
{
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

auto waitForStop() -> void
{
    const auto signals = stopSignals();
    auto number = 0;
    sigwait(&signals, &number);
}

} // namespace lycheereach
