#define BOOST_TEST_MODULE dispatch_start
#include "support/dispatch_world.h"

using namespace lovage;
using namespace lovage::test;

namespace {

// One data centre with two VMs and two executors; the first VM uses the first executor.
struct SmallWorld : World
{
    explicit SmallWorld(BackendKind kind = BackendKind::Executor, uint32_t slots = 4)
    {
        options.inquiryTimeout = 500ms;
        addServer("s0", "dc1", kind, slots);
        addServer("s1", "dc1", kind, slots);
        addVm("vm0", "dc1");
        addVm("vm1", "dc1");
        startVm(0);
        startVm(1);
        run(500ms);
        // The VMs learn the instance of each server from its first reply.
        for (const size_t vm : {size_t(0), size_t(1)})
            submitNew(vm, {"warm"});
        run(1s);
        starts.clear();
        messages.clear();
    }

    std::string entry() const
    {
        return servers[0].info.kind == BackendKind::Worker ? "vet" : "screen";
    }

    uint64_t submitNew(size_t vm, std::vector<std::string> inputs, bool isRepeatable = false,
                       Duration deadline = 5s)
    {
        last = open(vm);
        return submit(vm, last, std::move(inputs), isRepeatable, deadline, 7, entry());
    }

    // Applies a delivery to the next messages of one kind.
    void next(MessageKind kind, Delivery chosen, int count = 1)
    {
        chooseDelivery = [=, left = count](MessageKind sent, const std::string &,
                                           const std::string &) mutable {
            if (sent != kind || left == 0)
                return Delivery {};
            --left;
            return chosen;
        };
    }

    void checkInvariants()
    {
        run(20s);
        for (const std::string &violation : violations())
            BOOST_ERROR(violation);
    }

    SubmissionId last;
};

struct WorkerWorld : SmallWorld
{
    WorkerWorld() : SmallWorld(BackendKind::Worker) { }
};

const Delivery lost {.isDropped = true};

} // namespace

// Guards against a lost reply of an executor that leads to a second start.
BOOST_AUTO_TEST_CASE(lostStartReplyDoesNotStartAgain)
{
    SmallWorld world;
    world.next(MessageKind::StartReply, lost);
    const uint64_t request = world.submitNew(0, {"a"});
    world.run(3s);
    BOOST_REQUIRE(world.failure(request));
    BOOST_TEST((world.failure(request)->verdict == Verdict::Ran));
    BOOST_TEST(world.startsOf(world.last).size() == 1u);
    BOOST_TEST(world.count(MessageKind::Inquiry) >= 1u);
    world.checkInvariants();
}

// Guards against giving up a task of a worker whose start reply was lost although its result can be
// fetched.
BOOST_AUTO_TEST_CASE(resultOfWorkerArrivesDespiteLostStartReply)
{
    WorkerWorld world;
    world.next(MessageKind::StartReply, lost);
    const uint64_t request = world.submitNew(0, {"a"});
    world.run(3s);
    BOOST_TEST(world.answer(request));
    world.checkInvariants();
}

// Guards against the verdict MayHaveRun for a start message that never arrived: the tombstone set
// by the inquiry proves that the task did not run.
BOOST_AUTO_TEST_CASE(lostStartGoesElsewhereAfterInquiry)
{
    SmallWorld world;
    world.next(MessageKind::Start, lost);
    const uint64_t request = world.submitNew(0, {"a"});
    world.run(3s);
    BOOST_TEST(world.answer(request));
    BOOST_TEST(world.startsOf(world.last).size() == 1u);
    BOOST_TEST(world.count(MessageKind::Inquiry) == 1u);
    world.checkInvariants();
}

// Guards against a start message that arrives after an inquiry proved that its task did not run and
// the task was started elsewhere. The tombstone must make the server refuse it.
BOOST_AUTO_TEST_CASE(delayedStartAfterNotRunIsRefused)
{
    SmallWorld world;
    world.servers[0].runTime = 2s;
    world.next(MessageKind::Start, {.delay = 900ms});
    const uint64_t request = world.submitNew(0, {"a"});
    world.run(5s);
    BOOST_TEST(world.answer(request));
    BOOST_TEST(world.startsOf(world.last).size() == 1u);
    world.checkInvariants();
}

// Guards against a start at a server whose instance is not known yet: after a restart it could
// accept a second copy of the message.
BOOST_AUTO_TEST_CASE(nothingStartsBeforeFirstContact)
{
    SmallWorld world;
    world.servers[0].isUp = false;
    world.partition("vm0", "vm1");
    world.run(3s); // until the advertised capacity of vm1 has expired
    world.addServer("s2", "dc1", BackendKind::Executor, 64);
    world.next(MessageKind::InquiryReply, lost, 1000);
    const uint64_t request = world.submitNew(0, {"a"}, false, 2s);
    world.run(3s);
    BOOST_REQUIRE(world.failure(request));
    BOOST_TEST((world.failure(request)->verdict == Verdict::NotRun));
    BOOST_TEST(world.count(MessageKind::Start) == 0u);
    world.checkInvariants();
}

// Guards against trusting the reply "unknown" of a server that does not report its instance. The
// server may have restarted and lost its records.
BOOST_AUTO_TEST_CASE(unknownWithoutInstanceIsMayHaveRun)
{
    SmallWorld world;
    world.addServer("s2", "dc1", BackendKind::Executor, 64);
    world.servers[2].instance = 0;
    world.servers[0].isUp = false;
    world.next(MessageKind::Start, lost, 1);
    world.run(500ms);
    uint64_t request = 0;
    for (int i = 0; i < 5 && world.count(MessageKind::Start) == 0; ++i)
        request = world.submitNew(0, {"a"}, false, 2s);
    world.run(3s);
    BOOST_REQUIRE(world.failure(request));
    BOOST_TEST((world.failure(request)->verdict == Verdict::MayHaveRun));
    world.checkInvariants();
}

// Guards against the verdict NotRun because of a reply from a server that has restarted and lost
// its records.
BOOST_AUTO_TEST_CASE(restartedServerProvesNothing)
{
    SmallWorld world;
    world.servers[0].runTime = 10s;
    const uint64_t request = world.submitNew(0, {"a"});
    world.run(100ms);
    world.crashServer(0);
    world.restartServer(0);
    world.run(3s);
    BOOST_REQUIRE(world.failure(request));
    BOOST_TEST((world.failure(request)->verdict == Verdict::MayHaveRun));
    BOOST_TEST(world.startsOf(world.last).size() == 1u);
    world.checkInvariants();
}

// Guards against a second attempt of a repeatable task whose worker died without a report.
BOOST_AUTO_TEST_CASE(deadWorkerIsNotRetried)
{
    WorkerWorld world;
    world.servers[0].runTime = 10s;
    const uint64_t request = world.submitNew(0, {"a"}, true);
    world.run(100ms);
    world.crashServer(0);
    world.run(10s);
    BOOST_REQUIRE(world.failure(request));
    BOOST_TEST((world.failure(request)->verdict == Verdict::Ran));
    BOOST_TEST(world.startsOf(world.last).size() == 1u);
    world.checkInvariants();
}

// Guards against failing a task because a server refused the connection. Nothing was sent, so the
// task may wait or be started elsewhere.
BOOST_AUTO_TEST_CASE(refusedConnectionIsNotRun)
{
    SmallWorld world;
    world.crashServer(0);
    const uint64_t request = world.submitNew(0, {"a"});
    world.after(400ms, [&] { world.restartServer(0); });
    world.run(4s);
    BOOST_TEST(world.answer(request));
    world.checkInvariants();
}

// Guards against retries of tasks that are not repeatable, and against more than one retry.
BOOST_AUTO_TEST_CASE(reportedFailureIsRetriedOnceIfRepeatable)
{
    SmallWorld world;
    world.servers[0].failureProbability = world.servers[1].failureProbability = 1;
    const uint64_t once = world.submitNew(0, {"a"}, false);
    world.run(1s);
    BOOST_TEST(world.startsOf(world.last).size() == 1u);
    const uint64_t twice = world.submitNew(0, {"a"}, true);
    world.run(1s);
    BOOST_TEST(world.startsOf(world.last).size() == 2u);
    BOOST_TEST((world.failure(once)->verdict == Verdict::Ran));
    BOOST_TEST((world.failure(twice)->code == ErrorCode::TaskFailed));
    world.checkInvariants();
}

// Guards against a second attempt while an unreachable worker still runs the first, and against a
// missing second attempt after the worker has stopped the first.
BOOST_AUTO_TEST_CASE(lapsedLeaseIsRetriedAfterConfirmedStop)
{
    WorkerWorld world;
    world.servers[0].runTime = 8s;
    const uint64_t request = world.submitNew(0, {"a"}, true, 30s);
    world.run(100ms);
    world.partition("vm0", "s0");
    world.run(7s);
    BOOST_TEST(world.startsOf(world.last).size() == 1u);
    BOOST_TEST((world.startsOf(world.last).front().end == RunEnd::Stopped));
    world.servers[0].runTime = 20ms;
    world.heal();
    world.run(5s);
    BOOST_TEST(world.answer(request));
    BOOST_TEST(world.startsOf(world.last).size() == 2u);
    world.checkInvariants();
}

// Guards against answers that are lost, duplicated or mixed up when every message is duplicated and
// reordered.
BOOST_AUTO_TEST_CASE(duplicatedAndReorderedMessagesChangeNothing)
{
    for (const BackendKind kind : {BackendKind::Executor, BackendKind::Worker}) {
        SmallWorld world(kind);
        world.chooseDelivery = [&](MessageKind, const std::string &, const std::string &) {
            return Delivery {false, Duration(world.random.below(20'000)),
                             Duration(world.random.below(200'000))};
        };
        std::vector<uint64_t> requests(50);
        for (size_t i = 0; i < requests.size(); ++i)
            requests[i] = world.submitNew(i % 2, {fmt::format("{}-a", i), fmt::format("{}-b", i)});
        world.run(5s);
        for (const uint64_t request : requests)
            BOOST_TEST(world.answer(request));
        world.checkInvariants();
    }
}

// Guards against a partial answer of a job and against tasks that start after the job has failed.
BOOST_AUTO_TEST_CASE(jobFailsAsAWhole)
{
    SmallWorld world(BackendKind::Executor, 1);
    std::vector<std::string> inputs(20, "x");
    world.servers[0].runTime = world.servers[1].runTime = 100ms;
    const uint64_t request = world.submitNew(0, inputs);
    world.run(250ms);
    world.servers[0].failureProbability = world.servers[1].failureProbability = 1;
    world.run(1s);
    BOOST_REQUIRE(world.failure(request));
    BOOST_TEST((world.failure(request)->verdict == Verdict::Ran));
    const size_t started = world.startsOf(world.last).size();
    BOOST_TEST(started < 20u);
    world.run(3s);
    BOOST_TEST(world.startsOf(world.last).size() == started);
    BOOST_TEST(world.vms[0].dispatcher->counters().cancelledTasks > 0u);
    world.checkInvariants();
}

// Guards against a submission that outlives its deadline and against tasks that start after it.
BOOST_AUTO_TEST_CASE(deadlineEndsQueuedAndRunningWork)
{
    SmallWorld world(BackendKind::Executor, 1);
    world.servers[0].runTime = world.servers[1].runTime = 3s;
    const uint64_t running = world.submitNew(0, {"a"}, false, 1s);
    world.submitNew(1, {"b"}, false, 1s);
    world.run(50ms);
    const SubmissionId second = world.open(0);
    const uint64_t queued = world.submit(0, second, {"c"}, false, 900ms);
    world.run(1100ms);
    BOOST_REQUIRE(world.failure(running));
    BOOST_TEST((world.failure(running)->verdict != Verdict::NotRun));
    BOOST_REQUIRE(world.failure(queued));
    BOOST_TEST((world.failure(queued)->verdict == Verdict::NotRun));
    world.checkInvariants();
    BOOST_TEST(world.startsOf(second).empty());
}

// Guards against answers above the size limit, or answers that cannot be decoded, that reach the
// caller or count as faults of another server.
BOOST_AUTO_TEST_CASE(invalidAnswersAreCountedForTheirServer)
{
    SmallWorld world;
    world.servers[0].outputPadding = size_t(5) << 20;
    const uint64_t large = world.submitNew(0, {"a"}, true);
    world.run(1s);
    world.servers[0].outputPadding = 0;
    world.servers[0].sendsMalformedResults = true;
    const uint64_t malformed = world.submitNew(0, {"a"}, true);
    world.run(1s);
    BOOST_TEST((world.failure(large)->code == ErrorCode::AnswerTooLarge));
    BOOST_TEST((world.failure(malformed)->code == ErrorCode::MalformedAnswer));
    const Dispatcher &dispatcher = *world.vms[0].dispatcher;
    BOOST_TEST(dispatcher.faultsOf("s0").oversizeAnswers == 1u);
    BOOST_TEST(dispatcher.faultsOf("s0").malformedAnswers == 1u);
    BOOST_TEST((dispatcher.faultsOf("s1") == ServerFaults {}));
    world.checkInvariants();
}

// Guards against accepting results for tasks that were never sent to the server or were sent to
// another one.
BOOST_AUTO_TEST_CASE(answersForForeignTasksAreIgnored)
{
    SmallWorld world;
    world.servers[0].runTime = 500ms;
    const uint64_t request = world.submitNew(0, {"a"});
    world.run(50ms);
    const Placement &placement = world.vms[0].dispatcher->placement();
    const uint32_t other = *placement.indexOf("s1");
    TaskReply forged {{world.last, 0, 0}, TaskStatus::Done};
    forged.output = "forged";
    const uint64_t incarnation = world.vms[0].self.incarnation;
    world.deliver(0, incarnation, TaskFinished {other, 1, forged, {}});
    forged.id.index = 9;
    world.deliver(0, incarnation, TaskFinished {other, 1, forged, {}});
    forged.id.submission.sequence = 4711;
    world.deliver(0, incarnation, TaskFinished {other, 1, forged, {}});
    world.run(2s);
    BOOST_TEST(world.vms[0].dispatcher->faultsOf("s1").unknownAnswers == 3u);
    BOOST_REQUIRE(world.answer(request));
    BOOST_TEST(world.answer(request)->tasks.front().output == "out:a");
}

// Guards against failing to detect a server that runs a task which it has refused.
BOOST_AUTO_TEST_CASE(startAfterRefusalIsCounted)
{
    WorkerWorld world;
    world.servers[0].startsAfterRefusal = true;
    world.servers[0].info.slots = 0;
    world.submitNew(0, {"a"}, false, 2s);
    world.run(2s);
    BOOST_TEST(world.vms[0].dispatcher->faultsOf("s0").startsAfterRefusal > 0u);
}

// Guards against a delayed start message that outlives its expiry after the caller was told that
// the cancellation is confirmed.
BOOST_AUTO_TEST_CASE(startMessagesExpire)
{
    SmallWorld world;
    world.next(MessageKind::Start, {.delay = 2500ms});
    const uint64_t request = world.submitNew(0, {"a"}, false, 10s);
    world.run(5ms);
    world.partition("vm0", "s0");
    const uint64_t cancelled = world.cancel(0, world.last);
    world.run(2100ms);
    BOOST_REQUIRE(world.failure(cancelled));
    BOOST_TEST((world.failure(cancelled)->verdict == Verdict::MayHaveRun));
    BOOST_TEST(world.failure(request));
    world.checkInvariants();
    BOOST_TEST(world.startsOf(world.last).empty());
}

// Guards against a start after a confirmed cancellation, because a start message was still in
// transit.
BOOST_AUTO_TEST_CASE(cancellationOvertakesStart)
{
    SmallWorld world;
    world.next(MessageKind::Start, {.delay = 200ms});
    world.submitNew(0, {"a"});
    world.run(5ms);
    const uint64_t cancelled = world.cancel(0, world.last);
    world.run(2s);
    BOOST_REQUIRE(world.failure(cancelled));
    BOOST_TEST((world.failure(cancelled)->verdict == Verdict::NotRun));
    world.checkInvariants();
    BOOST_TEST(world.startsOf(world.last).empty());
}

// Guards against a running task that survives its cancellation.
BOOST_AUTO_TEST_CASE(cancellationStopsRunningWork)
{
    WorkerWorld world;
    world.servers[0].runTime = 3s;
    const uint64_t request = world.submitNew(0, {"a"});
    world.run(50ms);
    const uint64_t cancelled = world.cancel(0, world.last);
    world.run(500ms);
    BOOST_REQUIRE(world.failure(cancelled));
    BOOST_TEST((world.failure(cancelled)->code == ErrorCode::Cancelled));
    BOOST_TEST((world.failure(cancelled)->verdict == Verdict::Ran));
    BOOST_TEST((*world.failure(request) == *world.failure(cancelled)));
    BOOST_TEST((world.startsOf(world.last).front().end == RunEnd::Stopped));
    world.checkInvariants();
}

// Guards against a submission that starts although its id was cancelled before it arrived.
BOOST_AUTO_TEST_CASE(cancellationBeforeSubmissionHolds)
{
    SmallWorld world;
    const SubmissionId id = world.open(0);
    const uint64_t cancelled = world.cancel(1, id);
    world.run(100ms);
    const uint64_t request = world.submit(0, id, {"a"});
    world.run(1s);
    BOOST_TEST((world.failure(cancelled)->verdict == Verdict::NotRun));
    BOOST_TEST((world.failure(request)->code == ErrorCode::Cancelled));
    world.checkInvariants();
    BOOST_TEST(world.startsOf(id).empty());
}
