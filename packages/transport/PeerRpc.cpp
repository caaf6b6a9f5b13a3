#include "transport/PeerRpc.h"

#include <jsonrpccpp/server/abstractserver.h>

#include <exception>
#include <optional>
#include <utility>

namespace lycheereach {

namespace {

/// The one procedure of the protocol. The parameters of the message travel as text within it, so
/// that they are parsed once only.
constexpr auto procedureName = "notify";

auto invalidNotification(const std::string &problem) -> Failure
{
    return {Error::InvalidJson, "peer notification: " + problem, Verdict::NotRun, std::nullopt};
}

/// Text that is not UTF-8 is not JSON; its odd bytes become U+FFFD.
auto toText(const Json &json) -> std::string
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Hands requests in and takes answers out.
class MemoryConnector : public jsonrpc::AbstractServerConnector
{
public:
    auto StartListening() -> bool override { return true; }
    auto StopListening() -> bool override { return true; }
    auto SendResponse(const std::string &response, void *) -> bool override
    {
        response_ = response;
        return true;
    }

    /// The answer to the last request; empty for a notification that was understood.
    std::string response_;
};

} // namespace

class PeerRpcReader::Dispatcher
    : public MemoryConnector
    , public jsonrpc::AbstractServer<Dispatcher>
{
public:
    Dispatcher()
        : jsonrpc::AbstractServer<Dispatcher>(static_cast<MemoryConnector &>(*this))
    {
        bindAndAddNotification(jsonrpc::Procedure(procedureName, jsonrpc::PARAMS_BY_NAME, "us",
                                                  jsonrpc::JSON_INTEGER, "n", jsonrpc::JSON_INTEGER,
                                                  "method", jsonrpc::JSON_STRING, "params",
                                                  jsonrpc::JSON_STRING, nullptr),
                               &Dispatcher::notify);
    }

    auto dispatch(const std::string &text) -> Result<StampedMessage>
    {
        message_.reset();
        response_.clear();
        OnRequest(text);
        if (!message_)
            return invalidNotification(response_.empty() ? "not a notification" : response_);
        return std::move(*message_);
    }

private:
    friend class jsonrpc::AbstractServer<Dispatcher>;

    auto notify(const ::Json::Value &parameters) -> void
    {
        auto stamped = StampedMessage{};
        stamped.stamp_.wallMicroseconds_ = parameters["us"].asInt64();
        stamped.stamp_.counter_ = parameters["n"].asUInt();
        stamped.message_.method_ = parameters["method"].asString();
        stamped.message_.params_ = Json::parse(parameters["params"].asString());
        message_ = std::move(stamped);
    }

    std::optional<StampedMessage> message_;
};

PeerRpcReader::PeerRpcReader()
    : dispatcher_(std::make_unique<Dispatcher>())
{ }

PeerRpcReader::~PeerRpcReader() = default;

auto PeerRpcReader::read(const std::string &text) -> Result<StampedMessage>
{
    try {
        return dispatcher_->dispatch(text);
    } catch (const std::exception &problem) {
        return invalidNotification(problem.what());
    }
}

auto encodeNotification(const PeerMessage &message, const HybridTime &stamp) -> std::string
{
    const auto notification = Json{{"jsonrpc", "2.0"},
                                   {"method", procedureName},
                                   {"params",
                                    {{"us", stamp.wallMicroseconds_},
                                     {"n", stamp.counter_},
                                     {"method", message.method_},
                                     {"params", toText(message.params_)}}}};
    return toText(notification);
}

} // namespace lycheereach
