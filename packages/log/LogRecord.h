/// \file
/// \brief Records of the replicated log and their positions.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <array>
#include <cstdint>
#include <string>

namespace lycheereach {

/// The index and term of a record. Two logs that both hold a record at a position are equal up to
/// it.
struct LogPosition
{
    LogIndex index_ = 0;
    Term term_ = 0;

    auto operator<=>(const LogPosition &) const = default;
    static constexpr auto fields()
    {
        return std::tuple{field("index", &LogPosition::index_), field("term", &LogPosition::term_)};
    }
};

/// The meaning of a record's payload.
enum class RecordKind : std::uint8_t {
    /// A command of the state machine.
    StateCommand = 1,
    /// Empty; a new leader starts its term with it.
    NoOp = 2,
    /// The VoterSet that applies from this position on, as JSON.
    Voters = 3,
};

template <>
struct EnumNames<RecordKind>
{
    static constexpr auto names()
    {
        return std::array{std::pair{RecordKind::StateCommand, "command"},
                          std::pair{RecordKind::NoOp, "no-op"},
                          std::pair{RecordKind::Voters, "voters"}};
    }
};

/// One record of the log.
struct LogRecord
{
    LogIndex index_ = 0;
    Term term_ = 0;
    RecordKind kind_ = RecordKind::StateCommand;
    /// UTF-8 text.
    std::string payload_;

    [[nodiscard]] auto position() const -> LogPosition { return {index_, term_}; }

    auto operator==(const LogRecord &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("index", &LogRecord::index_), field("term", &LogRecord::term_),
                          field("kind", &LogRecord::kind_), field("payload", &LogRecord::payload_)};
    }
};

} // namespace lycheereach
