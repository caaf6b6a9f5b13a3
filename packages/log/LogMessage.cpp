#include "log/LogMessage.h"

#include <array>

namespace lycheereach {

namespace {

/// The values of `kind`, in the order of LogMessageBody.
constexpr auto bodyNames
    = std::array{"greeting", "founding", "vote", "voteReply", "append", "appendReply", "install"};

/// A LogMessage whose body is not decoded yet.
struct Envelope
{
    std::string cluster_;
    std::uint64_t generation_ = 0;
    Term term_ = 0;
    std::string kind_;
    Json body_;

    static constexpr auto fields()
    {
        return std::tuple{field("cluster", &Envelope::cluster_),
                          field("generation", &Envelope::generation_),
                          field("term", &Envelope::term_), field("kind", &Envelope::kind_),
                          field("body", &Envelope::body_)};
    }
};

template <std::size_t Index = 0>
auto decodeBody(const Envelope &envelope) -> Result<LogMessageBody>
{
    if constexpr (Index == std::variant_size_v<LogMessageBody>) {
        return Failure{Error::InvalidJson, "/kind: unknown message of the log: " + envelope.kind_};
    } else {
        if (envelope.kind_ != bodyNames[Index])
            return decodeBody<Index + 1>(envelope);
        auto body
            = decode<std::variant_alternative_t<Index, LogMessageBody>>(envelope.body_, "/body");
        if (!body)
            return body.failure();
        return LogMessageBody(std::move(body.value()));
    }
}

} // namespace

auto encodeMessage(const LogMessage &message) -> Json
{
    auto json = Json::object();
    json["cluster"] = message.cluster_;
    json["generation"] = message.generation_;
    json["term"] = message.term_;
    json["kind"] = bodyNames[message.body_.index()];
    json["body"] = std::visit([](const auto &body) { return encode(body); }, message.body_);
    return json;
}

auto decodeMessage(const Json &json) -> Result<LogMessage>
{
    const auto envelope = decode<Envelope>(json);
    if (!envelope)
        return envelope.failure();
    auto body = decodeBody(*envelope);
    if (!body)
        return body.failure();
    return LogMessage{envelope->cluster_, envelope->generation_, envelope->term_,
                      std::move(body.value())};
}

} // namespace lycheereach
