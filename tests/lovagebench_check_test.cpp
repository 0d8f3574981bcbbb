#define BOOST_TEST_MODULE lovagebench_check
#include "lovagebench/report.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using namespace lovage::bench;
using namespace std::chrono_literals;
using backend::SubmissionState;

namespace {

Planned twoTasks()
{
    Planned planned;
    planned.runTimes = {1ms, 2ms};
    return planned;
}

Record check(std::vector<backend::CallerResult> results, const std::string &id = "x")
{
    Record record;
    record.ids = {"x"};
    checkAnswer({id, SubmissionState::Complete, std::move(results), {}}, 4, twoTasks(), record);
    return record;
}

} // namespace

// Guards against a load tool that accepts partial answers or answers of another task.
BOOST_AUTO_TEST_CASE(wrongAnswersAreDetected)
{
    const backend::CallerResult first {"0", inputOf(4, 0, 1ms)};
    const backend::CallerResult second {"1", inputOf(4, 1, 2ms)};
    BOOST_TEST(!check({first, second}).isPartial);
    BOOST_TEST(!check({first, second}).isMismatched);
    BOOST_TEST(check({first}).isPartial);
    BOOST_TEST(check({first, first}).isMismatched);
    BOOST_TEST(check({first, {"1", first.output}}).isMismatched);
    BOOST_TEST(check({first, second}, "y").isMismatched);
}

// Guards against a report that passes although a promise was broken.
BOOST_AUTO_TEST_CASE(brokenPromisesMakeTheReportUnclean)
{
    ReportInput input;
    input.ideal = {1ms};
    const std::vector<Planned> work {twoTasks()};
    Record notRunRecord;
    notRunRecord.ids = {"x"};
    notRunRecord.outcome = Outcome::Failed;
    notRunRecord.error = notRun(ErrorCode::QueueFull, "");
    LedgerTotals ledger;
    BOOST_TEST(makeReport(input, work, {notRunRecord}, ledger).isClean);
    BOOST_TEST(!makeReport(input, work, {Record {}}, ledger).isClean); // unanswered
    ledger.startedSubmissions = {"x"};
    const Report falseNotRun = makeReport(input, work, {notRunRecord}, ledger);
    BOOST_TEST(!falseNotRun.isClean);
    BOOST_TEST(falseNotRun.json.find("\"false_not_run\":1") != std::string::npos);
    ledger.startedSubmissions = {};
    ledger.retriedSubmissions = {"x"};
    BOOST_TEST(!makeReport(input, work, {notRunRecord}, ledger).isClean);
}
