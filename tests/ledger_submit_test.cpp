#define BOOST_TEST_MODULE ledger_submit
#include "lovage/ledger.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <set>

using namespace lovage;
using namespace std::chrono_literals;

namespace {

const Time begin = fromUnixMillis(1'700'000'000'000);

LedgerOptions optionsOf(const std::string &vm, uint64_t incarnation)
{
    return {.self = {"dc1", vm, incarnation}};
}

OutcomePtr outcomeOf(const std::string &output)
{
    return makeOutcome(Answer {{{"", output}}});
}

std::string keyAt(Time time, const std::string &text)
{
    return fmt::format("{}-{}", toUnixMillis(time), text);
}

const Error *refusalIn(const SubmitDecision &decision)
{
    const auto *refuse = std::get_if<Refuse>(&decision);
    return refuse ? &refuse->error : nullptr;
}

void checkRefused(const SubmitDecision &decision, Verdict verdict, ErrorCode code)
{
    const Error *error = refusalIn(decision);
    BOOST_REQUIRE(error);
    BOOST_TEST((error->verdict == verdict), toString(error->verdict));
    BOOST_TEST((error->code == code), toString(error->code));
}

struct LedgerFixture
{
    Ledger ledger {optionsOf("vm0", 5), begin};
    Time now = begin + 10s;

    SubmissionId open() { return ledger.open(now).value(); }
    SubmitDecision submit(const SubmissionId &id, uint64_t digest = 7)
    {
        return ledger.submit(id, "team", digest, now);
    }
    SubmissionId finished(const std::string &output)
    {
        SubmissionId id = open();
        submit(id);
        ledger.finish(id, outcomeOf(output), now);
        return id;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(submit, LedgerFixture)

// Guards against a second start of a resubmitted id and against another answer for it.
BOOST_AUTO_TEST_CASE(submissionIsIdempotent)
{
    const SubmissionId id = open();
    BOOST_TEST(std::holds_alternative<Start>(submit(id)));
    BOOST_TEST(std::holds_alternative<AlreadyRunning>(submit(id)));
    ledger.finish(id, outcomeOf("a"), now);
    const SubmitDecision again = submit(id);
    BOOST_REQUIRE(std::holds_alternative<Finished>(again));
    BOOST_TEST((*std::get<Finished>(again).outcome == *outcomeOf("a")));
}

// Guards against accepting another body or another owner for a known id.
BOOST_AUTO_TEST_CASE(otherBodyAndOtherOwnerAreRefused)
{
    const SubmissionId id = open();
    submit(id);
    checkRefused(submit(id, 8), Verdict::NotRun, ErrorCode::IdReused);
    checkRefused(ledger.submit(id, "other", 7, now), Verdict::NotRun, ErrorCode::WrongOwner);
    BOOST_TEST(std::holds_alternative<Refuse>(ledger.find(id, "other", now)));
    BOOST_TEST(std::holds_alternative<Refuse>(ledger.cancel(id, "other", now)));
}

// Guards against accepting ids that were never issued or were issued by another incarnation of the
// VM.
BOOST_AUTO_TEST_CASE(onlyTheIssuerDecides)
{
    SubmissionId id = open();
    id.sequence += 100;
    checkRefused(submit(id), Verdict::NotRun, ErrorCode::UnknownSubmission);
    id = open();
    for (const uint64_t incarnation : {uint64_t(4), uint64_t(6)}) {
        id.incarnation = incarnation;
        checkRefused(submit(id), Verdict::MayHaveRun, ErrorCode::IssuerUnreachable);
    }
    const SubmitDecision elsewhere = submit({"dc2", "vm9", 5, 1});
    BOOST_REQUIRE(std::holds_alternative<ForwardTo>(elsewhere));
    BOOST_TEST(std::get<ForwardTo>(elsewhere).vm == "vm9");
}

// Guards against a start under an opened id after its lifetime.
BOOST_AUTO_TEST_CASE(openedIdExpires)
{
    const SubmissionId id = open();
    now += 9min;
    const SubmissionId later = open();
    now += 2min;
    ledger.expire(now);
    checkRefused(submit(id), Verdict::NotRun, ErrorCode::Lapsed);
    BOOST_TEST(std::holds_alternative<Start>(submit(later)));
}

// Guards against the verdict NotRun for an id whose record was dropped.
BOOST_AUTO_TEST_CASE(droppedRecordsRaiseTheHorizon)
{
    const SubmissionId unused = open();
    const SubmissionId id = finished("a");
    const SubmissionId running = open();
    submit(running);
    now += 14min;
    ledger.expire(now);
    BOOST_TEST(std::holds_alternative<Finished>(submit(id)));
    now += 2min;
    ledger.expire(now);
    checkRefused(submit(id), Verdict::MayHaveRun, ErrorCode::PastHorizon);
    checkRefused(submit(unused), Verdict::MayHaveRun, ErrorCode::PastHorizon);
    BOOST_TEST(std::holds_alternative<AlreadyRunning>(submit(running)));
}

// Guards against a ledger that exceeds its memory limit, and against a second start of submissions
// whose record was dropped.
BOOST_AUTO_TEST_CASE(memoryIsBounded)
{
    LedgerOptions small = optionsOf("vm0", 5);
    small.ledgerBytes = 100'000;
    ledger = Ledger(small, begin);
    std::vector<SubmissionId> ids;
    for (int i = 0; i < 2000; ++i) {
        ids.push_back(finished(std::string(500, 'x')));
        BOOST_REQUIRE(ledger.bytes() <= small.ledgerBytes);
    }
    checkRefused(submit(ids.front()), Verdict::MayHaveRun, ErrorCode::PastHorizon);
    BOOST_TEST(std::holds_alternative<Finished>(submit(ids.back())));
    BOOST_TEST(ledger.records() > 50u);
}

// Guards against a submission that starts although its id was cancelled first.
BOOST_AUTO_TEST_CASE(cancelledIdNeverStarts)
{
    const SubmissionId id = open();
    BOOST_TEST(std::holds_alternative<Finished>(ledger.cancel(id, "team", now)));
    const SubmitDecision late = submit(id);
    BOOST_REQUIRE(std::holds_alternative<Finished>(late));
    BOOST_TEST((errorOf(*std::get<Finished>(late).outcome)->verdict == Verdict::NotRun));
    const SubmissionId running = open();
    submit(running);
    BOOST_TEST(std::holds_alternative<AlreadyRunning>(ledger.cancel(running, "team", now)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(keyed, LedgerFixture)

// Guards against a second start with the same key, and against a key that is shared by two owners.
BOOST_AUTO_TEST_CASE(keyIsIdempotentForItsOwner)
{
    const std::string key = keyAt(now, "order");
    const SubmitDecision first = ledger.submitKeyed(key, "team", 7, now);
    BOOST_REQUIRE(std::holds_alternative<Start>(first));
    BOOST_TEST(std::holds_alternative<AlreadyRunning>(ledger.submitKeyed(key, "team", 7, now)));
    checkRefused(ledger.submitKeyed(key, "team", 8, now), Verdict::NotRun, ErrorCode::IdReused);
    BOOST_TEST(std::holds_alternative<Start>(ledger.submitKeyed(key, "other", 7, now)));
    ledger.finish(std::get<Start>(first).id, outcomeOf("a"), now);
    BOOST_TEST(std::holds_alternative<Finished>(ledger.submitKeyed(key, "team", 7, now)));
}

// Guards against a restarted home VM that starts a submission whose key an earlier incarnation may
// have accepted.
BOOST_AUTO_TEST_CASE(keyFromBeforeTheStartNeverStarts)
{
    for (const Time time : {begin - 1s, begin, begin + 1900ms})
        checkRefused(ledger.submitKeyed(keyAt(time, "k"), "team", 7, now), Verdict::MayHaveRun,
                     ErrorCode::KeyTooOld);
    BOOST_TEST(std::holds_alternative<Start>(
            ledger.submitKeyed(keyAt(begin + 2s, "k"), "team", 7, now)));
}

// Guards against accepting keys whose record may have been dropped, and keys with a time in the
// future, which would still be accepted after their record was dropped.
BOOST_AUTO_TEST_CASE(keyTimesAreBounded)
{
    const std::string early = keyAt(now + 1900ms, "k");
    checkRefused(ledger.submitKeyed(keyAt(now + 2100ms, "k"), "team", 7, now), Verdict::NotRun,
                 ErrorCode::KeyInFuture);
    const SubmitDecision start = ledger.submitKeyed(early, "team", 7, now);
    BOOST_REQUIRE(std::holds_alternative<Start>(start));
    ledger.finish(std::get<Start>(start).id, outcomeOf("a"), now);
    now += 15min + 1ms;
    ledger.expire(now);
    checkRefused(ledger.submitKeyed(early, "team", 7, now), Verdict::MayHaveRun,
                 ErrorCode::KeyTooOld);
    checkRefused(ledger.submitKeyed(keyAt(now - 16min, "k"), "team", 7, now), Verdict::MayHaveRun,
                 ErrorCode::KeyTooOld);
}

// Guards against accepting malformed keys.
BOOST_AUTO_TEST_CASE(malformedKeysAreRefused)
{
    for (const char *key : {"", "-a", "12", "12-", "x-a", "-5-a", "99999999999999999999-a"})
        checkRefused(ledger.submitKeyed(key, "team", 7, now), Verdict::NotRun,
                     ErrorCode::MalformedBody);
}

// Guards against two VMs that both act as the home of a key.
BOOST_AUTO_TEST_CASE(homeOfKeyIsOneConfiguredVm)
{
    const std::vector<std::string> vms = {"a", "b", "c"};
    std::set<std::string> homes;
    for (int i = 0; i < 100; ++i) {
        const std::string key = fmt::format("{}-k", i);
        homes.insert(keyHome(key, vms));
        BOOST_TEST(keyHome(key, vms) == keyHome(key, {"a", "b", "c"}));
    }
    BOOST_TEST(homes.size() == 3u);
    BOOST_TEST(keyHome("1-k", {}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(handover, LedgerFixture)

// Guards against starts under a sealed ledger, and against lost or wrong answers of its successor.
BOOST_AUTO_TEST_CASE(successorAnswersForASealedLedger)
{
    const SubmissionId first = finished("a");
    const SubmissionId unused = open();
    const SubmissionId running = open();
    submit(running);
    ledger.seal();
    BOOST_TEST(!ledger.open(now).has_value());
    checkRefused(submit(unused), Verdict::NotRun, ErrorCode::Draining);
    checkRefused(ledger.submitKeyed(keyAt(now, "k"), "team", 7, now), Verdict::NotRun,
                 ErrorCode::Draining);
    ledger.finish(running, outcomeOf("b"), now);

    Ledger successor(optionsOf("vm1", 6), begin);
    for (const LedgerPart &part : ledger.handover())
        successor.import(part, now);
    BOOST_TEST(std::holds_alternative<Finished>(successor.submit(first, "team", 7, now)));
    BOOST_TEST(std::holds_alternative<Finished>(successor.submit(running, "team", 7, now)));
    checkRefused(successor.submit(first, "team", 8, now), Verdict::NotRun, ErrorCode::IdReused);
    checkRefused(successor.submit(unused, "team", 7, now), Verdict::NotRun, ErrorCode::Lapsed);
    BOOST_TEST(std::holds_alternative<Refuse>(successor.find(first, "other", now)));
}

// Guards against the verdict NotRun while a part of the handover is missing, and against counting a
// repeated part twice.
BOOST_AUTO_TEST_CASE(incompleteHandoverIsMayHaveRun)
{
    LedgerOptions options = optionsOf("vm0", 5);
    options.handoverPartBytes = 1000;
    ledger = Ledger(options, begin);
    std::vector<SubmissionId> ids(20);
    for (SubmissionId &id : ids)
        id = finished(std::string(300, 'x'));
    const SubmissionId unused = open();
    ledger.seal();
    const std::vector<LedgerPart> parts = ledger.handover();
    BOOST_REQUIRE(parts.size() > 2u);
    Ledger successor(optionsOf("vm1", 6), begin);
    for (size_t i = 1; i < parts.size(); ++i) {
        successor.import(parts[i], now);
        successor.import(parts[i], now);
    }
    checkRefused(successor.submit(unused, "team", 7, now), Verdict::MayHaveRun,
                 ErrorCode::IssuerUnreachable);
    successor.import(parts[0], now);
    checkRefused(successor.submit(unused, "team", 7, now), Verdict::NotRun, ErrorCode::Lapsed);
    for (const SubmissionId &id : ids)
        BOOST_TEST(std::holds_alternative<Finished>(successor.submit(id, "team", 7, now)));
}

// Guards against the verdict NotRun for records that a successor has received and dropped, and
// against answers that are lost when the successor leaves as well.
BOOST_AUTO_TEST_CASE(handoverIsPassedOnAndExpires)
{
    const SubmissionId id = finished("a");
    ledger.seal();
    Ledger second(optionsOf("vm1", 6), begin);
    for (const LedgerPart &part : ledger.handover())
        second.import(part, now);
    second.seal();
    Ledger third(optionsOf("vm2", 7), begin);
    for (const LedgerPart &part : second.handover())
        third.import(part, now);
    BOOST_TEST(std::holds_alternative<Finished>(third.submit(id, "team", 7, now)));
    now += 16min;
    third.expire(now);
    checkRefused(third.submit(id, "team", 7, now), Verdict::MayHaveRun, ErrorCode::PastHorizon);
}

// Guards against forwarding resubmissions to a VM that has left, or to an empty VM name.
BOOST_AUTO_TEST_CASE(successorIsRemembered)
{
    const SubmissionId id {"dc1", "vm1", 9, 3};
    ledger.recordSuccessor(issuerOf(id), "vm2", now);
    const SubmitDecision decision = submit(id);
    BOOST_REQUIRE(std::holds_alternative<ForwardTo>(decision));
    BOOST_TEST(std::get<ForwardTo>(decision).vm == "vm2");
    ledger.recordSuccessor(issuerOf(id), "", now);
    checkRefused(submit(id), Verdict::MayHaveRun, ErrorCode::IssuerUnreachable);
    ledger.recordSuccessor(issuerOf(id), "vm0", now);
    checkRefused(submit(id), Verdict::MayHaveRun, ErrorCode::IssuerUnreachable);
}

BOOST_AUTO_TEST_SUITE_END()
