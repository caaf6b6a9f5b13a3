#include "timeline/TextLog.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace lycheereach {

auto configureTextLog(Severity minSeverity) -> void
{
    auto configuration = el::Configurations{};
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime %level %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    const auto disableLevel = [&](el::Level level) {
        configuration.set(level, el::ConfigurationType::Enabled, "false");
    };
    if (minSeverity != Severity::Info)
        disableLevel(el::Level::Info);
    if (minSeverity == Severity::Error)
        disableLevel(el::Level::Warning);
    el::Loggers::reconfigureLogger("default", configuration);
}

auto writeTextLog(Severity severity, const std::string &line) -> void
{
    switch (severity) {
    case Severity::Info:
        LOG(INFO) << line;
        return;
    case Severity::Warning:
        LOG(WARNING) << line;
        return;
    case Severity::Error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace lycheereach
