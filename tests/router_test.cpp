// How a VM finds pools for jobs, divides them, and answers their callers.
#define BOOST_TEST_MODULE router
#include "lovage/routing.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using std::chrono::milliseconds;

namespace {

constexpr uint32_t taskMilliCores = 14000;

struct Vms
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
        router.submit(1, makeOffer(count), now);
        collect();
    }
    void answer(const SendOffer &offer, JobResult result)
    {
        router.onAnswer(offer.vm, {offer.offer.ticket, result, "", milliseconds(500)}, now);
        collect();
    }
};

} // namespace

// Guards against needless traffic between data centres.
BOOST_FIXTURE_TEST_CASE(near_pool_with_room_comes_first, Vms)
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

// Guards against a refusal while another pool has room.
BOOST_FIXTURE_TEST_CASE(refused_job_goes_to_the_next_pool, Vms)
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

// Guards against jobs that are refused because they are wider than the room of each pool.
BOOST_FIXTURE_TEST_CASE(wide_job_is_divided_and_every_task_is_offered_once, Vms)
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

// Guards against "not run" for a job of which a part has begun, and against "may have run" for one
// of which none has.
BOOST_FIXTURE_TEST_CASE(verdict_of_a_divided_job_waits_for_every_part, Vms)
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
        answer(first, JobResult::Refused); // goes to the other pool
        answer(offers.back(), JobResult::Refused);
        BOOST_REQUIRE_EQUAL(withdrawals.size(), 1U);
        BOOST_TEST(withdrawals[0].vm == second.vm);
        BOOST_TEST(responses.empty());
        answer(second, other);
        BOOST_REQUIRE_EQUAL(responses.size(), 1U);
        BOOST_TEST((responses[0].answer.result == other));
    }
}

// Guards large jobs against a pool that has fast servers for a few of their tasks only, while other
// pools have some as well.
BOOST_FIXTURE_TEST_CASE(job_is_divided_by_the_sure_places_of_pools, Vms)
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
        // Asked once more, a pool would refuse what it has no margin for.
        BOOST_TEST(offers[i].offer.isLastOffer == (count > surelyRun));
        tasks += count;
    }
    BOOST_TEST(tasks == 6U);
    BOOST_TEST(offers[2].vm != offers[3].vm);
}

// Guards against refusing a job that no pool can run in time alone but several can together.
BOOST_FIXTURE_TEST_CASE(refused_whole_is_divided_by_what_pools_could_run, Vms)
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

// Guards against a second run elsewhere of tasks whose pool may go on with them.
BOOST_FIXTURE_TEST_CASE(job_of_a_lost_vm_is_abandoned, Vms)
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

// Guards against giving up a job that provably never reached its pool.
BOOST_FIXTURE_TEST_CASE(unsent_offer_goes_elsewhere, Vms)
{
    report("near", "dc1", 8);
    report("far", "dc2", 8);
    submit(4);
    router.onOfferUnsent("near", offers[0].offer.ticket, now);
    collect();
    BOOST_REQUIRE_EQUAL(offers.size(), 2U);
    BOOST_TEST(offers[1].vm == "far");
}

// Guards against answers of an earlier attempt.
BOOST_FIXTURE_TEST_CASE(late_answer_of_another_vm_is_ignored, Vms)
{
    report("near", "dc1", 8);
    report("far", "dc2", 8);
    submit(4);
    answer(offers[0], JobResult::Refused);
    answer(offers[0], JobResult::Completed);
    BOOST_TEST(responses.empty());
}

// Guards against work for VMs that are leaving or silent.
BOOST_FIXTURE_TEST_CASE(draining_and_silent_vms_get_no_jobs, Vms)
{
    report("near", "dc1", 8, 0, true);
    report("far", "dc2", 8);
    now += milliseconds(400);
    submit(4);
    BOOST_TEST(offers.empty());
    BOOST_REQUIRE_EQUAL(responses.size(), 1U);
    BOOST_TEST((responses[0].answer.result == JobResult::Refused));
}

// Guards against refusals by a VM that has just started and has not heard of the pools yet.
BOOST_FIXTURE_TEST_CASE(job_waits_for_a_pool_after_the_start, Vms)
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
    router.submit(2, makeOffer(4), now);
    router.withdraw(2, now);
    BOOST_TEST(router.openCount() == 0U);
}

BOOST_FIXTURE_TEST_CASE(job_is_refused_when_no_pool_shows_after_the_start, Vms)
{
    router.waitForPoolsUntil(now + milliseconds(1000));
    submit(4);
    now += milliseconds(1000);
    router.tick(now);
    collect();
    BOOST_REQUIRE_EQUAL(responses.size(), 1U);
    BOOST_TEST((responses[0].answer.result == JobResult::Refused));
}

// Guards against work that goes on for a caller that has left.
BOOST_FIXTURE_TEST_CASE(withdrawal_reaches_the_pool, Vms)
{
    report("near", "dc1", 8);
    submit(4);
    router.withdraw(1, now);
    collect();
    BOOST_REQUIRE_EQUAL(withdrawals.size(), 1U);
    BOOST_TEST(withdrawals[0].vm == "near");
    BOOST_TEST(router.openCount() == 0U);
}

// Guards against callers that wait for a pool that never answers.
BOOST_FIXTURE_TEST_CASE(job_without_answer_ends_at_its_deadline, Vms)
{
    report("near", "dc1", 8);
    submit(4);
    now += milliseconds(1501);
    router.tick(now);
    collect();
    BOOST_REQUIRE_EQUAL(responses.size(), 1U);
    BOOST_TEST((responses[0].answer.result == JobResult::Abandoned));
}

// Guards against reports of an earlier life of a VM, and tells a restart.
BOOST_FIXTURE_TEST_CASE(incarnations_only_rise, Vms)
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

// Guards the decoder against anything that a peer or a stranger may send.
BOOST_AUTO_TEST_CASE(messages_survive_the_wire_and_damage_is_refused)
{
    OfferMessage offer {Vms::makeOffer(7)};
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
            WithdrawMessage {{"vm1", 9, 4, 2}},
            IntroductionMessage {{report.vm}},
            ConfigurationRequest {"vm1"},
            ConfigurationMessage {configuration}};
    Random random(3);
    for (const VmMessage &message : messages) {
        const std::string bytes = encodeMessage(message);
        const auto decoded = decodeMessage(bytes);
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST((decoded.value() == message));
        for (size_t length = 0; length < bytes.size(); ++length)
            BOOST_TEST(!decodeMessage(std::string_view(bytes).substr(0, length)).has_value());
        for (int i = 0; i < 200; ++i) {
            std::string damaged = bytes;
            damaged[random.below(damaged.size())] = static_cast<char>(random.next());
            (void)decodeMessage(damaged); // must neither crash nor allocate without bound
        }
    }
}
