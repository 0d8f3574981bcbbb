// Replays the inputs of the fuzzers for what other writers and VMs send.
#define BOOST_TEST_MODULE platform_corpus
#include "fuzz/platform_checks.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace lovage;

namespace {

void replay(const std::string &target, bool (*check)(std::string_view))
{
    const std::filesystem::path folder =
            std::filesystem::path(LOVAGE_SOURCE_DIR) / "tests/fuzz/corpus" / target;
    size_t count = 0;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        std::ifstream stream(file.path(), std::ios::binary);
        const std::string input((std::istreambuf_iterator<char>(stream)),
                                std::istreambuf_iterator<char>());
        BOOST_TEST(check(input), file.path().filename().string());
        ++count;
    }
    BOOST_TEST(count > 0U);
}

} // namespace

// Guards against entries that take other servers out of the list, and against records that are
// taken for other VMs.
BOOST_AUTO_TEST_CASE(entries_found_by_the_fuzzer)
{
    replay("entry", fuzz::checkServerEntry);
    replay("entry", fuzz::checkMemberRecord);
}

// Guards against configurations that change on their way to other VMs, and against times of jobs
// that overflow.
BOOST_AUTO_TEST_CASE(configurations_and_jobs_found_by_the_fuzzer)
{
    replay("configuration", fuzz::checkConfiguration);
    replay("configuration", fuzz::checkJob);
}

// Guards against reading beyond a response of the store.
BOOST_AUTO_TEST_CASE(responses_of_the_store_found_by_the_fuzzer)
{
    replay("store", fuzz::checkStoreResponse);
}

// Guards against messages and records that end a VM, or that change when they are passed on.
BOOST_AUTO_TEST_CASE(messages_and_journal_records_found_by_the_fuzzer)
{
    replay("record", fuzz::checkVmMessage);
    replay("record", fuzz::checkJournalRecord);
}
