/// \file
/// \brief Command: an entry joins or changes; an older incarnation changes nothing.
#pragma once

#include "base/JsonCodec.h"
#include "state/EntryRecord.h"

namespace lycheereach {

/// Command: an entry joins or changes; an older incarnation changes nothing.
struct PutEntry
{
    EntryRecord entry_;

    auto operator==(const PutEntry &) const -> bool = default;
    static constexpr auto fields() { return std::tuple{field("entry", &PutEntry::entry_)}; }
};

} // namespace lycheereach
