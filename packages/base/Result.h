/// \file
/// \brief A value or the Failure that took its place.
#pragma once

#include "base/Failure.h"

#include <utility>
#include <variant>

namespace lycheereach {

/// Either a \a T or a Failure; converts implicitly from both.
template <typename T>
class Result
{
public:
    Result(T value) // NOLINT(google-explicit-constructor)
        : content_(std::in_place_index<0>, std::move(value))
    { }
    Result(Failure failure) // NOLINT(google-explicit-constructor)
        : content_(std::in_place_index<1>, std::move(failure))
    { }

    /// Whether a value is held.
    [[nodiscard]] auto ok() const -> bool { return content_.index() == 0; }
    explicit operator bool() const { return ok(); }

    /// The value; requires ok().
    [[nodiscard]] auto value() const -> const T & { return std::get<0>(content_); }
    [[nodiscard]] auto value() -> T & { return std::get<0>(content_); }
    auto operator*() const -> const T & { return value(); }
    auto operator->() const -> const T * { return &value(); }

    /// The failure; requires !ok().
    [[nodiscard]] auto failure() const -> const Failure & { return std::get<1>(content_); }

private:
    std::variant<T, Failure> content_;
};

/// The value type of a Result that carries no value.
using Nothing = std::monostate;

} // namespace lycheereach
