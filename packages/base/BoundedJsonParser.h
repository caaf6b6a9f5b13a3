/// \file
/// \brief Builder of a JSON value with a bounded depth and number of values.
#pragma once

#include "base/JsonCodec.h"

namespace lycheereach {

/// Builds a value for `Json::sax_parse()`, which stops with false where the text exceeds a limit.
class BoundedJsonParser : public nlohmann::detail::json_sax_dom_parser<Json>
{
public:
    using Base = nlohmann::detail::json_sax_dom_parser<Json>;

    /// \a depthLimit is how many arrays and objects may lie within each other, \a valueLimit how
    /// many values the text may hold in all.
    BoundedJsonParser(Json &value, int depthLimit, std::size_t valueLimit,
                      bool allowExceptions = false)
        : Base(value, allowExceptions)
        , depthLimit_(depthLimit)
        , valueLimit_(valueLimit)
    { }

    // The names that the library calls.
    auto null() -> bool { return count() && Base::null(); }
    auto boolean(bool value) -> bool { return count() && Base::boolean(value); }
    auto number_integer(Json::number_integer_t value) -> bool
    {
        return count() && Base::number_integer(value);
    }
    auto number_unsigned(Json::number_unsigned_t value) -> bool
    {
        return count() && Base::number_unsigned(value);
    }
    auto number_float(Json::number_float_t value, const Json::string_t &text) -> bool
    {
        return count() && Base::number_float(value, text);
    }
    auto string(Json::string_t &value) -> bool { return count() && Base::string(value); }
    auto start_object(std::size_t size) -> bool
    {
        return count() && enter() && Base::start_object(size);
    }
    auto end_object() -> bool { return leave() && Base::end_object(); }
    auto start_array(std::size_t size) -> bool
    {
        return count() && enter() && Base::start_array(size);
    }
    auto end_array() -> bool { return leave() && Base::end_array(); }

private:
    auto count() -> bool { return ++values_ <= valueLimit_; }
    auto enter() -> bool { return ++depth_ <= depthLimit_; }
    auto leave() -> bool
    {
        --depth_;
        return true;
    }

    int depthLimit_;
    std::size_t valueLimit_;
    int depth_ = 0;
    std::size_t values_ = 0;
};

} // namespace lycheereach
