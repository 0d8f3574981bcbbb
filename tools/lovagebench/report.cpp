#include "lovagebench/report.h"

#include <boost/json.hpp>

#include <algorithm>

namespace lovage::bench {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

json::object distribution(std::vector<double> values)
{
    if (values.empty())
        return {{"p50", nullptr}, {"p99", nullptr}, {"max", nullptr}};
    std::sort(values.begin(), values.end());
    const auto at = [&](double share) {
        return values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
    };
    return {{"p50", at(0.5)}, {"p99", at(0.99)}, {"max", values.back()}};
}

double messageCount(const LedgerTotals &ledger, std::initializer_list<const char *> kinds)
{
    double sum = 0;
    for (const char *kind : kinds) {
        const auto found = ledger.messages.find(kind);
        sum += found == ledger.messages.end() ? 0 : found->second;
    }
    return sum;
}

} // namespace

LedgerTotals readLedgers(const Rig &rig)
{
    LedgerTotals totals;
    for (const Endpoint &fake : rig.fakes) {
        const auto response = sendHttp(fake, {"GET", "/v1/ledger?full=1", {}, ""}, 10s);
        if (!response)
            continue;
        const json::value body = json::parse(response.value().body);
        const auto number = [](const json::value &value) { return value.to_number<uint64_t>(); };
        totals.starts += number(body.at("starts"));
        totals.startedTwice += number(body.at("violations").at("startedTwice"));
        totals.startedOnLeaving += number(body.at("violations").at("startedOnLeaving"));
        for (const auto &message : body.at("messages").as_object())
            totals.messages[std::string(message.key())] += message.value().to_number<double>();
        for (const json::value &task : body.at("retried").as_array()) {
            const std::string id(task.as_string());
            totals.retriedSubmissions.insert(id.substr(0, id.rfind('.')));
        }
        for (const auto &submission : body.at("startsOfSubmission").as_object())
            totals.startedSubmissions.insert(std::string(submission.key()));
    }
    return totals;
}

WorstControl controlSince(const ControlUse &before, const ControlUse &after)
{
    const double seconds = std::chrono::duration<double>(after.at - before.at).count();
    WorstControl worst;
    for (size_t i = 0; i < after.rssMb.size(); ++i) {
        worst.cpuShare =
                std::max(worst.cpuShare, (after.cpuSeconds[i] - before.cpuSeconds[i]) / seconds);
        worst.rssMb = std::max(worst.rssMb, after.rssMb[i]);
        worst.bytesPerSecond = std::max(worst.bytesPerSecond,
                                        (after.controlBytes[i] - before.controlBytes[i]) / seconds);
    }
    return worst;
}

Report makeReport(const ReportInput &input, const std::vector<Planned> &work,
                  const std::vector<Record> &records, const LedgerTotals &ledger)
{
    uint64_t tasks = 0;
    uint64_t partial = 0;
    uint64_t mismatched = 0;
    uint64_t falseNotRun = 0;
    uint64_t runTwice = 0;
    uint64_t unanswered = 0;
    uint64_t cut = 0;
    uint64_t complete = 0;
    uint64_t failed = 0;
    std::array<uint64_t, 3> verdicts {};
    std::vector<double> ratios;
    std::map<size_t, std::vector<double>> ratiosByClass;
    for (size_t i = 0; i < work.size(); ++i) {
        const Record &record = records[i];
        tasks += work[i].runTimes.size();
        partial += record.isPartial ? 1 : 0;
        mismatched += record.isMismatched ? 1 : 0;
        cut += record.inflightCut;
        const auto isIn = [&](const std::set<std::string> &ids) {
            return std::any_of(record.ids.begin(), record.ids.end(),
                               [&](const std::string &id) { return ids.contains(id); });
        };
        runTwice += !work[i].isRepeatable && isIn(ledger.retriedSubmissions) ? 1 : 0;
        if (record.outcome == Outcome::None) {
            ++unanswered;
        } else if (record.outcome == Outcome::Complete) {
            ++complete;
            if (input.ideal[i] > Duration::zero()) {
                ratios.push_back(std::chrono::duration<double>(record.response)
                                 / std::chrono::duration<double>(input.ideal[i]));
                ratiosByClass[work[i].workClass].push_back(ratios.back());
            }
        } else {
            ++failed;
            ++verdicts.at(static_cast<size_t>(record.error.verdict));
            falseNotRun +=
                    record.error.verdict == Verdict::NotRun && isIn(ledger.startedSubmissions) ? 1
                                                                                               : 0;
        }
    }
    const double messages =
            messageCount(ledger, {"starts", "results", "inquiries", "stops", "leases"});
    const double wasted = messageCount(
            ledger, {"inquiries", "stops", "refusedTasks", "duplicateTasks", "unfinishedTasks"});
    const uint64_t mustBeZero = ledger.startedTwice + partial + mismatched + falseNotRun + runTwice
            + unanswered + ledger.startedOnLeaving + cut + input.reverts;
    const json::object report {
            {"seed", input.seed},
            {"profile", input.profile},
            {"load", input.load},
            {"policy", input.policy},
            {"faults", input.faults},
            {"submissions", work.size()},
            {"tasks", tasks},
            {"tasks_started_twice", ledger.startedTwice},
            {"partial_answers", partial},
            {"mismatched_answers", mismatched},
            {"false_not_run", falseNotRun},
            {"non_repeatable_run_twice", runTwice},
            {"unanswered", unanswered},
            {"starts_on_leaving", ledger.startedOnLeaving},
            {"inflight_cut", cut},
            {"config_reverts", input.reverts},
            {"config_in_force_ms", distribution(input.inForce)},
            {"response_ratio", distribution(ratios)},
            {"added_latency_us", distribution(input.addedLatency)},
            {"messages_per_task",
             ledger.starts > 0 ? messages / static_cast<double>(ledger.starts) : 0},
            {"wasted_message_share", messages > 0 ? wasted / messages : 0},
            {"verdicts",
             {{"complete", complete},
              {"not_run", verdicts[0]},
              {"may_have_run", verdicts[1]},
              {"failed", verdicts[2]}}},
            {"control",
             {{"cpu_share", input.control.cpuShare},
              {"rss_mb", input.control.rssMb},
              {"bytes_per_s", input.control.bytesPerSecond}}}};
    json::object byClass;
    for (const auto &[workClass, values] : ratiosByClass)
        byClass[input.classNames.at(workClass)] = distribution(values);
    return {json::serialize(report), json::serialize(byClass), mustBeZero == 0};
}

} // namespace lovage::bench
