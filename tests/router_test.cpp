// Tests of the selection of pools for jobs, the division of jobs, and the answers to callers.
#define BOOST_TEST_MODULE router
#include "lovage/routing.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint32_t taskMilliCores = 14000;

struct RouterFixture
{
    Time now = fromUnixMillis(1'700'000'000'000);
    VmTable table {{}, {"vm1", "dc1", "10.0.0.1:7000", 1}};
    Router router {{}, table};

    void report(const std::string &vm, const std::string &dataCentre, uint32_t freeTasks,
                double queuedWork = 0, bool isDraining = false, uint64_t incarnation = 1)
    {
        VmReport report;
        report.vm = {vm, dataCentre, "10.0.0.2:7000", incarnation};
        report.isHolder = true;
        report.isDraining = isDraining;
        report.loads.push_back(
                {"work", 10, uint64_t {freeTasks} * taskMilliCores, queuedWork, 300});
        table.addReport(report, now);
    }

    static JobOffer makeOffer(uint32_t count)
    {
        JobOffer offer;
        offer.job.id = "job1";
        Step step;
        step.count = count;
        step.demand = {taskMilliCores, 0, 0};
        step.estimate = milliseconds(100);
        offer.job.steps.push_back(step);
        offer.service = "work";
        offer.deadline = milliseconds(1500);
        return offer;
    }

    std::vector<SendOffer> offers;
    std::vector<SendWithdraw> withdrawals;
    std::vector<Respond> responses;

    void collect()
    {
        for (RouterAction &action : router.takeActions()) {
            if (auto *offer = std::get_if<SendOffer>(&action))
                offers.push_back(*offer);
            else if (auto *withdrawal = std::get_if<SendWithdraw>(&action))
                withdrawals.push_back(*withdrawal);
            else
                responses.push_back(std::get<Respond>(action));
        }
    }
    void submit(uint32_t count)
    {
        router.submit(1, makeOffer(count), now, now);
        collect();
    }
    void answer(const SendOffer &offer, JobResult result)
    {
        router.onAnswer(offer.vm, {offer.offer.ticket, result, "", milliseconds(500)}, now);
        collect();
    }
};

} // namespace

// Guards against unnecessary traffic between data centres.
BOOST_FIXTURE_TEST_CASE(local_pool_with_free_capacity_is_preferred, RouterFixture)
{
    report("near", "dc1", 8);
    report("far", "dc2", 30);
    submit(4);
    BOOST_REQUIRE_EQUAL(offers.size(), 1U);
    BOOST_TEST(offers[0].vm == "near");
    answer(offers[0], JobResult::Completed);
    BOOST_REQUIRE_EQUAL(responses.size(), 1U);
    BOOST_TEST((responses[0].answer.result == JobResult::Completed));
}

// Guards against offers to a pool whose VM is behind its input: the answer would come late.
BOOST_FIXTURE_TEST_CASE(pool_that_is_behind_is_avoided, RouterFixture)
{
    report("near", "dc1", 8);
    report("far", "dc2", 8);
    table.updateLoads("near",
                      {{"work", 10, uint64_t {8} * taskMilliCores, 0, 300, milliseconds(90)}});
    submit(4);
    BOOST_REQUIRE_EQUAL(offers.size(), 1U);
    BOOST_TEST(offers[0].vm == "far");
    BOOST_REQUIRE(offers[0].offer.timing.has_value());
    BOOST_TEST((offers[0].offer.timing->offeredAt <= now));
    BOOST_TEST((offers[0].offer.timing->answerWithin == milliseconds(250)));
}

// Guards against refusing a job while another pool has free capacity.
BOOST_FIXTURE_TEST_CASE(refused_job_is_offered_to_the_next_pool, RouterFixture)
{
    report("near", "dc1", 8);
    report("far", "dc2", 8);
    submit(4);
    answer(offers[0], JobResult::Refused);
    BOOST_REQUIRE_EQUAL(offers.size(), 2U);
    BOOST_TEST(offers[1].vm == "far");
    answer(offers[1], JobResult::Refused);
    BOOST_REQUIRE_EQUAL(responses.size(), 1U);
    BOOST_TEST((responses[0].answer.result == JobResult::Refused));
    BOOST_TEST(responses[0].answer.retryAfter.count() > 0);
}

// Guards against refusing a job that needs more than the free capacity of any single pool, and
// against offering a task twice or not at all when the job is divided.
BOOST_FIXTURE_TEST_CASE(wide_job_is_divided_and_every_task_is_offered_once, RouterFixture)
{
    report("near", "dc1", 5);
    report("far", "dc2", 9);
    report("farther", "dc3", 2);
    submit(14);
    BOOST_REQUIRE_GE(offers.size(), 2U);
    std::vector<uint32_t> seen(14);
    for (const SendOffer &offer : offers) {
        for (uint32_t i = 0; i < offer.offer.job.steps.front().count; ++i)
            ++seen.at(offer.offer.firstIndex + i);
    }
    BOOST_TEST(seen == std::vector<uint32_t>(14, 1), boost::test_tools::per_element());
    for (size_t i = 0; i + 1 < offers.size(); ++i)
        answer(offers[i], JobResult::Completed);
    BOOST_TEST(responses.empty());
    answer(offers.back(), JobResult::Completed);
    BOOST_REQUIRE_EQUAL(responses.size(), 1U);
    BOOST_TEST((responses[0].answer.result == JobResult::Completed));
}

// Guards against answering "not run" for a job of which some part has started, and "may have run"
// for one of which no part has.
BOOST_FIXTURE_TEST_CASE(result_of_a_divided_job_waits_for_every_part, RouterFixture)
{
    for (const JobResult other : {JobResult::Refused, JobResult::Abandoned}) {
        offers.clear();
        responses.clear();
        withdrawals.clear();
        report("near", "dc1", 5);
        report("far", "dc2", 9);
        submit(14);
        BOOST_REQUIRE_EQUAL(offers.size(), 2U);
        const SendOffer first = offers[0];
        const SendOffer second = offers[1];
        answer(first, JobResult::Refused); // the part is offered to the other pool
        answer(offers.back(), JobResult::Refused);
        BOOST_REQUIRE_EQUAL(withdrawals.size(), 1U);
        BOOST_TEST(withdrawals[0].vm == second.vm);
        BOOST_TEST(responses.empty());
        answer(second, other);
        BOOST_REQUIRE_EQUAL(responses.size(), 1U);
        BOOST_TEST((responses[0].answer.result == other));
    }
}

// Guards against placing a large job in a single pool that has fast servers for only a few of its
// tasks, while other pools have fast servers free as well.
BOOST_FIXTURE_TEST_CASE(job_is_divided_by_tasks_that_pools_run_with_margin, RouterFixture)
{
    report("near", "dc1", 8);
    report("far", "dc2", 8);
    submit(6);
    const uint32_t couldRun = 6;
    const uint32_t surelyRun = 2;
    for (size_t i = 0; i < 2; ++i) {
        router.onAnswer(offers[i].vm,
                        {offers[i].offer.ticket, JobResult::Refused, "", milliseconds(500),
                         couldRun, surelyRun, true},
                        now);
        collect();
    }
    BOOST_REQUIRE_EQUAL(offers.size(), 4U);
    uint32_t tasks = 0;
    for (size_t i = 2; i < 4; ++i) {
        const uint32_t count = offers[i].offer.job.steps.front().count;
        BOOST_TEST(count >= surelyRun);
        // Without the mark of a last offer, the pool would again refuse tasks without margin.
        BOOST_TEST(offers[i].offer.isLastOffer == (count > surelyRun));
        tasks += count;
    }
    BOOST_TEST(tasks == 6U);
    BOOST_TEST(offers[2].vm != offers[3].vm);
}

// Guards against refusing a job that no single pool can run in time but several pools together can.
BOOST_FIXTURE_TEST_CASE(refused_job_is_divided_by_what_pools_could_run, RouterFixture)
{
    report("near", "dc1", 8);
    report("far", "dc2", 8);
    submit(6);
    for (size_t i = 0; i < 2; ++i) {
        router.onAnswer(offers[i].vm,
                        {offers[i].offer.ticket, JobResult::Refused, "", milliseconds(500), 4},
                        now);
        collect();
    }
    BOOST_REQUIRE_EQUAL(offers.size(), 4U);
    BOOST_TEST(offers[2].offer.job.steps.front().count + offers[3].offer.job.steps.front().count
               == 6U);
    BOOST_TEST(offers[2].vm != offers[3].vm);
    answer(offers[2], JobResult::Completed);
    answer(offers[3], JobResult::Completed);
    BOOST_REQUIRE_EQUAL(responses.size(), 1U);
    BOOST_TEST((responses[0].answer.result == JobResult::Completed));
}

// Guards against running tasks a second time elsewhere while a lost pool may still run them.
BOOST_FIXTURE_TEST_CASE(job_of_a_lost_vm_is_abandoned, RouterFixture)
{
    report("near", "dc1", 8);
    report("far", "dc2", 8);
    submit(4);
    router.onVmLost("near", now);
    collect();
    BOOST_TEST(offers.size() == 1U);
    BOOST_REQUIRE_EQUAL(responses.size(), 1U);
    BOOST_TEST((responses[0].answer.result == JobResult::Abandoned));
}

// Guards against abandoning a job whose offer is known not to have reached the pool.
BOOST_FIXTURE_TEST_CASE(unsent_offer_goes_to_another_pool, RouterFixture)
{
    report("near", "dc1", 8);
    report("far", "dc2", 8);
    submit(4);
    router.onOfferUnsent("near", offers[0].offer.ticket, now);
    collect();
    BOOST_REQUIRE_EQUAL(offers.size(), 2U);
    BOOST_TEST(offers[1].vm == "far");
}

// Guards against accepting a late answer from a pool that has already refused the job.
BOOST_FIXTURE_TEST_CASE(late_answer_of_another_vm_is_ignored, RouterFixture)
{
    report("near", "dc1", 8);
    report("far", "dc2", 8);
    submit(4);
    answer(offers[0], JobResult::Refused);
    answer(offers[0], JobResult::Completed);
    BOOST_TEST(responses.empty());
}

// Guards against offering jobs to VMs that are draining or have stopped reporting.
BOOST_FIXTURE_TEST_CASE(draining_and_unreachable_vms_get_no_jobs, RouterFixture)
{
    report("near", "dc1", 8, 0, true);
    report("far", "dc2", 8);
    now += milliseconds(400);
    submit(4);
    BOOST_TEST(offers.empty());
    BOOST_REQUIRE_EQUAL(responses.size(), 1U);
    BOOST_TEST((responses[0].answer.result == JobResult::Refused));
}

// Guards against refusals by a VM that has just started and has not yet received reports of pools.
BOOST_FIXTURE_TEST_CASE(job_waits_for_a_pool_after_the_start, RouterFixture)
{
    router.waitForPoolsUntil(now + milliseconds(1000));
    submit(4);
    BOOST_TEST(responses.empty());
    now += milliseconds(300);
    report("near", "dc1", 8);
    router.tick(now);
    collect();
    BOOST_REQUIRE_EQUAL(offers.size(), 1U);
    BOOST_TEST((offers[0].offer.elapsed == milliseconds(300)));
    answer(offers[0], JobResult::Completed);
    router.submit(2, makeOffer(4), now, now);
    router.withdraw(2, now);
    BOOST_TEST(router.openCount() == 0U);
}

// Guards against jobs that wait beyond the startup phase although no pool has reported.
BOOST_FIXTURE_TEST_CASE(job_is_refused_when_no_pool_reports_after_the_start, RouterFixture)
{
    router.waitForPoolsUntil(now + milliseconds(1000));
    submit(4);
    now += milliseconds(1000);
    router.tick(now);
    collect();
    BOOST_REQUIRE_EQUAL(responses.size(), 1U);
    BOOST_TEST((responses[0].answer.result == JobResult::Refused));
}

// Guards against tasks that keep running after their caller has disconnected.
BOOST_FIXTURE_TEST_CASE(withdrawal_reaches_the_pool, RouterFixture)
{
    report("near", "dc1", 8);
    submit(4);
    router.withdraw(1, now);
    collect();
    BOOST_REQUIRE_EQUAL(withdrawals.size(), 1U);
    BOOST_TEST(withdrawals[0].vm == "near");
    BOOST_TEST(router.openCount() == 0U);
}

// Guards against callers that wait indefinitely for a pool that does not answer.
BOOST_FIXTURE_TEST_CASE(job_without_answer_ends_at_its_deadline, RouterFixture)
{
    report("near", "dc1", 8);
    submit(4);
    now += milliseconds(1501);
    router.tick(now);
    collect();
    BOOST_REQUIRE_EQUAL(responses.size(), 1U);
    BOOST_TEST((responses[0].answer.result == JobResult::Abandoned));
}

// Guards against accepting a late report of an earlier incarnation, and against missing a restart.
BOOST_FIXTURE_TEST_CASE(reports_of_earlier_incarnations_are_ignored, RouterFixture)
{
    VmReport first;
    first.vm = {"vm2", "dc1", "10.0.0.2:7000", 5};
    BOOST_TEST((table.addReport(first, now) == VmTable::ReportResult::New));
    VmReport second = first;
    second.vm.incarnation = 6;
    BOOST_TEST((table.addReport(second, now) == VmTable::ReportResult::Restarted));
    BOOST_TEST((table.addReport(first, now) == VmTable::ReportResult::Stale));
    BOOST_TEST(table.find("vm2")->report.vm.incarnation == 6U);
}

// Guards against offering a job again and again to a pool that could run it in time but refuses it,
// because it would delay other jobs. The pool on the VM itself answers at once, so the VM would
// hang.
BOOST_FIXTURE_TEST_CASE(pool_that_could_run_the_job_but_refuses_is_not_asked_forever, RouterFixture)
{
    constexpr size_t maxOffers = 10;
    report("near", "dc1", 8);
    submit(4);
    for (size_t offer = 0; offer < offers.size() && offer < maxOffers; ++offer) {
        JobAnswer answer {offers[offer].offer.ticket, JobResult::Refused, "backlog", {}};
        answer.couldRun = 4;
        answer.couldRunWithMargin = 4;
        router.onAnswer("near", answer, now);
        collect();
    }
    BOOST_TEST(offers.size() < maxOffers);
    BOOST_TEST(responses.size() == 1U);
}

// Guards against a job that is refused because the pools of evacuated data centres use up its
// offers, or because a router offers work to a data centre that it knows to be evacuated.
BOOST_FIXTURE_TEST_CASE(refusals_by_evacuated_data_centres_do_not_count, RouterFixture)
{
    for (int vm = 0; vm < 6; ++vm)
        report("evacuated" + std::to_string(vm), "dc1", 8);
    report("known", "dc2", 8);
    report("far", "dc3", 8);
    report("farther", "dc4", 8);
    table.setEvacuated({"dc2"});
    submit(4);
    for (size_t i = 0; i < 6; ++i) {
        BOOST_REQUIRE_EQUAL(offers.size(), i + 1);
        BOOST_TEST(offers[i].vm.starts_with("evacuated"));
        JobAnswer answer {offers[i].offer.ticket, JobResult::Refused, "evacuated"};
        answer.isEvacuated = true;
        router.onAnswer(offers[i].vm, answer, now);
        collect();
    }
    BOOST_REQUIRE_EQUAL(offers.size(), 7U);
    answer(offers[6], JobResult::Refused);
    BOOST_REQUIRE_EQUAL(offers.size(), 8U);
    const std::set<std::string> last {offers[6].vm, offers[7].vm};
    BOOST_TEST((last == std::set<std::string> {"far", "farther"}));
    answer(offers[7], JobResult::Completed);
    BOOST_REQUIRE_EQUAL(responses.size(), 1U);
}

// Lets the time pass within which the pools must answer, without an answer.
struct UnansweredFixture : RouterFixture
{
    void passAnswerTime()
    {
        now += milliseconds(310); // 250 ms, the time of the reply, and a tick
        report("near", "dc1", 8);
        report("far", "dc2", 8);
        router.setHandledThrough(now);
        router.tick(now);
        collect();
    }
};

// Guards against callers that wait until their deadline for a pool that does not answer, and get
// "may have run" although nothing has run.
BOOST_FIXTURE_TEST_CASE(unanswered_offer_is_withdrawn_and_offered_elsewhere, UnansweredFixture)
{
    report("near", "dc1", 8);
    report("far", "dc2", 8);
    submit(4);
    const SendOffer first = offers.at(0);
    passAnswerTime();
    BOOST_REQUIRE_EQUAL(withdrawals.size(), 1U);
    BOOST_TEST((withdrawals[0].ticket == first.offer.ticket));
    BOOST_REQUIRE(withdrawals[0].origin.has_value());
    BOOST_TEST((withdrawals[0].origin->offeredAt == first.offer.timing->offeredAt));
    BOOST_TEST(offers.size() == 1U); // whether a task has run is unknown
    answer(first, JobResult::Refused);
    BOOST_REQUIRE_EQUAL(offers.size(), 2U);
    BOOST_TEST(offers[1].vm == "far");
    // The late refusal of the first offer says nothing about the second one.
    answer(first, JobResult::Refused);
    BOOST_TEST(offers.size() == 2U);
    BOOST_TEST(responses.empty());
}

// Guards against withdrawing a job that a pool has accepted, and against an acceptance of an
// earlier offer or by another incarnation that counts for this one.
BOOST_FIXTURE_TEST_CASE(accepted_offer_is_not_withdrawn, UnansweredFixture)
{
    for (const bool isAccepted : {true, false}) {
        report("near", "dc1", 8);
        submit(4);
        const SendOffer offered = offers.back();
        AcceptedMessage accepted {"near", 1, 1, 0, offered.offer.ticket.offer};
        accepted.offer += isAccepted ? 0 : 1;
        withdrawals.clear();
        router.onAccepted(accepted);
        passAnswerTime();
        BOOST_TEST(withdrawals.empty() == isAccepted);
        answer(offered, JobResult::Completed);
    }
}

// Guards against "not run" if the pool does not answer the withdrawal, or has started a task.
BOOST_FIXTURE_TEST_CASE(withdrawn_offer_of_unknown_outcome_may_have_run, UnansweredFixture)
{
    for (const bool isAnswered : {true, false}) {
        report("near", "dc1", 8);
        submit(4);
        passAnswerTime();
        if (isAnswered)
            answer(offers.back(), JobResult::Abandoned);
        now += seconds(2);
        router.tick(now);
        collect();
        BOOST_REQUIRE(!responses.empty());
        BOOST_TEST((responses.back().answer.result == JobResult::Abandoned));
        BOOST_TEST(offers.back().vm == "near");
    }
}

// Guards against withdrawing accepted jobs because this VM has not read the acceptance yet.
BOOST_FIXTURE_TEST_CASE(vm_that_is_behind_does_not_withdraw_its_offers, UnansweredFixture)
{
    report("near", "dc1", 8);
    submit(4);
    router.setInputLag(milliseconds(200));
    passAnswerTime();
    BOOST_TEST(withdrawals.empty());
}

// Guards against messages that change in encoding and decoding, against accepting truncated ones,
// and against a decoder that crashes or allocates without bound on corrupted input.
BOOST_AUTO_TEST_CASE(messages_round_trip_and_malformed_ones_are_rejected)
{
    OfferMessage offer {RouterFixture::makeOffer(7)};
    offer.offer.ticket = {"vm1", 9, 4, 2};
    Step step = offer.offer.job.steps.front();
    step.after = {0};
    step.requiredLabel = "label";
    offer.offer.job.steps.push_back(step);
    Configuration configuration {7, {{"queue", "host", "/prefix/", "work", 1, 3, 1.6}}};
    VmReport report;
    report.vm = {"vm1", "dc1", "10.0.0.1:7000", 4};
    report.loads = {{"work", 3, 5, 0.5, 9.5}};
    const std::vector<VmMessage> messages {
            report,
            offer,
            AnswerMessage {"vm2",
                           {{"vm1", 9, 4, 2}, JobResult::Refused, "backlog", milliseconds(9)},
                           report.loads},
            WithdrawMessage {{"vm1", 9, 4, 2}, OfferOrigin {5, fromUnixMillis(1'700'000'000'000)}},
            AcceptedMessage {"vm2", 9, 4, 2, 7},
            IntroductionMessage {{report.vm}},
            ConfigurationRequest {"vm1"},
            ConfigurationMessage {configuration},
            ConfigurationMessage {configuration, Evacuations {9, {"dc1", "dc2"}}},
            ConfigurationMessage {std::nullopt, Evacuations {9, {}}}};
    Random random(3);
    for (const VmMessage &message : messages) {
        const std::string bytes = encodeMessage(message);
        const auto decoded = decodeMessage(bytes);
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST((decoded.value() == message));
        for (size_t length = 0; length < bytes.size(); ++length)
            BOOST_TEST(!decodeMessage(std::string_view(bytes).substr(0, length)).has_value());
        for (int i = 0; i < 200; ++i) {
            std::string corrupted = bytes;
            corrupted[random.below(corrupted.size())] = static_cast<char>(random.next());
            (void)decodeMessage(corrupted); // must neither crash nor allocate without bound
        }
    }
}

// Guards against leases in the clock of the wrong VM and against a lease that a delayed message
// prolongs: the pool's clock is 3 s ahead, and reports take 20 ms or longer.
BOOST_FIXTURE_TEST_CASE(lease_of_an_offer_ends_by_the_clock_of_the_pool, RouterFixture)
{
    const Duration ahead = std::chrono::seconds(3);
    const auto reportAfter = [&](Duration delay) {
        VmReport report;
        report.vm = {"far", "dc2", "10.0.0.2:7000", 7};
        report.sentAt = now + ahead - delay;
        report.loads.push_back({"work", 10, uint64_t {8} * taskMilliCores, 0, 300});
        table.addReport(report, now);
    };
    reportAfter(milliseconds(20));
    now += milliseconds(100);
    reportAfter(milliseconds(400));
    submit(1);
    BOOST_REQUIRE_EQUAL(offers.size(), 1U);
    const JobLease lease = offers[0].offer.lease.value_or(JobLease {});
    BOOST_TEST(lease.poolIncarnation == 7U);
    const Time latest = now + ahead + ResubmissionLimits {}.jobLease();
    BOOST_TEST((lease.until <= latest - milliseconds(20)));
    BOOST_TEST((lease.until >= latest - milliseconds(25)));
}

// Guards against renewals that are not backed by a connected caller: those of withdrawn requests,
// and those sent at the end of a pause before the events of the pause are handled.
BOOST_FIXTURE_TEST_CASE(only_open_requests_are_renewed, RouterFixture)
{
    report("far", "dc2", 8);
    submit(1);
    now += milliseconds(100);
    router.setHandledThrough(now);
    now += std::chrono::seconds(2);
    const auto renewals = router.leaseRenewals();
    BOOST_REQUIRE_EQUAL(renewals.count("far"), 1U);
    const LeaseRenewal &renewal = renewals.at("far");
    BOOST_TEST(renewal.requests == std::vector<uint64_t> {1}, boost::test_tools::per_element());
    const Time handled = now - std::chrono::seconds(2);
    const Time poolClock = VmTable::clockOf(*table.find("far"), handled);
    BOOST_TEST((renewal.lease.until == poolClock + ResubmissionLimits {}.jobLease()));
    router.withdraw(1, now);
    BOOST_TEST(router.leaseRenewals().empty());
}

// Guards against offering a job a second time, and against losing its answer, when its caller sends
// it again to the same VM before that VM has noticed that the first connection is closed.
BOOST_FIXTURE_TEST_CASE(repeated_request_joins_the_open_one, RouterFixture)
{
    report("near", "dc1", 8);
    report("far", "dc2", 30);
    router.submit(1, makeOffer(1), now, now);
    router.submit(2, makeOffer(1), now, now);
    router.withdraw(1, now);
    collect();
    BOOST_REQUIRE_EQUAL(offers.size(), 1U);
    BOOST_TEST(withdrawals.empty());
    answer(offers[0], JobResult::Completed);
    BOOST_REQUIRE_EQUAL(responses.size(), 1U);
    BOOST_TEST(responses[0].number == 2U);
    BOOST_TEST((responses[0].answer.result == JobResult::Completed));
}

// Guards against an answer to another job that happens to have the same id.
BOOST_FIXTURE_TEST_CASE(another_job_with_an_open_id_is_refused, RouterFixture)
{
    report("near", "dc1", 8);
    router.submit(1, makeOffer(1), now, now);
    router.submit(2, makeOffer(3), now, now);
    collect();
    BOOST_TEST(offers.size() == 1U);
    BOOST_REQUIRE_EQUAL(responses.size(), 1U);
    BOOST_TEST(responses[0].number == 2U);
    BOOST_TEST((responses[0].answer.result == JobResult::Refused));
}

// Guards against jobs that run on after all of their callers have gone.
BOOST_FIXTURE_TEST_CASE(job_is_withdrawn_when_its_last_caller_has_gone, RouterFixture)
{
    report("near", "dc1", 8);
    router.submit(1, makeOffer(1), now, now);
    router.submit(2, makeOffer(1), now, now);
    router.withdraw(2, now);
    router.withdraw(1, now);
    collect();
    BOOST_TEST(withdrawals.size() == 1U);
    BOOST_TEST(router.openCount() == 0U);
}
