#define BOOST_TEST_MODULE admission_queue
#include "lovage/admission.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using namespace std::chrono_literals;

namespace {

constexpr Time start {std::chrono::seconds(1000)};

QueuedTask taskOf(uint64_t submission, const std::string &owner, Duration untilDeadline,
                  const std::string &workClass = "screen")
{
    QueuedTask task;
    task.submission = submission;
    task.need.owner = owner;
    task.need.workClass = workClass;
    task.need.deadline = start + untilDeadline;
    return task;
}

bool tryPush(FairQueue &queue, const QueuedTask &task, Time now = start)
{
    return queue.push(task.need.owner, task, now).has_value();
}

ErrorCode codeOf(const Result<void> &result)
{
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().verdict == Verdict::NotRun));
    return result.error().code;
}

AdmissionOptions admissionOptions()
{
    AdmissionOptions options;
    options.quota.vm = "vm-0";
    options.quota.configuredVms = {"vm-0"};
    options.quota.incarnation = 1;
    return options;
}

} // namespace

// Guards against starting a task before another task of the same owner with an earlier deadline.
BOOST_AUTO_TEST_CASE(earliestDeadlineFirstWithinAnOwner)
{
    FairQueue queue;
    const std::vector<int> deadlines = {50, 20, 90, 20, 70};
    for (size_t i = 0; i < deadlines.size(); ++i)
        BOOST_TEST(tryPush(queue, taskOf(i + 1, "a", 1s * deadlines[i])));
    std::vector<uint64_t> order;
    while (const auto task = queue.pop(start))
        order.push_back(task->submission);
    BOOST_TEST((order == std::vector<uint64_t> {2, 4, 1, 5, 3}));
}

// Guards against an owner whose large backlog starves other owners.
BOOST_AUTO_TEST_CASE(ownersAreServedByWeight)
{
    FairQueue queue;
    queue.setOwner("flood", 100, 0);
    queue.setOwner("double", 200, 0);
    queue.setOwner("small", 100, 0);
    for (uint64_t i = 1; i <= 6000; ++i)
        tryPush(queue, taskOf(i, "flood", 100s));
    for (uint64_t i = 6001; i <= 7000; ++i) {
        tryPush(queue, taskOf(i, "double", 200s));
        tryPush(queue, taskOf(i + 1000, "small", 200s));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 800; ++i)
        ++served[queue.pop(start)->need.owner];
    BOOST_TEST(served["flood"] <= 205);
    BOOST_TEST(served["small"] >= 195);
    BOOST_TEST(served["double"] >= 390);
}

// Guards against starvation and wrong counts under random pushes, pops, requeues and cancellations.
BOOST_AUTO_TEST_CASE(randomOperationsKeepCountsAndStarveNoOwner)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Random random(seed);
        FairQueue queue;
        std::map<uint64_t, size_t> queued;
        std::set<uint64_t> cancelled;
        std::map<std::string, int> popsSinceServed;
        uint64_t next = 1;
        size_t total = 0;
        for (int step = 0; step < 6000; ++step) {
            const uint64_t action = random.below(10);
            if (action < 5) {
                const std::string owner = "owner-" + std::to_string(random.below(7));
                const uint64_t submission = next++;
                const size_t tasks = 1 + random.below(4);
                const std::string workClass = random.below(2) ? "screen" : "vet";
                for (size_t i = 0; i < tasks; ++i)
                    tryPush(queue,
                            taskOf(submission, owner, 1s * (1 + random.below(99)), workClass));
                queued[submission] = tasks;
                total += tasks;
            } else if (action < 6 && !queued.empty()) {
                const auto chosen = queued.lower_bound(random.below(queued.rbegin()->first + 1));
                BOOST_REQUIRE_MESSAGE(queue.cancel(chosen->first) == chosen->second,
                                      "seed " << seed);
                BOOST_REQUIRE(queue.cancel(chosen->first) == 0);
                total -= chosen->second;
                cancelled.insert(chosen->first);
                queued.erase(chosen);
            } else if (const auto task = queue.pop(start)) {
                const uint64_t submission = task->submission;
                BOOST_REQUIRE_MESSAGE(!cancelled.contains(submission), "seed " << seed);
                if (random.below(4) == 0) {
                    queue.requeue(*task);
                    continue;
                }
                if (--queued[submission] == 0)
                    queued.erase(submission);
                --total;
                for (auto &[owner, count] : popsSinceServed)
                    count = queue.size(owner) > 0 ? count + 1 : 0;
                popsSinceServed[task->need.owner] = 0;
                for (const auto &[owner, count] : popsSinceServed)
                    BOOST_REQUIRE_MESSAGE(count <= 14, "seed " << seed << " starves " << owner);
            }
            BOOST_REQUIRE_MESSAGE(queue.size() == total, "seed " << seed << " step " << step);
        }
    }
}

// Guards against a task that loses its place in the queue, or an owner that loses its turn, because
// no server was free for the popped task.
BOOST_AUTO_TEST_CASE(requeueKeepsPlaceAndTurn)
{
    FairQueue queue;
    for (uint64_t i = 1; i <= 4; ++i) {
        tryPush(queue, taskOf(i, "a", 10s));
        tryPush(queue, taskOf(i + 10, "b", 10s));
    }
    std::vector<uint64_t> order;
    for (int i = 0; i < 8; ++i) {
        auto task = queue.pop(start);
        queue.requeue(std::move(*task));
        order.push_back(queue.pop(start)->submission);
    }
    BOOST_TEST((order == std::vector<uint64_t> {1, 11, 2, 12, 3, 13, 4, 14}));
}

// Guards against a class without a free server, or an owner at its limit, that blocks all tasks
// behind it.
BOOST_AUTO_TEST_CASE(heldClassesAndOwnersDoNotBlockOthers)
{
    FairQueue queue;
    tryPush(queue, taskOf(1, "a", 1s, "vet"));
    tryPush(queue, taskOf(2, "a", 9s, "screen"));
    tryPush(queue, taskOf(3, "b", 9s, "vet"));
    tryPush(queue, taskOf(4, "c", 9s, "screen"));
    queue.holdClass("vet");
    queue.holdOwner("c");
    BOOST_TEST(queue.pop(start)->submission == 2U);
    BOOST_TEST(!queue.pop(start));
    BOOST_TEST(queue.size() == 3U);
    queue.clearHolds();
    BOOST_TEST(queue.pop(start)->submission == 1U);
}

// Guards against cancellations whose cost grows with the number of tasks, tasks that start after a
// confirmed cancellation, and cancelled tasks that stay in memory.
BOOST_AUTO_TEST_CASE(massCancellationDropsExactlyTheCancelledTasks)
{
    FairQueue queue;
    for (uint64_t i = 1; i <= 50'000; ++i)
        tryPush(queue, taskOf(i, "a", 100s + Duration(i % 977)));
    size_t dropped = 0;
    for (uint64_t i = 1; i <= 50'000; i += 2)
        dropped += queue.cancel(i);
    BOOST_TEST(dropped == 25'000U);
    BOOST_TEST(queue.size() == 25'000U);
    size_t popped = 0;
    while (const auto task = queue.pop(start)) {
        BOOST_REQUIRE(task->submission % 2 == 0);
        ++popped;
    }
    BOOST_TEST(popped == 25'000U);
}

// Guards against a queue that grows beyond its capacity or the limit of an owner.
BOOST_AUTO_TEST_CASE(queueIsBounded)
{
    FairQueue queue(FairQueueOptions {5});
    queue.setOwner("a", 1, 3);
    for (uint64_t i = 1; i <= 3; ++i)
        BOOST_TEST(tryPush(queue, taskOf(i, "a", 10s)));
    BOOST_TEST((codeOf(queue.push("a", taskOf(4, "a", 10s), start)) == ErrorCode::QueueFull));
    BOOST_TEST(tryPush(queue, taskOf(5, "b", 10s)));
    BOOST_TEST(tryPush(queue, taskOf(6, "b", 10s)));
    BOOST_TEST((codeOf(queue.push("b", taskOf(7, "b", 10s), start)) == ErrorCode::QueueFull));
    queue.cancel(5);
    BOOST_TEST(tryPush(queue, taskOf(8, "b", 10s)));
}

// Guards against accepting tasks that cannot meet their deadline and would fail only when it
// passes.
BOOST_AUTO_TEST_CASE(unreachableDeadlinesAreRefusedEarly)
{
    FairQueue queue;
    queue.setServiceRate(100);
    for (uint64_t i = 1; i <= 200; ++i)
        BOOST_TEST(tryPush(queue, taskOf(i, "a", 10s)));
    BOOST_TEST((codeOf(queue.push("a", taskOf(900, "a", 1s), start))
                == ErrorCode::DeadlineUnreachable));
    BOOST_TEST((codeOf(queue.push("a", taskOf(901, "a", 0s), start)) == ErrorCode::PastDeadline));
    // Another owner has its own share of the rate.
    BOOST_TEST(tryPush(queue, taskOf(902, "b", 1s)));
}

// Guards against a burst of ten times the usual arrival rate that makes admitted tasks miss their
// deadlines, and against refusing tasks long after the burst.
BOOST_AUTO_TEST_CASE(burstIsShedAndAdmittedWorkMeetsItsDeadline)
{
    Admission admission(admissionOptions(), start);
    admission.queue().setServiceRate(500);
    Time now = start;
    std::map<uint64_t, Time> deadlines;
    uint64_t next = 1;
    size_t late = 0;
    size_t refusedAfter = 0;
    size_t refusedInBurst = 0;
    double credit = 0;
    double arrivals = 0;
    for (int step = 0; step < 12'000; ++step) {
        now += 1ms;
        const bool burst = step >= 2000 && step < 4000;
        arrivals += burst ? 3.5 : 0.35;
        for (; arrivals >= 1; arrivals -= 1) {
            const uint64_t submission = next++;
            const Time deadline = now + 1500ms;
            if (!admission.admit("a", 1, 200ms, deadline, now)) {
                refusedInBurst += burst;
                refusedAfter += step >= 6000;
                continue;
            }
            QueuedTask task = taskOf(submission, "a", 0s);
            task.need.deadline = deadline;
            BOOST_REQUIRE(admission.queue().push("a", task, now).has_value());
            deadlines[submission] = deadline;
        }
        // The servers are 6% slower than the rate passed to setServiceRate().
        for (credit = std::min(credit + 0.47, 2.0); credit >= 1; credit -= 1) {
            if (const auto task = admission.queue().pop(now))
                late += now + 200ms > deadlines[task->submission];
        }
    }
    BOOST_TEST(late == 0U);
    BOOST_TEST(refusedInBurst > 4000U);
    BOOST_TEST(refusedAfter == 0U);
}

// Guards against limits of an owner that are not applied to a submission as a whole, so that a part
// of it is queued.
BOOST_AUTO_TEST_CASE(admissionAppliesTheLimitsOfTheOwner)
{
    Admission admission(admissionOptions(), start - 10s);
    admission.setLimits("a", {100, 2, 50, 40, 10}, start - 10s);
    const auto admit = [&](size_t tasks, Duration left) {
        return admission.admit("a", tasks, 100ms, start + left, start);
    };
    BOOST_TEST((codeOf(admit(41, 10s)) == ErrorCode::TooManyTasks));
    BOOST_TEST((codeOf(admit(1, 0s)) == ErrorCode::PastDeadline));
    BOOST_TEST((codeOf(admit(30, 200ms)) == ErrorCode::QuotaExceeded));
    BOOST_TEST(admit(40, 10s).has_value());
    for (uint32_t i = 0; i < 40; ++i)
        tryPush(admission.queue(), taskOf(1, "a", 10s));
    BOOST_TEST((codeOf(admit(11, 10s)) == ErrorCode::QueueFull));
    BOOST_TEST(admission.tryStart("a", start));
    BOOST_TEST(admission.tryStart("a", start));
    BOOST_TEST(!admission.tryStart("a", start));
    admission.finished("a");
    BOOST_TEST(admission.tryStart("a", start));
    admission.undoStart("a", start);
    BOOST_TEST(admission.running("a") == 1U);
}

// Guards against retries that multiply the load when all tasks fail.
BOOST_AUTO_TEST_CASE(retriesStayWithinTheBudget)
{
    RetryBudget budget;
    budget.setPercent("a", 10);
    BOOST_TEST(!budget.tryRetry("a"));
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.started("a");
        retries += budget.tryRetry("a");
    }
    BOOST_TEST(retries == 100);
    BOOST_TEST(!budget.tryRetry("unknown"));
    budget.started("a", 1'000'000);
    retries = 0;
    while (budget.tryRetry("a"))
        ++retries;
    BOOST_TEST(retries == 100);
}
