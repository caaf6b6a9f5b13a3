/// \file
/// \brief A message between two processes of lycheereach.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <string>

namespace lycheereach {

/// One notification; answers are notifications too and carry what ties them together.
struct PeerMessage
{
    /// For example `log.append`.
    std::string method_;
    Json params_;
    /// Whether earlier messages of the method that still wait for a connection are void.
    bool supersedes_ = false;

    auto operator==(const PeerMessage &) const -> bool = default;
};

} // namespace lycheereach
