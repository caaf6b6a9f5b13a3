#include "client/CommandLine.h"

#include <cxxopts.hpp>

namespace lycheereach {

namespace {

auto addGeneralOptions(cxxopts::Options &options) -> void
{
    options.add_options()("words", "", cxxopts::value<std::vector<std::string>>())(
        "entries", "", cxxopts::value<std::vector<std::string>>())("key-file", "",
                                                                   cxxopts::value<std::string>())(
        "who", "", cxxopts::value<std::string>()->default_value(""))(
        "output", "", cxxopts::value<std::string>()->default_value("text"))("help", "")(
        "version", "")("timeout", "", cxxopts::value<double>()->default_value("30"));
    options.parse_positional({"words"});
}

auto addOperatorOptions(cxxopts::Options &options) -> void
{
    options.add_options()("from-version", "", cxxopts::value<std::uint64_t>())(
        "operation-id", "", cxxopts::value<std::string>())("wait", "")(
        "request", "", cxxopts::value<std::string>())("group", "", cxxopts::value<std::string>())(
        "upstream", "", cxxopts::value<std::string>())("since", "", cxxopts::value<double>());
}

auto addSendOptions(cxxopts::Options &options) -> void
{
    options.add_options()("model", "", cxxopts::value<std::string>()->default_value(""))(
        "prompt", "", cxxopts::value<std::string>()->default_value(""))("stream", "")(
        "max-tokens", "", cxxopts::value<std::uint32_t>())("workspace", "",
                                                           cxxopts::value<std::string>())(
        "deadline-ms", "", cxxopts::value<std::uint64_t>())("priority", "",
                                                            cxxopts::value<std::uint32_t>())(
        "body", "",
        cxxopts::value<std::string>()->default_value(""))("key", "", cxxopts::value<std::string>());
}

template <typename T>
auto optionalValue(const cxxopts::ParseResult &parsed, const char *name) -> std::optional<T>
{
    if (parsed.count(name) == 0)
        return std::nullopt;
    return parsed[name].as<T>();
}

auto listValue(const cxxopts::ParseResult &parsed, const char *name) -> std::vector<std::string>
{
    return optionalValue<std::vector<std::string>>(parsed, name)
        .value_or(std::vector<std::string>{});
}

auto readGeneralOptions(const cxxopts::ParseResult &parsed, CommandLine &line) -> void
{
    line.positionalArguments_ = listValue(parsed, "words");
    line.entries_ = listValue(parsed, "entries");
    line.operatorKeyFile_ = optionalValue<std::string>(parsed, "key-file");
    line.operatorName_ = parsed["who"].as<std::string>();
    line.jsonOutput_ = parsed["output"].as<std::string>() == "json";
    line.showHelp_ = parsed.count("help") > 0;
    line.showVersion_ = parsed.count("version") > 0;
    line.timeoutSeconds_ = parsed["timeout"].as<double>();
}

auto readCommandOptions(const cxxopts::ParseResult &parsed, CommandLine &line) -> void
{
    line.fromVersion_ = optionalValue<std::uint64_t>(parsed, "from-version");
    line.operationId_ = optionalValue<std::string>(parsed, "operation-id");
    line.wait_ = parsed.count("wait") > 0;
    line.requestFilter_ = optionalValue<std::string>(parsed, "request");
    line.groupFilter_ = optionalValue<std::string>(parsed, "group");
    line.upstreamFilter_ = optionalValue<std::string>(parsed, "upstream");
    line.sinceSeconds_ = optionalValue<double>(parsed, "since");
    line.model_ = parsed["model"].as<std::string>();
    line.prompt_ = parsed["prompt"].as<std::string>();
    line.stream_ = parsed.count("stream") > 0;
    line.maxTokens_ = optionalValue<std::uint32_t>(parsed, "max-tokens");
    line.workspace_ = optionalValue<std::string>(parsed, "workspace");
    line.deadlineMs_ = optionalValue<std::uint64_t>(parsed, "deadline-ms");
    line.priority_ = optionalValue<std::uint32_t>(parsed, "priority");
    line.body_ = parsed["body"].as<std::string>();
    line.idempotencyKey_ = optionalValue<std::string>(parsed, "key");
}

auto parse(const std::vector<std::string> &arguments) -> CommandLine
{
    auto options = cxxopts::Options("lycheereach");
    addGeneralOptions(options);
    addOperatorOptions(options);
    addSendOptions(options);
    auto pointers = std::vector<const char *>{"lycheereach"};
    for (const auto &argument : arguments)
        pointers.push_back(argument.c_str());
    const auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
    auto line = CommandLine{};
    readGeneralOptions(parsed, line);
    readCommandOptions(parsed, line);
    const auto output = parsed["output"].as<std::string>();
    if (output != "text" && output != "json")
        throw cxxopts::exceptions::exception("--output: expected text or json, found " + output);
    return line;
}

} // namespace

auto parseCommandLine(const std::vector<std::string> &arguments) -> Result<CommandLine>
{
    try {
        return parse(arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        return Failure{Error::InvalidArgument, error.what()};
    }
}

} // namespace lycheereach
