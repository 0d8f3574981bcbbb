// Tests of the range of the numbers in messages between VMs and in records of the journal.
#define BOOST_TEST_MODULE vm_message
#include "lovage/keeper.h"
#include "lovage/routing.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cmath>
#include <limits>

using namespace lovage;

namespace {

const std::array<double, 4> oddNumbers = {std::nan(""), std::numeric_limits<double>::infinity(), -1,
                                          1e300};

JobSpec repeatedJob()
{
    Step step;
    step.count = 1;
    step.estimate = std::chrono::milliseconds(90);
    JobSpec job {"0123456789abcdef", "p", {step}};
    job.repeatCount = 3;
    job.firstDueMs = 1'700'000'000'000;
    job.repeatInterval = std::chrono::milliseconds(500);
    return job;
}

bool isOfferAccepted(const JobOffer &offer)
{
    return decodeMessage(encodeMessage(OfferMessage {offer})).has_value();
}

bool isJobAccepted(const JobSpec &job)
{
    JobOffer offer;
    offer.job = job;
    JobAccepted record;
    record.job = job;
    const bool isRecordAccepted = decodeRecord(encodeRecord(record)).has_value();
    BOOST_TEST(isRecordAccepted == isOfferAccepted(offer));
    return isRecordAccepted;
}

} // namespace

// Guards against conversions of numbers to times that overflow at the VM that reads the message.
BOOST_AUTO_TEST_CASE(messages_with_numbers_out_of_range_are_refused)
{
    BOOST_TEST(isOfferAccepted({}));
    for (const double odd : oddNumbers) {
        JobOffer offer;
        offer.stretchFactor = odd;
        BOOST_TEST(!isOfferAccepted(offer));
        Queue queue {"n", "h", "/a/", "s"};
        queue.stretchFactor = odd;
        const ConfigurationMessage message {Configuration {7, {queue}}};
        BOOST_TEST(!decodeMessage(encodeMessage(message)).has_value());
        VmReport report;
        report.loads = {{"s", 1, 2, odd, 4}};
        BOOST_TEST(!decodeMessage(encodeMessage(report)).has_value());
        report.loads = {{"s", 1, 2, 3, odd}};
        BOOST_TEST(!decodeMessage(encodeMessage(report)).has_value());
    }
}

// Guards against due times, objectives and ages that overflow at the VM that reads the job.
BOOST_AUTO_TEST_CASE(jobs_with_times_out_of_range_are_refused)
{
    BOOST_TEST(isJobAccepted(repeatedJob()));
    const auto isAcceptedWith = [](auto change) {
        JobSpec job = repeatedJob();
        change(job);
        return isJobAccepted(job);
    };
    for (const int64_t odd : {INT64_MIN, int64_t {-1}, INT64_MAX}) {
        BOOST_TEST(!isAcceptedWith([&](JobSpec &job) { job.firstDueMs = odd; }));
        BOOST_TEST(!decodeRecord(encodeRecord(JobCancelled {odd, "j"})).has_value());
    }
    // The encoder itself refuses longer durations.
    for (const Duration odd : {Duration(-1), Duration(INT64_MAX / 4)}) {
        BOOST_TEST(!isAcceptedWith([&](JobSpec &job) { job.repeatInterval = odd; }));
        BOOST_TEST(!isAcceptedWith([&](JobSpec &job) { job.steps[0].estimate = odd; }));
    }
    BOOST_TEST(!isAcceptedWith([](JobSpec &job) {
        job.repeatCount = UINT32_MAX;
        job.repeatInterval = std::chrono::hours(24 * 365);
    }));
}

// Guards against a byte that is read as a bool although it is neither 0 nor 1.
BOOST_AUTO_TEST_CASE(message_with_a_presence_byte_out_of_range_is_refused)
{
    JobOffer offer;
    std::string bytes = encodeMessage(OfferMessage {offer});
    BOOST_REQUIRE(decodeMessage(bytes).has_value());
    BOOST_REQUIRE(bytes.back() == 1); // the offer has no lease
    bytes.back() = 2;
    BOOST_TEST(!decodeMessage(bytes).has_value());
    bytes.back() = 0; // the lease is missing
    BOOST_TEST(!decodeMessage(bytes).has_value());
    offer.lease = JobLease {5, Time(std::chrono::seconds(1))};
    const auto decoded = decodeMessage(encodeMessage(OfferMessage {offer}));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((std::get<OfferMessage>(decoded.value()).offer == offer));
}
