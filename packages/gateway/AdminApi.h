/// \file
/// \brief The HTTP API for operators.
#pragma once

#include "base/Event.h"
#include "transport/HttpReply.h"
#include "transport/HttpRequest.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

class ControlService;
struct EventFilter;
struct OperationOutcome;

/// Serves `/v1/admin/...` to clients that authenticate with the operators' key. Thread-safe.
class AdminApi
{
public:
    /// The recent events that match a filter.
    using FindEvents = std::function<std::vector<RecordedEvent>(const EventFilter &)>;

    /// Without \a operatorKey every call is refused.
    AdminApi(ControlService &control, std::optional<std::string> operatorKey, FindEvents findEvents,
             EventSink eventSink, WallClock wallClock);

    auto handle(const HttpRequest &request, std::shared_ptr<HttpReply> reply) -> void;

private:
    using Reply = std::shared_ptr<HttpReply>;

    auto handleGet(const HttpRequest &request, const Reply &reply) -> void;
    auto handleChange(const HttpRequest &request, const Reply &reply) -> void;
    auto applyDeclaration(const HttpRequest &request, const Reply &reply) -> void;
    auto setZone(const HttpRequest &request, const Reply &reply) -> void;
    auto drainUpstream(const HttpRequest &request, const Reply &reply) -> void;
    auto changeVoters(const HttpRequest &request, const Reply &reply) -> void;
    auto sendStatus(const Reply &reply) const -> void;
    auto sendDeclaration(const Reply &reply) const -> void;
    auto sendHistory(const Reply &reply) const -> void;
    auto sendInForce(const HttpRequest &request, const Reply &reply) const -> void;
    auto sendEvents(const HttpRequest &request, const Reply &reply) const -> void;
    [[nodiscard]] auto nowMs() const -> std::int64_t;

    ControlService &control_;
    std::optional<std::string> operatorKey_;
    FindEvents findEvents_;
    EventSink eventSink_;
    WallClock wallClock_;
};

} // namespace lycheereach
