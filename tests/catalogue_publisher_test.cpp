#define BOOST_TEST_MODULE catalogue_publisher
#include "catalogue_world.h"

using namespace lovage;
using namespace lovage::test;

namespace {

struct Fixture
{
    Fixture() : simulation(1, 1, 2)
    {
        simulation.startAll();
        BOOST_REQUIRE(simulation.runUntil(seconds(2), [&] { return simulation.allInForce(0); }));
    }

    bool waitForResult(const PublishCase &publish)
    {
        return simulation.runUntil(seconds(6), [&] { return publish.finished.has_value(); })
                .has_value();
    }

    CatalogueSimulation simulation;
};

void expectError(const PublishCase &publish, Verdict verdict, ErrorCode code)
{
    BOOST_REQUIRE(publish.finished && publish.finished->error);
    BOOST_TEST((publish.finished->error->verdict == verdict));
    BOOST_TEST((publish.finished->error->code == code), publish.finished->error->reason);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(publisher, Fixture)

// Guards against two operators who publish the same entry at the same time and are both told that
// their change was accepted.
BOOST_AUTO_TEST_CASE(onlyOneOfConcurrentChangesIsAccepted)
{
    PublishCase first(sampleChange("echo", "first"));
    PublishCase second(sampleChange("echo", "second"));
    PublishCase third(sampleChange("vet", "third"));
    simulation.publish(0, first);
    simulation.publish(1, second);
    simulation.publish(0, third);
    BOOST_TEST(simulation.vms[0].publisher->inProgress() == 2U);
    BOOST_REQUIRE(waitForResult(first) && waitForResult(second) && waitForResult(third));
    BOOST_TEST(!third.finished->error);
    const bool isFirstAccepted = !first.finished->error;
    BOOST_TEST(isFirstAccepted == second.finished->error.has_value());
    expectError(isFirstAccepted ? second : first, Verdict::NotRun, ErrorCode::PublishConflict);
}

// Guards against a second record, or a wrong result, when the reply to an append is lost.
BOOST_AUTO_TEST_CASE(replyLostAfterAppend)
{
    simulation.log.replyLoss = 1;
    PublishCase publish(sampleChange("echo", "first"));
    simulation.publish(1, publish);
    BOOST_REQUIRE(waitForResult(publish));
    BOOST_TEST(!publish.finished->error);
    BOOST_TEST(publish.finished->offset == 1U);
    BOOST_TEST(simulation.log.allRecords.size() == 1U);
}

// Guards against a change with an unknown result that is reported as not-run or as accepted.
BOOST_AUTO_TEST_CASE(unknownUntilTheDeadline)
{
    simulation.log.replyLoss = 1;
    PublishCase publish(sampleChange("echo", "first"));
    simulation.publish(0, publish);
    simulation.run(milliseconds(10));
    simulation.log.isUp = false;
    BOOST_REQUIRE(waitForResult(publish));
    expectError(publish, Verdict::MayHaveRun, ErrorCode::PublishUnknown);
    // Repeating the request with the same id after the outage returns the actual result.
    simulation.log.isUp = true;
    simulation.run(seconds(4));
    PublishCase repeated(publish.change);
    simulation.publish(1, repeated);
    BOOST_REQUIRE(waitForResult(repeated));
    BOOST_TEST(!repeated.finished->error);
    BOOST_TEST(repeated.finished->offset == 1U);
}

// Guards against changes that are sent to a log that is down or that lost records.
BOOST_AUTO_TEST_CASE(refusedWithoutAUsableLog)
{
    simulation.log.append(serializeLogRecord(sampleChange("old", "old")));
    simulation.run(seconds(1));
    simulation.log.isUp = false;
    simulation.run(seconds(4));
    PublishCase without(sampleChange("echo", "first"));
    simulation.publish(0, without);
    expectError(without, Verdict::NotRun, ErrorCode::LogUnavailable);
    simulation.log.records.clear();
    simulation.log.isUp = true;
    simulation.run(seconds(4));
    PublishCase behind(sampleChange("echo", "second"));
    simulation.publish(0, behind);
    expectError(behind, Verdict::NotRun, ErrorCode::LogBehind);
    BOOST_TEST(simulation.log.records.empty());
}

// Guards against appends of changes that are known to conflict or to be invalid, and against one
// request id for two changes.
BOOST_AUTO_TEST_CASE(knownConflictsAreNotAppended)
{
    PublishCase first(sampleChange("echo", "first"));
    simulation.publish(0, first);
    BOOST_REQUIRE(waitForResult(first));
    PublishCase again(sampleChange("echo", "second"));
    simulation.publish(0, again);
    expectError(again, Verdict::NotRun, ErrorCode::PublishConflict);
    PublishCase reused(sampleChange("vet", "first"));
    simulation.publish(0, reused);
    expectError(reused, Verdict::NotRun, ErrorCode::PublishConflict);
    PublishCase invalid(sampleChange("Echo", "third"));
    simulation.publish(0, invalid);
    expectError(invalid, Verdict::NotRun, ErrorCode::InvalidEntry);
    BOOST_TEST(simulation.log.allRecords.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
