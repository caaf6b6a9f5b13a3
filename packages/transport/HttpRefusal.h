/// \file
/// \brief Why a server refuses a request that it has not received whole.
#pragma once

namespace lycheereach {

/// Why a server refuses a request that it has not received whole.
enum class HttpRefusal { HeadTooLarge, TooManyFields, BodyTooLarge, NoMemory };

} // namespace lycheereach
