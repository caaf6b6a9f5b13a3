#include "settings/LoadDaemonSettings.h"

#include "settings/DaemonSettingsCheck.h"
#include "settings/LoadJson.h"
#include "settings/TextFile.h"

namespace lycheereach {

auto loadDaemonSettings(const std::string &path) -> Result<DaemonSettings>
{
    const auto text = readTextFile(path);
    if (!text)
        return text.failure();
    return loadJson<DaemonSettings>(*text, path, checkDaemonSettings);
}

} // namespace lycheereach
