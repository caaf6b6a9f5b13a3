/// \file
/// \brief Builder of a JSON value that may not nest too deeply.
#pragma once

#include "base/JsonCodec.h"

namespace lycheereach {

/// Builds a value for `Json::sax_parse()`, which stops with false where the text nests more deeply
/// than the limit.
class BoundedJsonParser : public nlohmann::detail::json_sax_dom_parser<Json>
{
public:
    using Base = nlohmann::detail::json_sax_dom_parser<Json>;

    /// \a depthLimit is how many arrays and objects may lie within each other.
    BoundedJsonParser(Json &value, int depthLimit, bool allowExceptions = false)
        : Base(value, allowExceptions)
        , depthLimit_(depthLimit)
    { }

    // The names that the library calls.
    auto start_object(std::size_t size) -> bool { return enter() && Base::start_object(size); }
    auto end_object() -> bool { return leave() && Base::end_object(); }
    auto start_array(std::size_t size) -> bool { return enter() && Base::start_array(size); }
    auto end_array() -> bool { return leave() && Base::end_array(); }

private:
    auto enter() -> bool { return ++depth_ <= depthLimit_; }
    auto leave() -> bool
    {
        --depth_;
        return true;
    }

    int depthLimit_;
    int depth_ = 0;
};

} // namespace lycheereach
