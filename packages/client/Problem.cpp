#include "client/Problem.h"

#include "base/JsonCodec.h"
#include "transport/HttpResponse.h"

namespace lycheereach {

namespace {

auto stringMember(const Json &document, const char *key) -> std::string
{
    const auto found = document.is_object() ? document.find(key) : document.end();
    if (!document.is_object() || found == document.end() || !found->is_string())
        return "";
    return found->get<std::string>();
}

auto parseProblemDocument(const HttpResponse &response) -> Json
{
    const auto document = parseJson(response.body_, "answer");
    return document ? *document : Json::object();
}

} // namespace

auto problemText(const HttpResponse &response) -> std::string
{
    const auto document = parseProblemDocument(response);
    auto text = std::to_string(response.status_);
    for (const auto *key : {"title", "detail"}) {
        if (const auto part = stringMember(document, key); !part.empty())
            text += ": " + part;
    }
    return text;
}

auto problemVerdict(const HttpResponse &response) -> Verdict
{
    auto text = response.headers_.value("X-Verdict");
    if (text.empty())
        text = stringMember(parseProblemDocument(response), "verdict");
    return parseVerdict(text).value_or(Verdict::MayHaveRun);
}

} // namespace lycheereach
