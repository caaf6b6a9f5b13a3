/// \file
/// \brief What is known about whether a request has run.
#pragma once

#include <optional>
#include <string_view>

namespace lycheereach {

/// Whether a request has run, as told to callers, logs and metrics.
enum class Verdict {
    /// No byte of the request can have reached an upstream, or the upstream itself said so.
    NotRun,
    /// The request may have reached an upstream and its outcome is unknown.
    MayHaveRun,
    /// An upstream ran the request.
    Ran,
};

/// The spelling used in headers, problem documents, logs and metrics: `not-run`, `may-have-run`,
/// `ran`.
auto toString(Verdict verdict) -> std::string_view;

/// The inverse of toString(); nothing for any other text.
auto parseVerdict(std::string_view text) -> std::optional<Verdict>;

/// The verdict over two attempts at one request: the one that claims more work.
auto combine(Verdict first, Verdict second) -> Verdict;

} // namespace lycheereach
