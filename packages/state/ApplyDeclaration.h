/// \file
/// \brief Command: make a new version of the declaration.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "state/Declaration.h"

#include <cstdint>
#include <string>

namespace lycheereach {

/// Command: make a new version of the declaration.
struct ApplyDeclaration
{
    OperationId operation_;
    std::string who_;
    std::int64_t atMs_ = 0;
    Version fromVersion_ = 0;
    Declaration declaration_;

    auto operator==(const ApplyDeclaration &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("operation", &ApplyDeclaration::operation_),
                          optionalField("who", &ApplyDeclaration::who_),
                          optionalField("atMs", &ApplyDeclaration::atMs_),
                          field("fromVersion", &ApplyDeclaration::fromVersion_),
                          field("declaration", &ApplyDeclaration::declaration_)};
    }
};

} // namespace lycheereach
