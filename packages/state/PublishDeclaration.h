/// \file
/// \brief Command: put a declaration in force under the operator's own rising revision.
#pragma once

#include "base/JsonCodec.h"
#include "state/Declaration.h"

#include <cstdint>
#include <string>

namespace lycheereach {

/// Command: put a declaration in force under the operator's own rising revision. One whose revision
/// is not higher than that in force changes nothing and counts as accepted, so that it may be sent
/// again.
struct PublishDeclaration
{
    /// At least 1.
    std::uint64_t revision_ = 0;
    Declaration declaration_;
    /// The document that the declaration was made from, given back as it came.
    std::string source_;

    auto operator==(const PublishDeclaration &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("revision", &PublishDeclaration::revision_),
                          field("declaration", &PublishDeclaration::declaration_),
                          field("source", &PublishDeclaration::source_)};
    }
};

} // namespace lycheereach
