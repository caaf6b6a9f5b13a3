/// \file
/// \brief The form of addresses in settings.
#pragma once

#include <string>

namespace lycheereach {

/// What is wrong with \a address as `IP:port` with an IPv4 number; empty when it is right.
auto addressProblem(const std::string &address) -> std::string;

} // namespace lycheereach
