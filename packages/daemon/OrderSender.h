/// \file
/// \brief Sends orders to engines.
#pragma once

#include "groups/EngineOrder.h"

#include <functional>

namespace lycheereach {

class HttpClient;

/// Sends \a order over a connection of its own; \a ended hears, when that connection is closed,
/// whether the engine accepted.
auto sendOrder(HttpClient &client, const EngineOrder &order,
               std::function<void(bool accepted)> ended) -> void;

} // namespace lycheereach
