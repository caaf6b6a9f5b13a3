/// \file
/// \brief Answers of upstreams as bytes, sound and malformed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lycheereach {

/// The bytes that an upstream sends before it closes.
struct AnswerSample
{
    std::string name_;
    std::string bytes_;
    /// What a sound answer holds.
    std::uint16_t status_ = 0;
    std::string body_;
};

/// Answers in the forms that RFC 9112 allows.
auto soundAnswers() -> std::vector<AnswerSample>;
/// Bytes whose status line is none.
auto malformedStatusLines() -> std::vector<AnswerSample>;
/// Heads with a line that is no field.
auto malformedFields() -> std::vector<AnswerSample>;
/// Heads that don't say where the body ends, and bodies that don't keep to what the head says.
auto malformedFramings() -> std::vector<AnswerSample>;

} // namespace lycheereach
