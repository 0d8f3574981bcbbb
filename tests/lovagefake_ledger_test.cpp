#define BOOST_TEST_MODULE lovagefake_ledger
#include "lovagefake/ledger.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using namespace lovage::fake;
using namespace std::chrono_literals;

namespace {

constexpr Time now {1'000'000s};

std::string id(uint32_t attempt)
{
    return toString(TaskId {{"d", "v", 1, 1}, 0, attempt});
}

} // namespace

// Guards against a ground truth that misses a double start.
BOOST_AUTO_TEST_CASE(doubleStartsAreDetected)
{
    Ledger sameAttempt;
    sameAttempt.started(id(0), "e1", {}, false, now);
    sameAttempt.ended(id(0), false, now);
    sameAttempt.started(id(0), "e2", {}, false, now);
    BOOST_TEST(sameAttempt.violations(Violation::StartedTwice) == 1U);

    Ledger overlap;
    overlap.started(id(0), "e1", {}, false, now);
    overlap.started(id(1), "e2", {}, false, now);
    BOOST_TEST(overlap.violations(Violation::StartedTwice) == 1U);

    Ledger afterSuccess;
    afterSuccess.started(id(0), "e1", {}, false, now);
    afterSuccess.ended(id(0), true, now);
    afterSuccess.started(id(1), "e2", {}, false, now);
    BOOST_TEST(afterSuccess.violations(Violation::StartedTwice) == 1U);
}

// Guards against counting the one retry that the verdict rules permit.
BOOST_AUTO_TEST_CASE(retryAfterFailureIsNoViolation)
{
    Ledger ledger;
    ledger.started(id(0), "e1", {}, false, now);
    ledger.ended(id(0), false, now);
    ledger.started(id(1), "e2", {}, false, now);
    BOOST_TEST(ledger.violations(Violation::StartedTwice) == 0U);
    BOOST_TEST(ledger.toJson(false).find(R"("retried":["d.v.1.1.0"])") != std::string::npos);
}

// Guards against missing starts on leaving servers and after an "unknown" answer.
BOOST_AUTO_TEST_CASE(startsThatBreakAnAnswerAreDetected)
{
    Ledger ledger;
    ledger.started("1", "e1", now, false, now + 2s);
    BOOST_TEST(ledger.violations(Violation::StartedOnLeaving) == 0U);
    ledger.started("2", "e1", now, false, now + 2001ms);
    BOOST_TEST(ledger.violations(Violation::StartedOnLeaving) == 1U);
    ledger.answeredUnknown("3", "e1");
    ledger.started("3", "e2", {}, false, now);
    BOOST_TEST(ledger.violations(Violation::StartedAfterUnknown) == 0U);
    ledger.answeredUnknown("4", "e1");
    ledger.started("4", "e1", {}, false, now);
    BOOST_TEST(ledger.violations(Violation::StartedAfterUnknown) == 1U);
    ledger.started("5", "e1", {}, true, now);
    ledger.started("5", "e2", {}, false, now);
    BOOST_TEST(ledger.violations(Violation::StartedTwice) == 0U);
}
