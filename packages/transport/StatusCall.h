/// \file
/// \brief A call of whose answer only the status counts.
#pragma once

#include "transport/HttpCall.h"

#include <cstdint>
#include <functional>

namespace lycheereach {

class HttpClient;

/// Starts \a call; \a done hears the status of the answer, 0 when no whole one came, and how the
/// call ended. An answer that goes on after the time for its connection, its head and a pause ends
/// the call.
auto startForStatus(HttpClient &client, HttpCall call,
                    std::function<void(std::uint16_t status, const HttpOutcome &)> done) -> void;

} // namespace lycheereach
