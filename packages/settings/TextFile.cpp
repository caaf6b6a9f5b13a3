#include "settings/TextFile.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace lycheereach {

namespace {

constexpr auto shortestKey = std::size_t{16};

} // namespace

auto readTextFile(const std::string &path) -> Result<std::string>
{
    auto code = std::error_code{};
    if (std::filesystem::is_directory(path, code))
        return Failure{Error::NotFound, path + ": is a folder; name a file"};
    auto stream = std::ifstream(path, std::ios::binary);
    if (!stream)
        return Failure{Error::NotFound, path + ": can't be read: " + std::strerror(errno)};
    auto content = std::ostringstream{};
    content << stream.rdbuf();
    return content.str();
}

auto readKeyFile(const std::string &path) -> Result<std::string>
{
    const auto content = readTextFile(path);
    if (!content)
        return content.failure();
    auto key = *content;
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
        key.pop_back();
    if (key.find('\n') != std::string::npos)
        return Failure{Error::InvalidArgument, path + ": has several lines; a key file has one"};
    if (key.size() < shortestKey) {
        return Failure{Error::InvalidArgument,
                       path + ": the key has " + std::to_string(key.size())
                           + " characters; it needs at least " + std::to_string(shortestKey)};
    }
    return key;
}

} // namespace lycheereach
