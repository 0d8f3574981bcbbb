#define BOOST_TEST_MODULE dispatch_vm
#include "support/dispatch_world.h"

using namespace lovage;
using namespace lovage::test;

namespace {

// Two data centres. dc1 has VMs 0 and 1 and one server, which VM 0 uses, so VM 1 has no server of
// its own. dc2 has VM 2 and one server.
struct TwoDataCentres : World
{
    explicit TwoDataCentres(BackendKind kind = BackendKind::Executor)
    {
        options.inquiryTimeout = 500ms;
        addServer("s0", "dc1", kind, 8);
        addServer("t0", "dc2", kind, 8);
        addVm("vm0", "dc1");
        addVm("vm1", "dc1");
        addVm("vm2", "dc2");
        for (size_t vm = 0; vm < vms.size(); ++vm)
            startVm(vm);
        run(500ms);
        submit(0, open(0), {"warm"});
        submit(2, open(2), {"warm"});
        run(1s);
        starts.clear();
        messages.clear();
    }

    void next(MessageKind kind, Delivery chosen)
    {
        chooseDelivery = [=, used = false](MessageKind sent, const std::string &,
                                           const std::string &) mutable {
            if (sent != kind || used)
                return Delivery {};
            used = true;
            return chosen;
        };
    }

    void checkInvariants()
    {
        run(20s);
        for (const std::string &violation : violations())
            BOOST_ERROR(violation);
    }
};

const Delivery lost {.isDropped = true};

} // namespace

// Guards against a resubmission through another VM, of the same or another data centre, that
// starts the tasks again or gets another answer.
BOOST_AUTO_TEST_CASE(resubmissionThroughOtherVmsGetsTheSameAnswer)
{
    TwoDataCentres world;
    const SubmissionId id = world.open(0);
    const uint64_t first = world.submit(0, id, {"a", "b"});
    const uint64_t running = world.submit(1, id, {"a", "b"});
    world.run(1s);
    const uint64_t finished = world.submit(2, id, {"a", "b"});
    world.run(1s);
    for (const uint64_t request : {first, running, finished})
        BOOST_REQUIRE(world.answer(request));
    BOOST_TEST((*world.answer(first) == *world.answer(finished)));
    BOOST_TEST(world.startsOf(id).size() == 2u);
    world.checkInvariants();
}

// Guards against accepting another body under a known id: it must neither start nor get the answer
// to the first one.
BOOST_AUTO_TEST_CASE(reusedIdIsRefused)
{
    TwoDataCentres world;
    const SubmissionId id = world.open(0);
    const uint64_t first = world.submit(0, id, {"a"});
    const uint64_t other = world.submit(1, id, {"b"}, false, 5s, 8);
    world.run(1s);
    BOOST_TEST(world.answer(first));
    BOOST_REQUIRE(world.failure(other));
    BOOST_TEST((world.failure(other)->code == ErrorCode::IdReused));
    BOOST_TEST(world.startsOf(id).size() == 1u);
    world.checkInvariants();
}

// Guards against tasks that are started again after their VM crashed, either elsewhere or by the
// restarted VM of the same name.
BOOST_AUTO_TEST_CASE(crashedVmIsNotTakenOver)
{
    TwoDataCentres world;
    world.servers[0].runTime = 500ms;
    const SubmissionId id = world.open(0);
    const SubmissionId unused = world.open(0);
    world.submit(0, id, {"a"});
    world.run(100ms);
    world.crashVm(0);
    const uint64_t elsewhere = world.submit(2, id, {"a"});
    world.run(1s);
    BOOST_REQUIRE(world.failure(elsewhere));
    BOOST_TEST((world.failure(elsewhere)->verdict == Verdict::MayHaveRun));
    world.startVm(0);
    world.run(1s);
    const uint64_t restarted = world.submit(0, id, {"a"});
    const uint64_t neverStarted = world.submit(2, unused, {"a"});
    world.run(1s);
    BOOST_REQUIRE(world.failure(restarted));
    BOOST_TEST((world.failure(restarted)->verdict == Verdict::MayHaveRun));
    BOOST_TEST((world.failure(neverStarted)->verdict == Verdict::MayHaveRun));
    BOOST_TEST(world.startsOf(id).size() == 1u);
    world.checkInvariants();
}

// Guards against a VM that is partitioned from the issuer and starts the tasks or answers NotRun.
BOOST_AUTO_TEST_CASE(partitionedVmAnswersMayHaveRun)
{
    TwoDataCentres world;
    world.partition("vm0", "vm2");
    const SubmissionId id = world.open(0);
    const uint64_t first = world.submit(0, id, {"a"});
    const uint64_t cutOff = world.submit(2, id, {"a"});
    world.run(2s);
    BOOST_TEST(world.answer(first));
    BOOST_REQUIRE(world.failure(cutOff));
    BOOST_TEST((world.failure(cutOff)->code == ErrorCode::IssuerUnreachable));
    BOOST_TEST((world.failure(cutOff)->verdict == Verdict::MayHaveRun));
    const uint64_t own = world.submit(2, world.open(2), {"b"});
    world.run(1s);
    BOOST_TEST(world.answer(own));
    world.checkInvariants();
}

// Guards against starts on a server that began to leave while the VM was paused. The events queued
// during the pause do not report this.
BOOST_AUTO_TEST_CASE(pausedVmReadsTheViewBeforeItStarts)
{
    TwoDataCentres world;
    const SubmissionId id = world.open(0);
    world.pauseVm(0);
    const uint64_t request = world.submit(0, id, {"a"}, false, 20s);
    world.run(100ms);
    world.markLeaving(0);
    world.run(5s);
    world.vms[0].inbox.resize(1); // the lists read during the pause never reached the process
    world.resumeVm(0);
    world.run(3s);
    BOOST_TEST(world.vms[0].dispatcher->counters().pauses == 1u);
    world.checkInvariants();
    BOOST_TEST((world.answer(request) || world.failure(request)));
}

// Guards against a start after the deadline by the first event that follows a pause.
BOOST_AUTO_TEST_CASE(deadlinePassedDuringPause)
{
    TwoDataCentres world;
    const SubmissionId id = world.open(0);
    world.pauseVm(0);
    const uint64_t request = world.submit(0, id, {"a"}, false, 1s);
    world.run(30s);
    world.resumeVm(0);
    world.run(3s);
    BOOST_REQUIRE(world.failure(request));
    BOOST_TEST((world.failure(request)->verdict == Verdict::NotRun));
    BOOST_TEST(world.startsOf(id).empty());
    world.checkInvariants();
}

// Guards against interrupted requests, lost answers and late starts when a VM drains and leaves.
BOOST_AUTO_TEST_CASE(leavingVmHandsOverItsAnswers)
{
    TwoDataCentres world;
    world.servers[0].runTime = 300ms;
    const SubmissionId finished = world.open(0);
    world.submit(0, finished, {"a"});
    world.run(500ms);
    const SubmissionId running = world.open(0);
    const SubmissionId unused = world.open(0);
    const uint64_t request = world.submit(0, running, {"b"});
    world.run(10ms);
    world.drain(0, "vm1");
    const uint64_t refused = world.submit(0, unused, {"c"});
    world.run(3s);
    BOOST_TEST(world.answer(request));
    BOOST_TEST(world.drainsFinished == 1u);
    BOOST_TEST(world.wasLastDrainOrderly);
    BOOST_TEST((world.failure(refused)->code == ErrorCode::Draining));
    BOOST_TEST((world.failure(refused)->verdict == Verdict::NotRun));
    const uint64_t again = world.submit(2, finished, {"a"});
    const uint64_t atSuccessor = world.submit(1, running, {"b"});
    const uint64_t never = world.submit(2, unused, {"c"});
    world.run(1s);
    BOOST_TEST(world.answer(again));
    BOOST_TEST(world.answer(atSuccessor));
    BOOST_REQUIRE(world.failure(never));
    BOOST_TEST((world.failure(never)->verdict == Verdict::NotRun));
    BOOST_TEST(world.startsOf(finished).size() == 1u);
    world.checkInvariants();
}

// Guards against a submission that the leaving VM starts after its successor may have answered
// NotRun for the id.
BOOST_AUTO_TEST_CASE(sealedLedgerStartsNothing)
{
    TwoDataCentres world;
    const SubmissionId id = world.open(0);
    world.next(MessageKind::HandoverAck, lost);
    world.drain(0, "vm1");
    world.run(50ms);
    const uint64_t atSuccessor = world.submit(1, id, {"a"});
    const uint64_t atIssuer = world.submit(0, id, {"a"});
    world.run(3s);
    BOOST_REQUIRE(world.failure(atSuccessor));
    BOOST_TEST((world.failure(atSuccessor)->verdict == Verdict::NotRun));
    BOOST_TEST((world.failure(atIssuer)->verdict == Verdict::NotRun));
    BOOST_TEST(world.drainsFinished == 1u);
    world.checkInvariants();
    BOOST_TEST(world.startsOf(id).empty());
}

// Guards against a drain that hangs or answers with a wrong verdict after the second stop signal.
BOOST_AUTO_TEST_CASE(secondSignalEndsWithTrueVerdicts)
{
    TwoDataCentres world;
    world.servers[0].runTime = 5s;
    const SubmissionId running = world.open(0);
    const uint64_t first = world.submit(0, running, {"a"}, false, 20s);
    std::vector<std::string> many(50, "x");
    const SubmissionId job = world.open(0);
    const uint64_t second = world.submit(0, job, many, false, 20s);
    world.run(50ms);
    world.drain(0, "vm1");
    world.run(100ms);
    BOOST_TEST(!world.failure(first));
    world.drain(0, "vm1");
    world.run(100ms);
    BOOST_REQUIRE(world.failure(first));
    BOOST_REQUIRE(world.failure(second));
    BOOST_TEST((world.failure(first)->verdict != Verdict::NotRun));
    BOOST_TEST((world.failure(second)->verdict != Verdict::NotRun));
    BOOST_TEST(!world.wasLastDrainOrderly);
    world.checkInvariants();
}

// Guards against a drain that never ends because a task hangs.
BOOST_AUTO_TEST_CASE(drainEndsAtItsDeadline)
{
    TwoDataCentres world;
    world.servers[0].runTime = 300s;
    const uint64_t request = world.submit(0, world.open(0), {"a"}, false, 50s);
    world.run(50ms);
    world.drain(0, "");
    world.run(31s);
    BOOST_TEST(world.drainsFinished == 1u);
    BOOST_REQUIRE(world.failure(request));
    BOOST_TEST((world.failure(request)->verdict != Verdict::NotRun));
}

// Guards against an old incarnation that keeps starting tasks while its replacement runs.
BOOST_AUTO_TEST_CASE(fencedVmStartsNothing)
{
    TwoDataCentres world;
    world.servers[0].runTime = 1s;
    const uint64_t running = world.submit(0, world.open(0), {"a"});
    const SubmissionId job = world.open(0);
    const uint64_t queued = world.submit(0, job, std::vector<std::string>(30, "x"));
    const SubmissionId later = world.open(0);
    world.run(50ms);
    world.deliver(0, world.vms[0].self.incarnation, FenceRequested {});
    const size_t started = world.starts.size();
    const uint64_t refused = world.submit(0, later, {"b"});
    world.run(3s);
    BOOST_TEST(world.answer(running));
    BOOST_REQUIRE(world.failure(queued));
    BOOST_TEST((world.failure(queued)->code == ErrorCode::Fenced));
    BOOST_TEST((world.failure(refused)->verdict == Verdict::NotRun));
    BOOST_TEST(world.starts.size() == started);
    world.checkInvariants();
}

namespace {

LendReceived lendOf(const SubmissionId &id, Time expiry)
{
    LentTask task {{id, 0, 0}, {}, std::make_shared<const std::string>("x")};
    task.need.workClass = "screen";
    task.need.owner = "team";
    task.need.deadline = expiry;
    return {"vm1", 1, 0, expiry, {task}};
}

// VM 1 has no server of its own, so its tasks are lent to VM 0.
struct LendWorld : TwoDataCentres
{
    LendWorld()
    {
        partition("vm1", "vm2");
        run(3s); // until the advertised capacity of vm2 has expired
        submit(1, open(1), {"warm"});
        run(500ms);
        starts.clear();
        messages.clear();
    }
};

} // namespace

// Guards against a fenced VM that starts tasks lent by other VMs.
BOOST_AUTO_TEST_CASE(fencedVmBorrowsNothing)
{
    LendWorld world;
    const uint64_t incarnation = world.vms[0].self.incarnation;
    const SubmissionId id {"dc1", "vm1", 9, 1};
    world.deliver(0, incarnation, FenceRequested {});
    world.deliver(0, incarnation, lendOf(id, world.now + 1s));
    world.run(1s);
    BOOST_TEST(world.startsOf(id).empty());
    BOOST_TEST(world.count(MessageKind::Start) == 0u);
}

// Guards against a start message for a task that was stopped before the message was sent.
BOOST_AUTO_TEST_CASE(taskStoppedInTheSameBatchIsNotSent)
{
    LendWorld world;
    const SubmissionId id {"dc1", "vm1", 9, 1};
    Dispatcher &borrower = *world.vms[0].dispatcher;
    borrower.handle(lendOf(id, world.now + 1s), world.now);
    borrower.handle(LendInquiryReceived {"vm1", 2, {{id, 0, 0}}, true}, world.now);
    world.deliver(0, world.vms[0].self.incarnation, Tick {});
    world.run(1s);
    BOOST_TEST(world.startsOf(id).empty());
    BOOST_TEST(world.count(MessageKind::Start) == 0u);
}

// Guards against a start by the first event after a pause, before the pause is detected. The server
// may have begun to leave during the pause.
BOOST_AUTO_TEST_CASE(firstEventAfterPauseStartsNothing)
{
    LendWorld world;
    const SubmissionId id {"dc1", "vm1", 9, 1};
    world.pauseVm(0);
    world.markLeaving(0);
    world.run(5s);
    world.vms[0].inbox.assign(1, lendOf(id, world.now + 1s));
    world.resumeVm(0);
    world.checkInvariants();
    BOOST_TEST(world.startsOf(id).empty());
}

// Guards against lent tasks that are lost or run twice in the absence of faults.
BOOST_AUTO_TEST_CASE(workIsLentToAPeer)
{
    LendWorld world;
    const SubmissionId id = world.open(1);
    const uint64_t request = world.submit(1, id, {"a", "b", "c"});
    world.run(2s);
    BOOST_TEST(world.answer(request));
    BOOST_TEST(world.count(MessageKind::Lend) >= 1u);
    BOOST_TEST(world.startsOf(id).size() == 3u);
    world.checkInvariants();
}

// Guards against a delayed lend message whose task is started after an inquiry made the lender
// place the task elsewhere.
BOOST_AUTO_TEST_CASE(delayedLendIsRefusedByTombstone)
{
    LendWorld world;
    world.servers[0].runTime = 2s;
    world.next(MessageKind::Lend, {.delay = 900ms});
    const SubmissionId id = world.open(1);
    const uint64_t request = world.submit(1, id, {"a"}, false, 10s);
    world.run(50ms);
    world.deliver(1, world.vms[1].self.incarnation, LendLost {"vm0", world.lastLendExchange, true});
    world.run(8s);
    BOOST_TEST(world.answer(request));
    BOOST_TEST(world.startsOf(id).size() == 1u);
    world.checkInvariants();
}

// Guards against lent tasks that never finish because a message about them was lost.
BOOST_AUTO_TEST_CASE(lostLendMessagesAreInquiredAbout)
{
    for (const MessageKind kind :
         {MessageKind::Lend, MessageKind::LendReply, MessageKind::LendResult}) {
        LendWorld world;
        world.next(kind, lost);
        const SubmissionId id = world.open(1);
        const uint64_t request = world.submit(1, id, {"a"}, false, 10s);
        world.run(5s);
        BOOST_TEST(world.answer(request));
        BOOST_TEST(world.startsOf(id).size() == 1u);
        // If only the reply is lost, the result message tells how the task ended.
        if (kind != MessageKind::LendReply)
            BOOST_TEST(world.count(MessageKind::LendInquiry) >= 1u);
        world.checkInvariants();
    }
}

// Guards against a lent task that is started after its lend message has expired and the caller was
// told that the cancellation is confirmed.
BOOST_AUTO_TEST_CASE(expiredLendIsRefused)
{
    LendWorld world;
    world.next(MessageKind::Lend, {.delay = 2500ms});
    const SubmissionId id = world.open(1);
    world.submit(1, id, {"a"}, false, 10s);
    world.run(5ms);
    world.partition("vm0", "vm1");
    const uint64_t cancelled = world.cancel(1, id);
    world.run(2100ms);
    BOOST_REQUIRE(world.failure(cancelled));
    BOOST_TEST((world.failure(cancelled)->verdict == Verdict::MayHaveRun));
    world.checkInvariants();
    BOOST_TEST(world.startsOf(id).empty());
    // The borrower must refuse the task itself instead of relying on its backend server.
    BOOST_TEST(world.count(MessageKind::Start) == 0u);
}

// Guards against the verdict NotRun for a lent task whose borrower crashed.
BOOST_AUTO_TEST_CASE(crashedBorrowerProvesNothing)
{
    LendWorld world;
    world.servers[0].runTime = 1s;
    const SubmissionId id = world.open(1);
    const uint64_t request = world.submit(1, id, {"a"}, false, 8s);
    world.run(100ms);
    world.crashVm(0);
    world.run(500ms);
    world.startVm(0);
    world.run(8s);
    BOOST_REQUIRE(world.failure(request));
    BOOST_TEST((world.failure(request)->verdict == Verdict::MayHaveRun));
    BOOST_TEST(world.startsOf(id).size() == 1u);
    world.checkInvariants();
}

// Guards against a lent task that keeps running after its cancellation was confirmed.
BOOST_AUTO_TEST_CASE(lentWorkIsStopped)
{
    LendWorld world;
    world.servers[0].runTime = 3s;
    const SubmissionId id = world.open(1);
    world.submit(1, id, {"a"}, false, 8s);
    world.run(100ms);
    const uint64_t cancelled = world.cancel(1, id);
    world.run(1500ms);
    BOOST_REQUIRE(world.failure(cancelled));
    BOOST_TEST((world.failure(cancelled)->verdict == Verdict::Ran));
    BOOST_TEST((world.startsOf(id).front().end == RunEnd::Stopped));
    world.checkInvariants();
}
