#include "client/DeclarationFile.h"

#include "settings/LoadJson.h"
#include "settings/TextFile.h"
#include "state/DeclarationCheck.h"

namespace lycheereach {

namespace {

auto findDeclarationFaults(const Declaration &declaration) -> std::vector<JsonFault>
{
    auto faults = std::vector<JsonFault>{};
    for (const auto &problem : checkDeclaration(declaration))
        faults.push_back(faultOf(Failure{Error::InvalidArgument, problem}));
    return faults;
}

} // namespace

auto loadDeclaration(const std::string &path) -> Result<Declaration>
{
    const auto text = readTextFile(path);
    if (!text)
        return text.failure();
    return loadJson<Declaration>(*text, path, findDeclarationFaults);
}

} // namespace lycheereach
