#include "client/ViewCommands.h"

#include "client/Problem.h"
#include "client/Session.h"

namespace lycheereach {

namespace {

constexpr auto success = 300;

auto scalarText(const Json &value) -> std::string
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// One line of `key=value` for an object, or the value itself.
auto recordText(const Json &record) -> std::string
{
    if (!record.is_object())
        return scalarText(record);
    auto text = std::string{};
    for (const auto &item : record.items()) {
        text += text.empty() ? "" : " ";
        text += item.key() + "=" + scalarText(item.value());
    }
    return text;
}

auto showDocument(Console &console, const Json &document) -> void
{
    for (const auto &item : document.items()) {
        if (!item.value().is_structured()) {
            console.text(item.key() + ": " + scalarText(item.value()));
            continue;
        }
        console.text(item.key() + ": " + std::to_string(item.value().size()));
        for (const auto &record : item.value())
            console.text("  " + recordText(record));
    }
}

auto show(Session &session, const std::string &target) -> ExitCode
{
    const auto response = session.caller_.get(target);
    if (!response) {
        session.console_.note(response.failure().message_);
        return ExitCode::Unreachable;
    }
    if (response->status_ >= success) {
        session.console_.note("refused: " + problemText(*response));
        return ExitCode::Failed;
    }
    const auto document = parseJson(response->body_, "answer");
    if (!document || !document->is_object()) {
        session.console_.note("the answer is not a JSON object");
        return ExitCode::Failed;
    }
    session.console_.json(*document);
    showDocument(session.console_, *document);
    return ExitCode::Ok;
}

} // namespace

auto runStatus(Session &session) -> ExitCode
{
    return show(session, "/v1/admin/status");
}

auto runHistory(Session &session) -> ExitCode
{
    return show(session, "/v1/admin/history");
}

auto runEntries(Session &session) -> ExitCode
{
    return show(session, "/v1/entries");
}

} // namespace lycheereach
