/// \file
/// \brief Output of the commands as text or JSON.
#pragma once

#include "base/JsonCodec.h"

#include <iosfwd>
#include <string>

namespace lycheereach {

/// Writes results to standard output, everything else to standard error.
class Console
{
public:
    Console(std::ostream &out, std::ostream &err, bool json);

    [[nodiscard]] auto isJson() const -> bool { return jsonOutput_; }
    /// Writes a line of the result, in text mode only.
    auto writeLine(const std::string &line) -> void;
    /// Writes a part of the result without a newline and flushes it, in text mode only.
    auto writeText(const std::string &text) -> void;
    /// Writes a JSON document on a line of its own, in JSON mode only.
    auto writeJson(const Json &document) -> void;
    /// Writes a line to standard error, in both modes.
    auto writeDiagnostic(const std::string &line) -> void;

private:
    std::ostream &out_;
    std::ostream &err_;
    bool jsonOutput_;
};

} // namespace lycheereach
