/// \file
/// \brief The lines of the values of a JSON document.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lycheereach {

/// Finds the line of a JSON path in the text of a document with comments.
class JsonLocator
{
public:
    explicit JsonLocator(const std::string &text);

    /// The line of \a path, or of the nearest enclosing value for a path that is not there.
    [[nodiscard]] auto lineOf(const std::string &path) const -> std::size_t;
    /// The paths of keys that stand more than once in their object.
    [[nodiscard]] auto repeatedKeys() const -> const std::vector<std::string> &
    {
        return repeatedKeys_;
    }

private:
    std::map<std::string, std::size_t> lines_;
    std::vector<std::string> repeatedKeys_;
};

} // namespace lycheereach
