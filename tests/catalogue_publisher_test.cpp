#define BOOST_TEST_MODULE catalogue_publisher
#include "catalogue_world.h"

using namespace lovage;
using namespace lovage::test;

namespace {

struct Fixture
{
    Fixture() : world(1, 1, 2)
    {
        world.startAll();
        BOOST_REQUIRE(world.runUntil(seconds(2), [&] { return world.allInForce(0); }));
    }

    bool settle(const PublishCase &publish)
    {
        return world.runUntil(seconds(6), [&] { return publish.finished.has_value(); }).has_value();
    }

    World world;
};

void expectError(const PublishCase &publish, Verdict verdict, ErrorCode code)
{
    BOOST_REQUIRE(publish.finished && publish.finished->error);
    BOOST_TEST((publish.finished->error->verdict == verdict));
    BOOST_TEST((publish.finished->error->code == code), publish.finished->error->reason);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(publisher, Fixture)

// Guards against an acceptance that is reported to both of two racing operators.
BOOST_AUTO_TEST_CASE(racingOperators)
{
    PublishCase first(sampleChange("echo", "first"));
    PublishCase second(sampleChange("echo", "second"));
    PublishCase third(sampleChange("vet", "third"));
    world.publish(0, first);
    world.publish(1, second);
    world.publish(0, third);
    BOOST_TEST(world.vms[0].publisher->inProgress() == 2U);
    BOOST_REQUIRE(settle(first) && settle(second) && settle(third));
    BOOST_TEST(!third.finished->error);
    const bool isFirstAccepted = !first.finished->error;
    BOOST_TEST(isFirstAccepted == second.finished->error.has_value());
    expectError(isFirstAccepted ? second : first, Verdict::NotRun, ErrorCode::PublishConflict);
}

// Guards against a second record, or a wrong answer, when the reply to the append is lost.
BOOST_AUTO_TEST_CASE(replyLostAfterAppend)
{
    world.log.replyLoss = 1;
    PublishCase publish(sampleChange("echo", "first"));
    world.publish(1, publish);
    BOOST_REQUIRE(settle(publish));
    BOOST_TEST(!publish.finished->error);
    BOOST_TEST(publish.finished->offset == 1U);
    BOOST_TEST(world.log.truth.size() == 1U);
}

// Guards against an unknown result that is reported as not-run or accepted.
BOOST_AUTO_TEST_CASE(unknownUntilTheDeadline)
{
    world.log.replyLoss = 1;
    PublishCase publish(sampleChange("echo", "first"));
    world.publish(0, publish);
    world.run(milliseconds(10));
    world.log.isUp = false;
    BOOST_REQUIRE(settle(publish));
    expectError(publish, Verdict::MayHaveRun, ErrorCode::PublishUnknown);
    // Repeating the request id after the outage gives the true answer.
    world.log.isUp = true;
    world.run(seconds(4));
    PublishCase repeated(publish.change);
    world.publish(1, repeated);
    BOOST_REQUIRE(settle(repeated));
    BOOST_TEST(!repeated.finished->error);
    BOOST_TEST(repeated.finished->offset == 1U);
}

// Guards against changes that are sent to a log that is down or lost records.
BOOST_AUTO_TEST_CASE(refusedWithoutAUsableLog)
{
    world.log.append(serializeLogRecord(sampleChange("old", "old")));
    world.run(seconds(1));
    world.log.isUp = false;
    world.run(seconds(4));
    PublishCase without(sampleChange("echo", "first"));
    world.publish(0, without);
    expectError(without, Verdict::NotRun, ErrorCode::LogUnavailable);
    world.log.records.clear();
    world.log.isUp = true;
    world.run(seconds(4));
    PublishCase behind(sampleChange("echo", "second"));
    world.publish(0, behind);
    expectError(behind, Verdict::NotRun, ErrorCode::LogBehind);
    BOOST_TEST(world.log.records.empty());
}

// Guards against appends that can only be conflicts, and against one request id for two changes.
BOOST_AUTO_TEST_CASE(certainConflictsAreNotSent)
{
    PublishCase first(sampleChange("echo", "first"));
    world.publish(0, first);
    BOOST_REQUIRE(settle(first));
    PublishCase again(sampleChange("echo", "second"));
    world.publish(0, again);
    expectError(again, Verdict::NotRun, ErrorCode::PublishConflict);
    PublishCase reused(sampleChange("vet", "first"));
    world.publish(0, reused);
    expectError(reused, Verdict::NotRun, ErrorCode::PublishConflict);
    PublishCase invalid(sampleChange("Echo", "third"));
    world.publish(0, invalid);
    expectError(invalid, Verdict::NotRun, ErrorCode::InvalidEntry);
    BOOST_TEST(world.log.truth.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
