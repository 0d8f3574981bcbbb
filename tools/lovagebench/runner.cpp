#include "lovagebench/runner.h"

#include <fmt/format.h>

#include <thread>

namespace lovage::bench {

using namespace std::chrono_literals;

namespace {

constexpr Duration grace = 3s;
constexpr Duration retryDelay = 50ms;
constexpr Duration cancelDelay = 100ms;
constexpr size_t maxTries = 6;
constexpr size_t maxConnections = 2000;

} // namespace

std::string inputOf(size_t submission, size_t index, Duration runTime)
{
    return fmt::format(R"({{"durationUs":{},"task":"{}.{}"}})", runTime.count(), submission, index);
}

void checkAnswer(const backend::SubmissionAnswer &answer, size_t submission, const Planned &planned,
                 Record &record)
{
    std::set<std::string> seen;
    for (const backend::CallerResult &result : answer.results) {
        const size_t index = std::strtoull(result.id.c_str(), nullptr, 10);
        const bool isOwn = index < planned.runTimes.size()
                && result.output == inputOf(submission, index, planned.runTimes[index]);
        record.isMismatched = record.isMismatched || !isOwn || !seen.insert(result.id).second;
    }
    record.isPartial = record.isPartial || seen.size() != planned.runTimes.size();
    record.isMismatched = record.isMismatched || !record.ids.contains(answer.id);
}

Runner::Runner(IoThreads &threads, const Profile &profile, const std::vector<Planned> &work,
               RunOptions options)
    : threads_(threads), profile_(profile), work_(work), options_(std::move(options)),
      records_(work.size()), startedAt_(work.size()), deadlines_(work.size()),
      spareIds_(options_.vms.size())
{
    HttpClientOptions client;
    client.maxConnectionsPerEndpoint = maxConnections;
    for (size_t i = 0; i < options_.vms.size(); ++i)
        clients_.push_back(std::make_unique<HttpClient>(threads_, i, client));
}

void Runner::run()
{
    const Time start = currentTime();
    for (size_t i = 0; i < work_.size(); ++i) {
        std::this_thread::sleep_for(start + work_[i].at - currentTime());
        begin(i);
    }
    const Time end = currentTime() + options_.deadline + grace;
    while (open_ > 0 && currentTime() < end)
        std::this_thread::sleep_for(10ms);
}

void Runner::begin(size_t submission)
{
    ++open_;
    const size_t vm = nextVm_++ % options_.vms.size();
    {
        const std::lock_guard lock(mutex_);
        startedAt_[submission] = currentTime();
        deadlines_[submission] = startedAt_[submission] + options_.deadline;
    }
    open(submission, vm, 0);
}

bool Runner::isDone(size_t submission)
{
    const std::lock_guard lock(mutex_);
    return records_[submission].outcome != Outcome::None;
}

std::string Runner::takeSpareId(size_t vm)
{
    const std::lock_guard lock(mutex_);
    if (spareIds_[vm].empty())
        return {};
    std::string id = std::move(spareIds_[vm].front());
    spareIds_[vm].pop_front();
    return id;
}

void Runner::send(size_t vm, std::string method, std::string target, std::string body,
                  HttpClient::Callback callback)
{
    HttpRequest request {std::move(method), std::move(target), {}, std::move(body)};
    request.headers.push_back({"Authorization", "Bearer " + options_.ownerToken});
    clients_[vm]->send(options_.vms[vm].http, std::move(request), options_.deadline + grace,
                       std::move(callback));
}

// Gets an id, from the spare ones of the VM if there are any, and submits. Opening starts nothing,
// so any failure permits another VM.
void Runner::open(size_t submission, size_t vm, size_t tries)
{
    const std::string spare = takeSpareId(vm);
    if (!spare.empty()) {
        put(submission, spare, vm, tries);
        return;
    }
    send(vm, "POST", "/v1/submissions", "{}", [=, this](const Result<HttpResponse> &response) {
        const auto opened = response ? backend::parseOpenReply(response.value().body)
                                     : Result<backend::OpenReply>(response.error());
        if (opened) {
            {
                const std::lock_guard lock(mutex_);
                for (const std::string &id : opened.value().spareIds)
                    spareIds_[vm].push_back(id);
            }
            put(submission, opened.value().id, vm, tries);
        } else if (tries + 1 < maxTries) {
            threads_.postAfter(vm, retryDelay, [=, this] {
                open(submission, (vm + 1) % options_.vms.size(), tries + 1);
            });
        } else {
            finish(submission, Outcome::Failed, notRun(ErrorCode::Overloaded, "no id"));
        }
    });
}

void Runner::put(size_t submission, const std::string &id, size_t vm, size_t tries)
{
    const Planned &planned = work_[submission];
    const ClassProfile &workClass = profile_.classes[planned.workClass];
    backend::SubmissionBody body {workClass.name, {}, planned.isRepeatable, workClass.isJob, {}};
    for (size_t i = 0; i < planned.runTimes.size(); ++i)
        body.tasks.push_back({std::to_string(i), inputOf(submission, i, planned.runTimes[i])});
    bool isFirst = false;
    {
        const std::lock_guard lock(mutex_);
        isFirst = records_[submission].ids.insert(id).second;
        body.deadline = deadlines_[submission];
    }
    const std::string text = serialize(body);
    const auto sendTo = [=, this](size_t to) {
        send(to, "PUT", "/v1/submissions/" + id, text,
             [=, this](const Result<HttpResponse> &reply) {
                 answered(submission, id, to, tries, reply);
             });
    };
    sendTo(vm);
    if (isFirst && planned.isResent)
        threads_.postAfter(vm, retryDelay, [=, this] { sendTo((vm + 1) % options_.vms.size()); });
    if (isFirst && planned.isCancelled)
        threads_.postAfter(vm, cancelDelay, [=, this] { cancel(id, vm); });
}

void Runner::cancel(const std::string &id, size_t vm)
{
    send(vm, "DELETE", "/v1/submissions/" + id, "", [](const Result<HttpResponse> &) {});
}

// Fails over to another VM with the same body. After "not run" a new id is taken; otherwise the
// same id is sent again, which never starts the work twice.
void Runner::answered(size_t submission, const std::string &id, size_t vm, size_t tries,
                      const Result<HttpResponse> &response)
{
    if (isDone(submission))
        return;
    const size_t other = (vm + 1) % options_.vms.size();
    if (!response) {
        {
            const std::lock_guard lock(mutex_);
            const bool isCut = response.error().verdict == Verdict::MayHaveRun
                    && !options_.vms[vm].mayBreak && currentTime() < deadlines_[submission];
            records_[submission].inflightCut += isCut ? 1 : 0;
        }
        // Nothing was sent under this id, and its issuer is gone: only a new id can still run.
        const bool isUnsent = response.error().verdict == Verdict::NotRun && tries == 0
                && !work_[submission].isResent;
        if (isUnsent)
            threads_.postAfter(vm, retryDelay, [=, this] { open(submission, other, tries + 1); });
        else if (tries + 1 < maxTries)
            threads_.postAfter(vm, retryDelay,
                               [=, this] { put(submission, id, other, tries + 1); });
        else
            finish(submission, Outcome::Failed, response.error());
        return;
    }
    const HttpResponse &reply = response.value();
    const std::string_view spare = reply.header("Lovage-Spare-Ids");
    {
        const std::lock_guard lock(mutex_);
        for (size_t at = 0; at < spare.size();) {
            const size_t end = std::min(spare.find(',', at), spare.size());
            const size_t begin = spare.find_first_not_of(' ', at);
            if (begin < end)
                spareIds_[vm].emplace_back(spare.substr(begin, end - begin));
            at = end + 1;
        }
    }
    const auto answer = backend::parseSubmissionAnswer(reply.body);
    if (!answer) {
        finish(submission, Outcome::Failed, answer.error());
        return;
    }
    if (answer.value().state == backend::SubmissionState::Complete) {
        {
            const std::lock_guard lock(mutex_);
            checkAnswer(answer.value(), submission, work_[submission], records_[submission]);
        }
        finish(submission, Outcome::Complete, {});
        return;
    }
    const Error &error = answer.value().error;
    const bool isElsewhere = error.verdict == Verdict::NotRun
            && (error.code == ErrorCode::Draining || error.code == ErrorCode::NoCatalogue);
    if (isElsewhere && tries + 1 < maxTries)
        threads_.postAfter(vm, retryDelay, [=, this] { open(submission, other, tries + 1); });
    else
        finish(submission, Outcome::Failed, error);
}

void Runner::finish(size_t submission, Outcome outcome, Error error)
{
    const std::lock_guard lock(mutex_);
    Record &record = records_[submission];
    if (record.outcome != Outcome::None)
        return;
    record.outcome = outcome;
    record.error = std::move(error);
    record.response = currentTime() - startedAt_[submission];
    --open_;
}

} // namespace lovage::bench
