#include "settings/LoadDaemonSettings.h"
#include "settings/TextFile.h"

#include <filesystem>
#include <fstream>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(DaemonSettings)
{
    std::filesystem::path folder_;
    Json json_;

    auto setup()->void override
    {
        auto name = std::string("/tmp/lycheereach-settings-XXXXXX");
        folder_ = mkdtemp(name.data());
        write("peer.key", "0123456789abcdef\n");
        json_ = Json{{"id", "e1"},
                     {"zone", "talca"},
                     {"address", "127.0.0.1:7001"},
                     {"peerAddress", "127.0.0.1:7101"},
                     {"voters", Json::array({{{"id", "e1"}, {"peerAddress", "127.0.0.1:7101"}}})},
                     {"dataFolder", (folder_ / "data").string()},
                     {"peerKeyFile", (folder_ / "peer.key").string()}};
    }

    auto teardown()->void override
    {
        std::filesystem::remove_all(folder_);
    }

    auto write(const std::string &name, const std::string &text)->std::string
    {
        const auto path = (folder_ / name).string();
        std::ofstream(path) << text;
        return path;
    }

    auto load()->Result<DaemonSettings>
    {
        return loadDaemonSettings(write("settings.json", json_.dump(1)));
    }

    auto checkFault(const std::string &expected)->void
    {
        const auto result = load();
        const auto message = result ? std::string("no fault") : result.failure().message_;
        STRCMP_CONTAINS(expected.c_str(), message.c_str());
    }
};

TEST(DaemonSettings, aRightFileWithComments_loaded_hasItsValuesAndDefaults)
{
    const auto path = write("settings.json", "// the first entry\n" + json_.dump(1));
    const auto settings = loadDaemonSettings(path);
    CHECK(settings.ok());
    STRCMP_EQUAL("e1", settings->id_.text().c_str());
    LONGS_EQUAL(4, settings->workers_);
}

TEST(DaemonSettings, aMissingFile_loaded_isNamed)
{
    const auto result = loadDaemonSettings("/nowhere/settings.json");
    CHECK(!result.ok());
    STRCMP_EQUAL("/nowhere/settings.json: can't be read: No such file or directory",
                 result.failure().message_.c_str());
}

TEST(DaemonSettings, brokenJson_loaded_namesTheLine)
{
    const auto path = write("settings.json", "{\n\"id\": \"e1\",\n]");
    STRCMP_CONTAINS("settings.json:3: not valid JSON",
                    loadDaemonSettings(path).failure().message_.c_str());
}

TEST(DaemonSettings, severalFaults_loaded_areAllReportedInTheOrderOfTheirLines)
{
    const auto path = write("settings.json", R"({
  "id": "e 1",
  "zone": 7,
  "address": "localhost:7001",
  "workers": 0,
  "colour": "red"
})");
    const auto message = loadDaemonSettings(path).failure().message_;
    const auto expected = path + ":1: /peerAddress: is missing; add this key\n" + path
        + ":1: /voters: is missing; add this key\n" + path
        + ":1: /peerKeyFile: is missing; add this key\n" + path
        + ":2: /id: \"e 1\" has other characters than letters, digits, '-', '_' and '.'\n" + path
        + ":3: /zone: expected a string, found number\n" + path
        + ":4: /address: expected IP:port such as 10.0.0.1:7000, found \"localhost:7001\"; "
          "the host must be an IPv4 number, not a name\n"
        + path + ":5: /workers: 0 is out of range; expected 1 to 256\n" + path
        + ":6: /colour: unknown key; known here: id, zone";
    STRCMP_CONTAINS(expected.c_str(), message.c_str());
}

TEST(DaemonSettings, wrongAddresses_loaded_areRefused)
{
    json_["address"] = "127.0.0.1";
    checkFault("/address: expected IP:port such as 10.0.0.1:7000, found \"127.0.0.1\"; the port");
    json_["address"] = "127.0.0.1:70000";
    checkFault("the port must be a number from 1 to 65535");
    json_["address"] = "127.0.0.1:7101";
    checkFault("/peerAddress: is the same as /address; give another port");
}

TEST(DaemonSettings, aVoterWithoutADataFolder_loaded_isRefused)
{
    json_.erase("dataFolder");
    checkFault(":1: /dataFolder: is missing; e1 is one of the voters and needs one");
}

TEST(DaemonSettings, anEntryThatIsNoVoter_loadedWithoutADataFolder_isRight)
{
    json_.erase("dataFolder");
    json_["id"] = "e2";
    json_["peerAddress"] = "127.0.0.1:7102";
    CHECK(load().ok());
}

TEST(DaemonSettings, aDataFolderThatIsAFile_loaded_isRefused)
{
    json_["dataFolder"] = write("data", "");
    checkFault("data is not a folder");
}

TEST(DaemonSettings, aVoterWithOtherAddressThanItsOwn_loaded_isRefused)
{
    json_["voters"][0]["peerAddress"] = "127.0.0.1:7109";
    checkFault("/voters/0/peerAddress: is 127.0.0.1:7109, but this entry's /peerAddress is "
               "127.0.0.1:7101; make them the same");
}

TEST(DaemonSettings, votersWithTheSameIdOrAddress_loaded_areRefused)
{
    json_["voters"].push_back(json_["voters"][0]);
    checkFault("/voters/1/id: is the same as /voters/0/id");
    checkFault("/voters/1/peerAddress: is the same as /voters/0/peerAddress");
}

TEST(DaemonSettings, noVoters_loaded_isRefused)
{
    json_["voters"] = Json::array();
    checkFault("/voters: is empty; name the first voters of the control log");
}

TEST(DaemonSettings, tooFewContactsInATimeout_loaded_areRefused)
{
    json_["renewEveryMs"] = 1001;
    checkFault("/renewEveryMs: 1001 is too long; three renewals must fit into stateLeaseMs, "
               "at most 1000");
    json_["logHeartbeatMs"] = 201;
    checkFault("/logHeartbeatMs: 201 is too long");
}

TEST(DaemonSettings, aMissingKeyFile_loaded_isRefused)
{
    json_["operatorKeyFile"] = "/nowhere/key";
    checkFault("/operatorKeyFile: /nowhere/key: can't be read: No such file or directory");
}

TEST(DaemonSettings, aKeyThatIsThereTwice_loaded_isRefused)
{
    const auto text = json_.dump(1);
    const auto path = write("settings.json", "{\"id\": \"e1\"," + text.substr(1));
    STRCMP_CONTAINS("/id: the key is there twice; keep one",
                    loadDaemonSettings(path).failure().message_.c_str());
}

TEST(DaemonSettings, aKeyFile_read_hasNoLineEnd)
{
    STRCMP_EQUAL("0123456789abcdef", readKeyFile((folder_ / "peer.key").string())->c_str());
}

TEST(DaemonSettings, aShortKey_read_isRefused)
{
    const auto result = readKeyFile(write("short.key", "secret\n"));
    STRCMP_CONTAINS("the key has 6 characters; it needs at least 16",
                    result.failure().message_.c_str());
}
