#include "lovage/routing.h"

#include <fmt/format.h>

#include <algorithm>

namespace lovage {

namespace {

uint64_t firstMilliCores(const JobSpec &job)
{
    uint64_t sum = 0;
    for (const Step &step : job.steps) {
        if (step.after.empty())
            sum += uint64_t {step.count} * step.demand.milliCores;
    }
    return sum;
}

ServiceLoad *findLoad(std::vector<ServiceLoad> &loads, const std::string &service)
{
    const auto found = std::find_if(loads.begin(), loads.end(), [&](const ServiceLoad &load) {
        return load.service == service;
    });
    return found == loads.end() ? nullptr : &*found;
}

// Time until a pool has started every task that can start at once.
Duration expectedWait(const ServiceLoad &load, const JobSpec &job)
{
    const uint64_t need = firstMilliCores(job);
    if (load.queuedWork == 0 && load.freeMilliCores >= need)
        return Duration::zero();
    const double missing = static_cast<double>(need - std::min(need, load.freeMilliCores)) / 1000;
    const double work =
            load.queuedWork + missing * std::chrono::duration<double>(longestChain(job)).count();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(work / load.rate));
}

// Keeps the copy of a load in step with what was offered since the report.
void noteOffered(ServiceLoad &load, const JobSpec &job)
{
    const uint64_t need = firstMilliCores(job);
    if (load.freeMilliCores < need)
        load.queuedWork += coreSeconds(job);
    load.freeMilliCores -= std::min(need, load.freeMilliCores);
}

} // namespace

void Router::submit(uint64_t number, JobOffer offer, Time now)
{
    Request request;
    request.offer = std::move(offer);
    request.offer.ticket = {vms_.self().name, vms_.self().incarnation, number};
    request.arrived = now;
    requests_.emplace(number, std::move(request));
    offerNext(number, now);
}

void Router::withdraw(uint64_t number, Time now)
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    notes_.push_back({"caller-gone", found->second.offer.job.id,
                      fmt::format("number={} vm={} after_us={}", number, found->second.vm,
                                  (now - found->second.arrived).count())});
    actions_.emplace_back(SendWithdraw {found->second.vm, found->second.offer.ticket});
    requests_.erase(found);
}

std::optional<Router::Candidate> Router::choose(const Request &request, Time now)
{
    std::optional<Candidate> best;
    const auto consider = [&](const std::string &vm, std::vector<ServiceLoad> &loads, bool isNear) {
        ServiceLoad *load = findLoad(loads, request.offer.service);
        const auto &refused = request.refusedBy;
        if (!load || load->rate <= 0
            || std::find(refused.begin(), refused.end(), vm) != refused.end())
            return;
        const Duration wait = expectedWait(*load, request.offer.job)
                + (isNear ? Duration::zero() : options_.remotePenalty);
        if (!best || wait < best->wait)
            best = Candidate {vm, load, wait};
    };
    consider(vms_.self().name, ownLoads_, true);
    for (auto &[name, row] : vms_.rows()) {
        if (vms_.isHeard(row, now) && !row.report.isDraining)
            consider(name, row.report.loads, row.report.vm.dataCentre == vms_.self().dataCentre);
    }
    return best;
}

void Router::offerNext(uint64_t number, Time now)
{
    Request &request = requests_.at(number);
    if (request.refusedBy.size() >= options_.maxOffers) {
        respond(number, JobResult::Refused, "no-pool-has-room", request.retryAfter);
        return;
    }
    const auto candidate = choose(request, now);
    if (!candidate) {
        respond(number, JobResult::Refused,
                request.refusedBy.empty() ? "no-pool" : "no-pool-has-room", request.retryAfter);
        return;
    }
    noteOffered(*candidate->load, request.offer.job);
    request.vm = candidate->vm;
    JobOffer offer = request.offer;
    const Duration elapsed = now - request.arrived;
    offer.elapsed += elapsed;
    offer.deadline -= elapsed;
    notes_.push_back({"job-offered", offer.job.id,
                      fmt::format("number={} vm={} wait_us={} refusals={}", number, candidate->vm,
                                  candidate->wait.count(), request.refusedBy.size())});
    actions_.emplace_back(SendOffer {candidate->vm, std::move(offer)});
}

void Router::respond(uint64_t number, JobResult result, std::string reason, Duration retryAfter)
{
    const auto found = requests_.find(number);
    JobAnswer answer {found->second.offer.ticket, result, std::move(reason), retryAfter};
    if (result == JobResult::Refused && retryAfter <= Duration::zero())
        answer.retryAfter = options_.retryAfter;
    notes_.push_back({"caller-answered", found->second.offer.job.id,
                      fmt::format("number={} result={} reason={}", number, toString(result),
                                  answer.reason)});
    requests_.erase(found);
    actions_.emplace_back(Respond {number, std::move(answer)});
}

void Router::onAnswer(const std::string &vm, JobAnswer answer, Time now)
{
    const auto found = requests_.find(answer.ticket.number);
    if (found == requests_.end() || found->second.offer.ticket != answer.ticket
        || found->second.vm != vm)
        return;
    if (answer.result != JobResult::Refused) {
        respond(answer.ticket.number, answer.result, std::move(answer.reason), Duration::zero());
        return;
    }
    Request &request = found->second;
    const bool isFirst = request.refusedBy.empty();
    request.retryAfter =
            isFirst ? answer.retryAfter : std::min(request.retryAfter, answer.retryAfter);
    request.refusedBy.push_back(vm);
    offerNext(answer.ticket.number, now);
}

void Router::onOfferUnsent(const std::string &vm, uint64_t number, Time now)
{
    const auto found = requests_.find(number);
    if (found == requests_.end() || found->second.vm != vm)
        return;
    found->second.refusedBy.push_back(vm);
    offerNext(number, now);
}

void Router::onVmLost(const std::string &vm, Time now)
{
    std::vector<uint64_t> numbers;
    for (const auto &[number, request] : requests_) {
        if (request.vm == vm)
            numbers.push_back(number);
    }
    for (const uint64_t number : numbers)
        respond(number, JobResult::Abandoned, "vm-lost", Duration::zero());
}

// The pool answers in time; this bounds the wait for one that does not.
void Router::tick(Time now)
{
    std::vector<uint64_t> overdue;
    for (const auto &[number, request] : requests_) {
        if (now > request.arrived + request.offer.deadline)
            overdue.push_back(number);
    }
    for (const uint64_t number : overdue) {
        const Request &request = requests_.at(number);
        actions_.emplace_back(SendWithdraw {request.vm, request.offer.ticket});
        respond(number, JobResult::Abandoned, "deadline", Duration::zero());
    }
}

} // namespace lovage
