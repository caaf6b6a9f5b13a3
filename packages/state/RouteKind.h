/// \file
/// \brief What a route says about repeating its requests.
#pragma once

#include "base/JsonCodec.h"

#include <array>
#include <utility>

namespace lycheereach {

/// What a route says about repeating its requests, and what form their answers have.
enum class RouteKind {
    /// Runs once at most.
    Unsafe,
    /// May run more than once.
    Safe,
    /// Server-sent events that run once at most.
    Stream,
    /// Server-sent events that another upstream may go on with behind the last event delivered.
    ResumableStream,
};

template <>
struct EnumNames<RouteKind>
{
    static constexpr auto names()
    {
        using Pair = std::pair<RouteKind, const char *>;
        return std::array{Pair{RouteKind::Unsafe, "unsafe"}, Pair{RouteKind::Safe, "safe"},
                          Pair{RouteKind::Stream, "stream"},
                          Pair{RouteKind::ResumableStream, "resumableStream"}};
    }
};

} // namespace lycheereach
