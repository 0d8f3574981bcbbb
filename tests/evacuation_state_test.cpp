// Tests of the merge of evacuation states, and of their records in the store.
#define BOOST_TEST_MODULE evacuation_state
#include "records.h"

#include "lovage/evacuations.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using std::chrono::milliseconds;

namespace {

const Time begin = fromUnixMillis(1'700'000'000'000);

} // namespace

// Guards against an older state of another VM that replaces a newer one after a partition in which
// the request was withdrawn and repeated, in whatever order the states arrive.
BOOST_AUTO_TEST_CASE(state_with_the_highest_version_wins)
{
    std::vector<Evacuations> states {{3, {"a"}}, {4, {}}, {6, {"a", "b"}}, {9, {"b"}}};
    std::sort(states.begin(), states.end());
    do {
        EvacuationState state;
        for (const Evacuations &received : states)
            state.merge(received, begin);
        BOOST_TEST(state.current().version == 9U);
        BOOST_TEST(!state.isEvacuated("a"));
        BOOST_TEST(state.isEvacuated("b"));
    } while (std::next_permutation(states.begin(), states.end()));
}

// Guards against a request that is taken for withdrawn, or for a new one, when the store is
// compacted or the records are read again.
BOOST_AUTO_TEST_CASE(repeated_state_changes_nothing)
{
    EvacuationState state;
    BOOST_TEST(!state.isKnown());
    const auto first = state.merge({5, {"a"}}, begin);
    BOOST_TEST(first.begun.contains("a"));
    BOOST_TEST(state.merge({5, {"a"}}, begin + milliseconds(100)).isEmpty());
    BOOST_TEST(state.merge({8, {"a"}}, begin + milliseconds(200)).isEmpty());
    BOOST_TEST((state.since("a") == begin));
    BOOST_TEST(state.merge({9, {}}, begin + milliseconds(300)).ended.contains("a"));
    BOOST_TEST(!state.since("a").has_value());
    BOOST_TEST(state.merge({11, {"a"}}, begin + milliseconds(400)).begun.contains("a"));
    BOOST_TEST((state.since("a") == begin + milliseconds(400)));
}

// Guards against a VM that is cut off from the store and never asks others, and against requests of
// VMs that only read the store a little later than others.
BOOST_AUTO_TEST_CASE(newer_state_is_requested_by_a_vm_that_stays_behind)
{
    EvacuationState state;
    BOOST_TEST(state.isRequestDue(1, begin)); // a VM that has restarted
    state.merge({5, {}}, begin);
    BOOST_TEST(!state.isRequestDue(5, begin));
    for (int i = 0; i < 50; ++i) {
        const Time now = begin + i * milliseconds(100);
        BOOST_TEST(!state.isRequestDue(6 + i, now));
        state.merge({6 + static_cast<uint64_t>(i), {}}, now + milliseconds(20));
    }
    const Time lost = begin + std::chrono::minutes(1);
    BOOST_TEST(!state.isRequestDue(100, lost));
    BOOST_TEST(state.isRequestDue(100, lost + milliseconds(1100)));
}

// Guards against requests that are overlooked because of their value, and against other records
// that are taken for requests.
BOOST_AUTO_TEST_CASE(requests_are_read_from_the_operators_records)
{
    const auto state = platform::decodeEvacuations({{"config", "{}"},
                                                    {"evacuate/", "{}"},
                                                    {"evacuate/a", "{}"},
                                                    {"evacuate/b", "\xff\xfe"},
                                                    {"evacuate/c/d", "1"},
                                                    {"evacuated/e", "{}"},
                                                    {"x/evacuate/f", "{}"}},
                                                   7);
    BOOST_TEST((state == Evacuations {7, {"a", "b", "c/d"}}));
}
