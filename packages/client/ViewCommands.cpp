#include "client/ViewCommands.h"

#include "client/Problem.h"
#include "client/Session.h"

namespace lycheereach {

namespace {

constexpr auto firstNonSuccessStatus = 300;

auto formatScalar(const Json &value) -> std::string
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// An object as one line of `key=value` pairs; any other value as it is.
auto formatRecord(const Json &record) -> std::string
{
    if (!record.is_object())
        return formatScalar(record);
    auto text = std::string{};
    for (const auto &item : record.items()) {
        text += text.empty() ? "" : " ";
        text += item.key() + "=" + formatScalar(item.value());
    }
    return text;
}

auto showDocument(Console &console, const Json &document) -> void
{
    for (const auto &item : document.items()) {
        if (!item.value().is_structured()) {
            console.writeLine(item.key() + ": " + formatScalar(item.value()));
            continue;
        }
        console.writeLine(item.key() + ": " + std::to_string(item.value().size()));
        for (const auto &record : item.value())
            console.writeLine("  " + formatRecord(record));
    }
}

auto fetchAndShow(Session &session, const std::string &target) -> ExitCode
{
    const auto response = session.caller_.getFromAny(target);
    if (!response) {
        session.console_.writeDiagnostic(response.failure().message_);
        return ExitCode::Unreachable;
    }
    if (response->status_ >= firstNonSuccessStatus) {
        session.console_.writeDiagnostic("refused: " + problemText(*response));
        return ExitCode::Failed;
    }
    const auto document = parseJson(response->body_, "answer");
    if (!document || !document->is_object()) {
        session.console_.writeDiagnostic("the answer is not a JSON object");
        return ExitCode::Failed;
    }
    session.console_.writeJson(*document);
    showDocument(session.console_, *document);
    return ExitCode::Ok;
}

} // namespace

auto runStatus(Session &session) -> ExitCode
{
    return fetchAndShow(session, "/v1/admin/status");
}

auto runHistory(Session &session) -> ExitCode
{
    return fetchAndShow(session, "/v1/admin/history");
}

auto runEntries(Session &session) -> ExitCode
{
    return fetchAndShow(session, "/v1/entries");
}

} // namespace lycheereach
