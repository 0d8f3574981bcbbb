#define BOOST_TEST_MODULE settings
#include "lovage/settings.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;

namespace {

const std::string valid = R"({
    // Entry VM of the first data centre.
    "name": "plateau-1", "dataCentre": "plateau",
    "http": "127.0.0.1:8080", "peer": "127.0.0.1:8081",
    "members": [{"name": "plateau-1", "dataCentre": "plateau", "peer": "127.0.0.1:8081"}],
    "owners": [{"name": "desk", "token": "desk-token"}],
    "operators": [{"name": "ops", "token": "ops-token"}],
    "platform": {"logService": "127.0.0.1:9000", "vmList": "127.0.0.1:9001"},
    "limits": {"maxBodyBytes": 2048, },
})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

// Returns the paths of the reported errors, in order.
std::vector<std::string> errorPaths(const std::string &text)
{
    std::vector<std::string> paths;
    const auto result = parseSettings(text);
    if (!result.has_value()) {
        for (const SettingsError &error : result.error().errors)
            paths.push_back(error.path);
    }
    return paths;
}

using Paths = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_CASE(validSettingsAreReadWithDefaults)
{
    const auto result = parseSettings(valid);
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result.value().name == "plateau-1");
    BOOST_TEST(result.value().limits.maxBodyBytes == 2048U);
    BOOST_TEST((result.value().ledger == LedgerSettings()));
}

// Guards against bodies that take the memory of the VM when they are parsed.
BOOST_AUTO_TEST_CASE(bodiesMustFitTheMemoryOfTheVm)
{
    const auto withLimits = [](const std::string &limits) {
        return errorPaths(replaced(valid, "\"maxBodyBytes\": 2048, ", limits));
    };
    BOOST_TEST(withLimits("") == Paths(), boost::test_tools::per_element());
    BOOST_TEST(withLimits("\"memoryMb\": 64") == Paths(), boost::test_tools::per_element());
    BOOST_TEST(withLimits("\"memoryMb\": 64, \"maxBodyBytes\": 1048577")
                       == Paths({"limits.maxBodyBytes"}),
               boost::test_tools::per_element());
}

// Guards against a start-up that reports only the first error, or none.
BOOST_AUTO_TEST_CASE(allErrorsAreReportedTogether)
{
    std::string text = replaced(valid, "\"127.0.0.1:8080\"", "\"localhost:8080\"");
    text = replaced(text, "\"maxBodyBytes\": 2048", "\"maxBodyBytes\": -1, \"maxBodyByte\": 5");
    text = replaced(text, "\"desk-token\"", "\"short\"");
    text = replaced(text, "\"vmList\": \"127.0.0.1:9001\"", "\"vmlist\": 1");
    BOOST_TEST(errorPaths(text)
                       == (Paths {"http", "owners[0].token", "platform.vmList", "platform.vmlist",
                                  "limits.maxBodyBytes", "limits.maxBodyByte"}),
               boost::test_tools::per_element());
}

// Guards against ids that may still be opened after the ledger has deleted their records.
BOOST_AUTO_TEST_CASE(crossKeyConstraintsAreChecked)
{
    const std::string ledger = R"("ledger": {"retentionMs": 60000, "openLifetimeMs": 60000},)";
    BOOST_TEST(errorPaths(replaced(valid, "\"limits\"", ledger + "\"limits\""))
                       == Paths {"ledger.openLifetimeMs"},
               boost::test_tools::per_element());
    BOOST_TEST(errorPaths(replaced(valid, "\"name\": \"plateau-1\", \"dataCentre\": \"plateau\",\n",
                                   "\"name\": \"other\", \"dataCentre\": \"plateau\",\n"))
                       == Paths {"members"},
               boost::test_tools::per_element());
}

// Guards against non-loopback peers that accept unauthenticated messages.
BOOST_AUTO_TEST_CASE(remotePeersNeedAKey)
{
    const std::string remote =
            replaced(valid, "\"peer\": \"127.0.0.1:8081\"}", "\"peer\": \"10.0.0.1:8081\"}");
    BOOST_TEST(errorPaths(remote) == Paths {"peerKeys"}, boost::test_tools::per_element());
    const std::string keyed =
            replaced(remote, "\"owners\"",
                     "\"peerKeys\": [{\"id\": 1, \"secret\": \"0123456789abcdef\"}], \"owners\"");
    BOOST_TEST(parseSettings(keyed).has_value());
}

BOOST_AUTO_TEST_CASE(malformedTextIsReportedWithItsLine)
{
    for (const char *text : {"", "{", "[]", "{} x", "{\"name\": }", "\xff"})
        BOOST_TEST(!parseSettings(text).has_value(), text);
    const auto result = parseSettings("{\n\n\"name\": }");
    BOOST_TEST(
            describe("vm.json", result.error()).find("vm.json: expected JSON with comments (line 3")
            == 0U);
    BOOST_TEST(!loadSettings("no-such-file.json").has_value());
}
