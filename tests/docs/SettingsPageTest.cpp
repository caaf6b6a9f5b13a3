#include "settings/DaemonSettings.h"
#include "state/Declaration.h"

#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(SettingsPage)
{
    std::string page_;

    auto setup()->void override
    {
        auto content = std::ostringstream();
        content << std::ifstream(LYCHEEREACH_DOCS "/SETTINGS.md").rdbuf();
        page_ = content.str();
    }

    auto checkRow(const std::string &key)->void
    {
        const auto text = "docs/SETTINGS.md has no row for `" + key + "`; add one";
        CHECK_TEXT(page_.find("| `" + key + "` |") != std::string::npos, text.c_str());
    }

    template <typename T>
    auto checkRows(const std::string &prefix)->void
    {
        const auto check = [&](const auto &...entry) { (checkRow(prefix + entry.key_), ...); };
        std::apply(check, T::fields());
    }
};

TEST(SettingsPage, everyKeyOfTheDaemon_hasARow)
{
    checkRows<DaemonSettings>("");
    checkRows<PeerAddress>("voters[].");
}

TEST(SettingsPage, everyKeyOfADeclaration_hasARow)
{
    checkRows<Declaration>("");
    checkRows<Policy>("defaults.");
    checkRows<PolicyOverride>("defaults.");
    checkRows<Pool>("pools[].");
    checkRows<Service>("services[].");
    checkRows<ServiceRoute>("services[].routes[].");
    checkRows<Workspace>("workspaces[].");
    checkRows<HttpRoute>("routes[].");
    checkRows<RouteShare>("routes[].shares[].");
    checkRows<UpstreamProfile>("profiles[].");
    checkRows<EngineTimes>("profiles[].times.");
    checkRows<ExceptionRule>("exceptions[].");
    checkRows<ExceptionMatch>("exceptions[].match.");
}
