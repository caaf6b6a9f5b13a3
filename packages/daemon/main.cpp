#include "daemon/Daemon.h"
#include "settings/LoadDaemonSettings.h"

#include <cxxopts.hpp>

#include <csignal>

#include <atomic>
#include <iostream>
#include <string>

namespace {

constexpr auto exitOk = 0;
constexpr auto exitFailed = 1;
constexpr auto exitUsage = 2;

/// Blocks the signals for a planned stop in this and all later threads.
auto blockStopSignals() -> sigset_t
{
    auto signals = sigset_t{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

auto waitForSignal(const sigset_t &signals) -> void
{
    auto number = 0;
    sigwait(&signals, &number);
}

auto run(const std::string &file) -> int
{
    const auto signals = blockStopSignals();
    auto settings = lycheereach::loadDaemonSettings(file);
    if (!settings) {
        std::cerr << "lycheereachd: " << settings.failure().message_ << '\n';
        return exitUsage;
    }
    auto daemon = lycheereach::Daemon(std::move(settings.value()));
    const auto started = daemon.start();
    if (!started) {
        std::cerr << "lycheereachd: " << started.failure().message_ << '\n';
        return exitFailed;
    }
    waitForSignal(signals);
    const auto hurry = std::atomic<bool>(false);
    daemon.stop(hurry);
    return exitOk;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto options = cxxopts::Options("lycheereachd", "The daemon on every entry instance.");
    options.add_options()("settings", "The settings file", cxxopts::value<std::string>())(
        "version", "Print the version")("help", "Print this text");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return exitOk;
        }
        if (arguments.count("version") != 0) {
            std::cout << "lycheereachd " << LYCHEEREACH_VERSION << '\n';
            return exitOk;
        }
        if (arguments.count("settings") == 0) {
            std::cerr << "lycheereachd: name the settings file with --settings FILE\n";
            return exitUsage;
        }
        return run(arguments["settings"].as<std::string>());
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "lycheereachd: " << error.what() << "; see lycheereachd --help\n";
        return exitUsage;
    }
}
