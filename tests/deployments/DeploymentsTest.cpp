#include "state/Declaration.h"

#include <fstream>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(Deployments){
    auto read(const std::string &name)
        ->Declaration{const auto file = std::ifstream(std::string(DEPLOYMENTS_FOLDER) + "/" + name);
auto text = std::ostringstream{};
text << file.rdbuf();
const auto declaration = decodeText<Declaration>(text.str(), name);
CHECK_TEXT(declaration.ok(), declaration ? "" : declaration.failure().message_.c_str());
return *declaration;
}
}
;

TEST(Deployments, theFilesOfThisFolder_read_areDeclarations)
{
    for (const auto *name : {"maule.json", "cairo-east.json", "small.json"}) {
        const auto declaration = read(name);
        CHECK_EQUAL(3, declaration.zones_.size());
        CHECK_EQUAL(4, declaration.pools_.at(0).instancesPerGroup_);
        CHECK(!declaration.services_.at(0).routes_.at(0).repeatable_);
        for (const auto &exception : declaration.exceptions_)
            CHECK(!exception.reason_.empty());
    }
}
