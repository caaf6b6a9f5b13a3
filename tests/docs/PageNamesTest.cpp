#include <algorithm>
#include <array>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

struct PageName
{
    std::string page_;
    std::size_t line_ = 0;
    std::string type_;
    std::string member_;
};

auto isWordCharacter(char c) -> bool
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_';
}

auto containsWord(const std::string &text, const std::string &word) -> bool
{
    for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) {
        const auto end = at + word.size();
        const auto isBegin = at == 0 || !isWordCharacter(text[at - 1]);
        if (isBegin && (end == text.size() || !isWordCharacter(text[end])))
            return true;
    }
    return false;
}

auto contentOf(const std::filesystem::path &file) -> std::string
{
    auto content = std::ostringstream();
    content << std::ifstream(file).rdbuf();
    return content.str();
}

auto isSourceOrScript(const std::filesystem::path &file) -> bool
{
    constexpr auto extensions
        = std::array<std::string_view, 6>{"", ".cpp", ".h", ".py", ".sh", ".cmake"};
    return file.filename() == "CMakeLists.txt"
        || std::ranges::find(extensions, file.extension().string()) != extensions.end();
}

auto filesUnder(const std::string &folder) -> std::vector<std::filesystem::path>
{
    auto files = std::vector<std::filesystem::path>{};
    for (const auto &entry : std::filesystem::recursive_directory_iterator(folder)) {
        if (entry.is_regular_file())
            files.push_back(entry.path());
    }
    std::sort(files.begin(), files.end());
    return files;
}

/// The name and content of each source and script.
auto readCode() -> std::vector<std::string>
{
    auto code = std::vector<std::string>{};
    for (const std::string folder : {"packages", "platform", "tests"}) {
        for (const auto &file : filesUnder(LYCHEEREACH_DOCS "/../" + folder)) {
            if (isSourceOrScript(file))
                code.push_back(file.filename().string() + "\n" + contentOf(file));
        }
    }
    return code;
}

/// Upper camel case with at least two humps.
auto looksLikeType(const std::string &word) -> bool
{
    const auto isUpper = [](unsigned char c) { return std::isupper(c) != 0; };
    const auto isAlnum = [](unsigned char c) { return std::isalnum(c) != 0; };
    return word.size() > 2 && isUpper(word[0]) && !isUpper(word[1])
        && std::any_of(word.begin() + 2, word.end(), isUpper) && std::ranges::all_of(word, isAlnum);
}

auto wordAt(const std::string &text, std::size_t begin) -> std::string
{
    auto end = begin;
    while (end < text.size() && isWordCharacter(text[end]))
        ++end;
    return text.substr(begin, end - begin);
}

auto appendNamesIn(const std::string &span, const PageName &position, std::vector<PageName> &names)
    -> void
{
    for (auto at = std::size_t{0}; at < span.size();) {
        const auto word = wordAt(span, at);
        at += std::max<std::size_t>(word.size(), 1);
        if (!looksLikeType(word))
            continue;
        const auto member = span.compare(at, 2, "::") == 0 ? wordAt(span, at + 2) : std::string{};
        names.push_back({position.page_, position.line_, word, member});
    }
}

/// The type names in backquotes; a span may go on in the next line of its paragraph.
auto namesOnPage(const std::filesystem::path &page) -> std::vector<PageName>
{
    auto names = std::vector<PageName>{};
    auto position = PageName{.page_ = page.lexically_relative(LYCHEEREACH_DOCS).string()};
    auto isInSpan = false;
    auto stream = std::ifstream(page);
    for (auto line = std::string{}; std::getline(stream, line);) {
        ++position.line_;
        if (line.empty())
            isInSpan = false;
        auto parts = std::istringstream(line + " ");
        for (auto part = std::string{}; std::getline(parts, part, '`');) {
            if (isInSpan)
                appendNamesIn(part, position, names);
            if (!parts.eof())
                isInSpan = !isInSpan;
        }
    }
    return names;
}

/// A member must occur in the same file as its type.
auto occursIn(const std::vector<std::string> &code, const PageName &name) -> bool
{
    return std::ranges::any_of(code, [&name](const std::string &file) {
        return containsWord(file, name.type_)
            && (name.member_.empty() || containsWord(file, name.member_));
    });
}

} // namespace

TEST_GROUP(PageNames)
{
    std::vector<std::string> code_;
    std::vector<PageName> names_;

    auto setup()->void override
    {
        code_ = readCode();
        for (const auto &page : filesUnder(LYCHEEREACH_DOCS)) {
            const auto names = namesOnPage(page);
            names_.insert(names_.end(), names.begin(), names.end());
        }
    }
};

TEST(PageNames, typeInBackquotes_lookedUp_occursInTheCode)
{
    auto missing = std::string{};
    for (const auto &name : names_) {
        if (!occursIn(code_, name))
            missing += "docs/" + name.page_ + ":" + std::to_string(name.line_) + ": `" + name.type_
                + (name.member_.empty() ? "" : "::" + name.member_)
                + "` is not in packages, platform or tests\n";
    }
    CHECK(!names_.empty());
    STRCMP_EQUAL("", missing.c_str());
}
