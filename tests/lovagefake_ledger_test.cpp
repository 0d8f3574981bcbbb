#define BOOST_TEST_MODULE lovagefake_ledger
#include "lovagefake/ledger.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using namespace lovage::fake;
using namespace std::chrono_literals;

namespace {

constexpr Time now {1'000'000s};

std::string taskId(uint32_t attempt)
{
    return toString(TaskId {{"d", "v", 1, 1}, 0, attempt});
}

} // namespace

// Guards against a ledger that misses a double start: of the same attempt, of an attempt while
// another one runs, or of an attempt after a success.
BOOST_AUTO_TEST_CASE(doubleStartsAreDetected)
{
    Ledger sameAttempt;
    sameAttempt.recordStart(taskId(0), "e1", {}, false, now);
    sameAttempt.recordEnd(taskId(0), false, now);
    sameAttempt.recordStart(taskId(0), "e2", {}, false, now);
    BOOST_TEST(sameAttempt.violations(Violation::StartedTwice) == 1U);

    Ledger overlap;
    overlap.recordStart(taskId(0), "e1", {}, false, now);
    overlap.recordStart(taskId(1), "e2", {}, false, now);
    BOOST_TEST(overlap.violations(Violation::StartedTwice) == 1U);

    Ledger afterSuccess;
    afterSuccess.recordStart(taskId(0), "e1", {}, false, now);
    afterSuccess.recordEnd(taskId(0), true, now);
    afterSuccess.recordStart(taskId(1), "e2", {}, false, now);
    BOOST_TEST(afterSuccess.violations(Violation::StartedTwice) == 1U);
}

// Guards against counting the retry of a failed attempt, which the dispatcher may make, as a
// violation.
BOOST_AUTO_TEST_CASE(retryAfterFailureIsNoViolation)
{
    Ledger ledger;
    ledger.recordStart(taskId(0), "e1", {}, false, now);
    ledger.recordEnd(taskId(0), false, now);
    ledger.recordStart(taskId(1), "e2", {}, false, now);
    BOOST_TEST(ledger.violations(Violation::StartedTwice) == 0U);
    BOOST_TEST(ledger.toJson(false).find(R"("retried":["d.v.1.1.0"])") != std::string::npos);
}

// Guards against a ledger that misses a start more than 2 s after the server was marked leaving, or
// a start on a server that had answered "unknown" for the task. Starts on other servers, and those
// on a misbehaving server, are no violations.
BOOST_AUTO_TEST_CASE(startsThatBreakAnAnswerAreDetected)
{
    Ledger ledger;
    ledger.recordStart("1", "e1", now, false, now + 2s);
    BOOST_TEST(ledger.violations(Violation::StartedOnLeaving) == 0U);
    ledger.recordStart("2", "e1", now, false, now + 2001ms);
    BOOST_TEST(ledger.violations(Violation::StartedOnLeaving) == 1U);
    ledger.recordUnknownAnswer("3", "e1");
    ledger.recordStart("3", "e2", {}, false, now);
    BOOST_TEST(ledger.violations(Violation::StartedAfterUnknown) == 0U);
    ledger.recordUnknownAnswer("4", "e1");
    ledger.recordStart("4", "e1", {}, false, now);
    BOOST_TEST(ledger.violations(Violation::StartedAfterUnknown) == 1U);
    ledger.recordStart("5", "e1", {}, true, now);
    ledger.recordStart("5", "e2", {}, false, now);
    BOOST_TEST(ledger.violations(Violation::StartedTwice) == 0U);
}
