#include "client/CheckSettingsCommand.h"

#include "client/DeclarationFile.h"
#include "client/Session.h"
#include "settings/LoadDaemonSettings.h"
#include "settings/TextFile.h"

namespace lycheereach {

namespace {

/// The result of checking one file.
struct FileReport
{
    /// `file` when it can't be read or is not JSON, else `declaration` or `daemon settings`.
    std::string kind_;
    /// Empty when the file is valid.
    std::string problem_;
};

/// A file with the key `zones` and without `id` is a declaration.
auto isDeclaration(const Json &document) -> bool
{
    return document.is_object() && document.contains("zones") && !document.contains("id");
}

auto checkFile(const std::string &path) -> FileReport
{
    const auto text = readTextFile(path);
    if (!text)
        return {"file", text.failure().message_};
    const auto document = parseJson(*text, path);
    if (!document)
        return {"file", document.failure().message_};
    if (isDeclaration(*document)) {
        const auto declaration = loadDeclaration(path);
        return {"declaration", declaration ? "" : declaration.failure().message_};
    }
    const auto settings = loadDaemonSettings(path);
    return {"daemon settings", settings ? "" : settings.failure().message_};
}

} // namespace

auto runCheckSettings(Session &session) -> ExitCode
{
    auto code = ExitCode::Ok;
    for (auto index = std::size_t{1}; index < session.commandLine_.positionalArguments_.size();
         ++index) {
        const auto &path = session.commandLine_.positionalArguments_[index];
        const auto report = checkFile(path);
        session.console_.writeJson(Json{{"file", path},
                                        {"kind", report.kind_},
                                        {"ok", report.problem_.empty()},
                                        {"problem", report.problem_}});
        if (report.problem_.empty()) {
            session.console_.writeLine(path + ": " + report.kind_ + ": right");
            continue;
        }
        session.console_.writeDiagnostic(report.problem_);
        code = ExitCode::Failed;
    }
    return code;
}

} // namespace lycheereach
