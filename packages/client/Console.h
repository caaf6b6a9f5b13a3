/// \file
/// \brief Where commands write.
#pragma once

#include "base/JsonCodec.h"

#include <iosfwd>
#include <string>

namespace lycheereach {

/// The output of one command: results go to standard output, all else to standard error.
class Console
{
public:
    Console(std::ostream &out, std::ostream &err, bool json);

    [[nodiscard]] auto isJson() const -> bool { return json_; }
    /// A line of the result, in text mode only.
    auto text(const std::string &line) -> void;
    /// A part of the result without a line end; at once.
    auto part(const std::string &text) -> void;
    /// The result as one JSON document a line, in JSON mode only.
    auto json(const Json &document) -> void;
    /// A line for people on standard error.
    auto note(const std::string &line) -> void;

private:
    std::ostream &out_;
    std::ostream &err_;
    bool json_;
};

} // namespace lycheereach
