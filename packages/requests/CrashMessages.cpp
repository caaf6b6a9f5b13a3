#include "requests/CrashMessages.h"

namespace lycheereach::crash_message {

auto readFingerprints(const Json &params) -> std::vector<std::string>
{
    constexpr auto maxLength = std::size_t{64};
    auto fingerprints = std::vector<std::string>{};
    if (params.is_string())
        return readFingerprints(Json::array({params}));
    if (!params.is_array())
        return fingerprints;
    for (const auto &item : params) {
        if (fingerprints.size() == maxFingerprints)
            break;
        if (item.is_string() && item.get_ref<const std::string &>().size() <= maxLength)
            fingerprints.push_back(item.get<std::string>());
    }
    return fingerprints;
}

} // namespace lycheereach::crash_message
