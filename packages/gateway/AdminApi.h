/// \file
/// \brief The operators' calls.
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

/// Answers `/v1/admin/...` for whoever shows the operators' key. Thread-safe.
class AdminApi
{
public:
    using RecentEvents = std::function<std::vector<RecordedEvent>(const EventFilter &)>;

    /// Without \a key every call is refused.
    AdminApi(ControlService &control, std::optional<std::string> key, RecentEvents events,
             EventSink event, WallClock wallNow);

    auto handle(const HttpRequest &request, std::shared_ptr<HttpReply> reply) -> void;

private:
    using Reply = std::shared_ptr<HttpReply>;

    auto read(const HttpRequest &request, const Reply &reply) -> void;
    auto change(const HttpRequest &request, const Reply &reply) -> void;
    auto apply(const HttpRequest &request, const Reply &reply) -> void;
    auto zone(const HttpRequest &request, const Reply &reply) -> void;
    auto drain(const HttpRequest &request, const Reply &reply) -> void;
    auto voters(const HttpRequest &request, const Reply &reply) -> void;
    auto status(const Reply &reply) const -> void;
    auto declaration(const Reply &reply) const -> void;
    auto history(const Reply &reply) const -> void;
    auto inForce(const HttpRequest &request, const Reply &reply) const -> void;
    auto events(const HttpRequest &request, const Reply &reply) const -> void;
    [[nodiscard]] auto nowMs() const -> std::int64_t;

    ControlService &control_;
    std::optional<std::string> key_;
    RecentEvents events_;
    EventSink event_;
    WallClock wallNow_;
};

} // namespace lycheereach
