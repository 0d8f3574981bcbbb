#include "lovage/routing.h"

#include <fmt/format.h>

#include <algorithm>

namespace lovage {

namespace {

// Total demand of the steps that can start at once.
uint64_t initialMilliCores(const JobSpec &job)
{
    uint64_t sum = 0;
    for (const Step &step : job.steps) {
        if (step.after.empty())
            sum += uint64_t {step.count} * step.demand.milliCores;
    }
    return sum;
}

// Estimates the time until a pool has started every task that can start at once, not counting the
// lag of its VM.
Duration queueWait(const ServiceLoad &load, const JobSpec &job)
{
    const uint64_t need = initialMilliCores(job);
    if (load.queuedWork == 0 && load.freeMilliCores >= need)
        return Duration::zero();
    const double missing = static_cast<double>(need - std::min(need, load.freeMilliCores)) / 1000;
    const double work =
            load.queuedWork + missing * std::chrono::duration<double>(criticalPath(job)).count();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(work / load.rate));
}

Duration expectedWait(const ServiceLoad &load, const JobSpec &job)
{
    return load.inputLag + queueWait(load, job);
}

// Updates the local copy of a pool's load for a job that is offered to the pool after its last
// report.
void accountForOffer(ServiceLoad &load, const JobSpec &job)
{
    const uint64_t need = initialMilliCores(job);
    if (load.freeMilliCores < need)
        load.queuedWork += coreSeconds(job);
    load.freeMilliCores -= std::min(need, load.freeMilliCores);
}

// A job is divisible if it has a single step whose tasks occupy cores and have no placement
// constraints relative to each other.
bool isDivisible(const JobSpec &job)
{
    const Step &step = job.steps.front();
    return job.steps.size() == 1 && step.maxPerServer == 0 && !step.sameRack
            && step.demand.milliCores > 0;
}

} // namespace

void Router::submit(uint64_t number, JobOffer offer, Time connectedAt, Time now)
{
    const auto open = std::find_if(requests_.begin(), requests_.end(), [&](const auto &entry) {
        return entry.second.offer.job.id == offer.job.id;
    });
    if (open != requests_.end()) {
        join(number, open->second, offer);
        return;
    }
    Request request;
    request.callers.push_back(number);
    request.offer = std::move(offer);
    request.offer.ticket = {vms_.self().name, vms_.self().incarnation, number};
    request.arrived = now;
    request.connectedAt = connectedAt;
    requests_.emplace(number, std::move(request));
    waiting_.push_back(number);
    offerWaiting(now);
}

void Router::join(uint64_t number, Request &open, const JobOffer &offer)
{
    const bool isSameJob = open.offer.job == offer.job;
    logEntries_.push_back({"job-joined", offer.job.id,
                           fmt::format("number={} open={} same={}", number,
                                       open.offer.ticket.number, isSameJob)});
    if (isSameJob) {
        open.callers.push_back(number);
        return;
    }
    const JobTicket ticket {vms_.self().name, vms_.self().incarnation, number};
    actions_.emplace_back(
            Respond {number, {ticket, JobResult::Refused, "id-in-use", options_.retryAfter}});
}

std::set<std::string> Router::offeredVms() const
{
    std::set<std::string> vms;
    for (const auto &[number, request] : requests_) {
        for (const Part &part : request.parts) {
            if (part.isOffered && !part.vm.empty())
                vms.insert(part.vm);
        }
    }
    return vms;
}

// Leases of offers that were withdrawn are not renewed.
std::map<std::string, LeaseRenewal> Router::leaseRenewals() const
{
    std::map<std::string, LeaseRenewal> renewals;
    for (const auto &[number, request] : requests_) {
        if (request.isGivenUp)
            continue;
        for (const Part &part : request.parts) {
            if (!part.isOffered || part.isWithdrawn || part.vm.empty())
                continue;
            std::vector<uint64_t> &numbers = renewals[part.vm].requests;
            if (numbers.empty() || numbers.back() != number)
                numbers.push_back(number);
        }
    }
    for (auto &[vm, renewal] : renewals)
        renewal.lease = leaseAt(vm, handledThrough_);
    return renewals;
}

// Returns the latest time at which the caller is known to have been connected.
Time Router::connectedAt(const Request &request) const
{
    return std::max(request.connectedAt, handledThrough_);
}

// Returns a lease that has ended already if the VM is unknown.
JobLease Router::leaseAt(const std::string &vm, Time connectedAt) const
{
    if (vm == vms_.self().name)
        return {vms_.self().incarnation, connectedAt + options_.resubmission.jobLease()};
    const VmTable::Row *row = vms_.find(vm);
    if (!row)
        return {};
    return {row->report.vm.incarnation,
            VmTable::clockOf(*row, connectedAt) + options_.resubmission.jobLease()};
}

// The time to answer leaves room for offers to other pools and for the run itself.
std::optional<OfferTiming> Router::timingOf(const std::string &vm, Duration deadline,
                                            Time now) const
{
    const VmTable::Row *row = vms_.find(vm);
    if (!row)
        return std::nullopt;
    return OfferTiming {VmTable::clockOf(*row, now),
                        std::clamp(deadline / options_.answersWithinDeadline,
                                   options_.minAnswerTime, options_.maxAnswerTime)};
}

void Router::offerWaiting(Time now)
{
    for (const uint64_t number : std::exchange(waiting_, {})) {
        const auto found = requests_.find(number);
        if (found == requests_.end())
            continue;
        Request &request = found->second;
        if (now < poolWaitEnd_ && candidates(request.offer, {}, now).empty()) {
            waiting_.push_back(number);
            continue;
        }
        request.parts = divide(request.offer, now);
        request.openParts = request.parts.size();
        offerParts(number, now);
    }
}

void Router::offerParts(uint64_t number, Time now)
{
    const size_t parts = requests_.at(number).parts.size();
    for (size_t part = 0; part < parts; ++part) {
        const auto open = requests_.find(number);
        if (open == requests_.end() || open->second.isGivenUp)
            return;
        offerPart(number, part, now);
    }
}

void Router::withdraw(uint64_t number, Time now)
{
    const auto found = std::find_if(requests_.begin(), requests_.end(), [&](const auto &entry) {
        const std::vector<uint64_t> &callers = entry.second.callers;
        return std::find(callers.begin(), callers.end(), number) != callers.end();
    });
    if (found == requests_.end())
        return;
    Request &request = found->second;
    logEntries_.push_back(
            {"caller-gone", request.offer.job.id,
             fmt::format("number={} after_us={}", number, (now - request.arrived).count())});
    std::erase(request.callers, number);
    if (!request.callers.empty())
        return;
    withdrawOpenParts(request);
    requests_.erase(found);
}

void Router::withdrawOpenParts(const Request &request, bool needsAnswers)
{
    for (size_t part = 0; part < request.parts.size(); ++part) {
        if (request.parts[part].vm.empty() || !request.parts[part].isOffered)
            continue;
        JobTicket ticket = request.offer.ticket;
        ticket.part = static_cast<uint32_t>(part);
        ticket.offer = request.parts[part].offer;
        actions_.emplace_back(
                SendWithdraw {request.parts[part].vm, ticket,
                              needsAnswers ? request.parts[part].origin : std::nullopt});
    }
}

// Returns the pools that could run the job in the order of their expected wait.
std::vector<Router::Candidate>
Router::candidates(const JobOffer &offer, const std::vector<std::string> &excludedVms, Time now)
{
    std::vector<Candidate> found;
    for (const PoolView &pool : poolsFor(offer.service, ownLoads_, vms_, now)) {
        if (std::find(excludedVms.begin(), excludedVms.end(), pool.vm) != excludedVms.end())
            continue;
        const Duration wait = expectedWait(*pool.load, offer.job)
                + (pool.isLocal ? Duration::zero() : options_.remotePenalty);
        found.push_back({pool.vm, pool.load, pool.isLocal, wait});
    }
    std::stable_sort(found.begin(), found.end(), [](const Candidate &left, const Candidate &right) {
        return left.wait < right.wait;
    });
    return found;
}

// Returns a single part unless the job is divisible, the best pool cannot start all tasks at once
// and other pools have free capacity.
std::vector<Router::Part> Router::divide(const JobOffer &offer, Time now)
{
    std::vector<Part> whole {{0, 0}};
    auto pools = candidates(offer, {}, now);
    const Step &step = offer.job.steps.front();
    if (!isDivisible(offer.job) || pools.size() < 2 || pools.front().wait <= options_.remotePenalty)
        return whole;
    std::stable_sort(pools.begin(), pools.end(), [](const Candidate &left, const Candidate &right) {
        return left.isLocal > right.isLocal
                || (left.isLocal == right.isLocal
                    && left.load->freeMilliCores > right.load->freeMilliCores);
    });
    std::vector<Part> parts;
    uint32_t nextIndex = 0;
    for (const Candidate &pool : pools) {
        // Every part must be started for the job to be in time, so no part goes to a pool that is
        // behind.
        if (pool.load->inputLag > Duration::zero())
            continue;
        const auto freeSlots =
                static_cast<uint32_t>(pool.load->freeMilliCores / step.demand.milliCores);
        const uint32_t count = std::min(freeSlots, step.count - nextIndex);
        if (count == 0)
            continue;
        parts.push_back({nextIndex, count, pool.vm});
        nextIndex += count;
    }
    if (nextIndex == 0 || parts.size() < 2)
        return whole;
    // Tasks beyond the free capacity of all pools are added to the first part, so that they wait
    // where most of the job runs.
    parts.front().count += step.count - nextIndex;
    for (size_t i = 1; i < parts.size(); ++i)
        parts[i].firstIndex += step.count - nextIndex;
    return parts;
}

JobOffer Router::makePartOffer(const Request &request, size_t part, Time now) const
{
    JobOffer offer = request.offer;
    const Duration elapsed = now - request.arrived;
    offer.elapsed += elapsed;
    offer.deadline -= elapsed;
    offer.ticket.part = static_cast<uint32_t>(part);
    offer.firstIndex = request.parts[part].firstIndex;
    offer.isLastOffer = request.parts[part].isLastOffer;
    if (request.parts[part].count > 0)
        offer.job.steps.front().count = request.parts[part].count;
    return offer;
}

void Router::offerPart(uint64_t number, size_t index, Time now)
{
    Request &request = requests_.at(number);
    Part &part = request.parts[index];
    const JobOffer offer = makePartOffer(request, index, now);
    const auto pools = candidates(offer, part.refusedBy, now);
    const auto planned = std::find_if(pools.begin(), pools.end(),
                                      [&](const Candidate &pool) { return pool.vm == part.vm; });
    const size_t refusals = part.refusedBy.size() - part.evacuated;
    if (pools.empty() || refusals >= options_.maxOffers) {
        if (!divideByCapabilities(number, now) && !offerToFallback(number, index, now))
            giveUp(number, index);
        return;
    }
    part.isLastOffer = part.hasTasksWithoutMargin || (pools.size() == 1 && refusals == 0);
    sendOffer(number, index, planned != pools.end() ? *planned : pools.front(), now);
}

void Router::sendOffer(uint64_t number, size_t index, Candidate pool, Time now)
{
    Request &request = requests_.at(number);
    Part &part = request.parts[index];
    JobOffer offer = makePartOffer(request, index, now);
    offer.lease = leaseAt(pool.vm, connectedAt(request));
    offer.timing = timingOf(pool.vm, offer.deadline, now);
    offer.ticket.offer = ++request.offers;
    part.offer = offer.ticket.offer;
    part.isAccepted = false;
    part.isWithdrawn = false;
    part.origin.reset();
    if (offer.timing) {
        part.origin = OfferOrigin {offer.lease->poolIncarnation, offer.timing->offeredAt};
        part.answerBy = now + offer.timing->answerWithin + ResubmissionLimits::messageAllowance;
    }
    accountForOffer(*pool.load, offer.job);
    part.vm = pool.vm;
    part.isOffered = true;
    logEntries_.push_back(
            {"job-offered", offer.job.id,
             fmt::format("number={} part={}/{} tasks={} vm={} wait_us={} refusals={} "
                         "last={}",
                         number, index, request.parts.size(), taskCount(offer.job), pool.vm,
                         pool.wait.count(), part.refusedBy.size(), part.isLastOffer)});
    actions_.emplace_back(SendOffer {pool.vm, std::move(offer)});
}

bool Router::offerToFallback(uint64_t number, size_t index, Time now)
{
    Request &request = requests_.at(number);
    Part &part = request.parts[index];
    const std::string vm = std::exchange(part.fallback, {});
    const auto pools = candidates(request.offer, {}, now);
    const auto pool = std::find_if(pools.begin(), pools.end(),
                                   [&](const Candidate &other) { return other.vm == vm; });
    if (vm.empty() || pool == pools.end())
        return false;
    part.isLastOffer = true;
    sendOffer(number, index, *pool, now);
    return true;
}

// Each pool gets as many tasks as it can run with margin. The remaining tasks go to pools that can
// still run them in time without margin. The fallback pool, which runs the whole job in time but
// partly without margin, is preferred only if it alone runs as many tasks with margin as all pools
// together.
bool Router::divideByCapabilities(uint64_t number, Time now)
{
    Request &request = requests_.at(number);
    const uint32_t count = request.offer.job.steps.front().count;
    uint32_t tasksWithMargin = 0;
    uint32_t tasks = 0;
    for (const auto &[vm, capability] : request.capabilities) {
        tasksWithMargin += capability.tasksWithMargin;
        tasks += capability.tasks;
    }
    const Part &whole = request.parts.front();
    const bool isFallbackAsGood =
            !whole.fallback.empty() && whole.fallbackTasksWithMargin >= tasksWithMargin;
    if (request.parts.size() > 1 || !isDivisible(request.offer.job) || tasks < count
        || (tasksWithMargin < count && isFallbackAsGood))
        return false;
    std::map<std::string, uint32_t> shares;
    uint32_t left = count;
    for (const auto &[vm, capability] : request.capabilities) {
        shares[vm] = std::min(capability.tasksWithMargin, left);
        left -= shares[vm];
    }
    std::vector<Part> parts;
    uint32_t nextIndex = 0;
    for (const auto &[vm, capability] : request.capabilities) {
        const uint32_t extra = std::min(capability.tasks - shares[vm], left);
        left -= extra;
        const uint32_t share = shares[vm] + extra;
        if (share == 0)
            continue;
        parts.push_back({nextIndex, share, vm});
        parts.back().hasTasksWithoutMargin = extra > 0;
        nextIndex += share;
    }
    // A pool that could run the whole job in time has refused it because of other jobs. It would
    // refuse the same offer again.
    if (parts.size() < 2)
        return false;
    request.capabilities.clear();
    request.parts = std::move(parts);
    request.openParts = request.parts.size();
    offerParts(number, now);
    return true;
}

// Answers the caller only when every pool with an unanswered offer of the request has answered. It
// is unknown until then whether any task of the job has run.
void Router::giveUp(uint64_t number, size_t index)
{
    Request &request = requests_.at(number);
    const bool isFirst = request.parts[index].refusedBy.empty();
    request.parts[index].vm.clear();
    request.isGivenUp = true;
    request.openParts = static_cast<size_t>(
            std::count_if(request.parts.begin(), request.parts.end(),
                          [](const Part &part) { return part.isOffered && !part.vm.empty(); }));
    if (request.openParts > 0) {
        withdrawOpenParts(request, true);
        return;
    }
    respond(number, request.mayHaveRun ? JobResult::Abandoned : JobResult::Refused,
            isFirst ? "no-pool" : "no-pool-has-room", request.retryAfter);
}

void Router::onAnswerOfGivenUp(uint64_t number, const JobAnswer &answer)
{
    Request &request = requests_.at(number);
    request.parts[answer.ticket.part].vm.clear();
    request.mayHaveRun |= answer.result != JobResult::Refused;
    if (--request.openParts == 0)
        respond(number, request.mayHaveRun ? JobResult::Abandoned : JobResult::Refused,
                "no-pool-has-room", request.retryAfter);
}

void Router::respond(uint64_t number, JobResult result, std::string reason, Duration retryAfter)
{
    const auto found = requests_.find(number);
    JobAnswer answer {found->second.offer.ticket, result, std::move(reason), retryAfter};
    if (result == JobResult::Refused && retryAfter <= Duration::zero())
        answer.retryAfter = options_.retryAfter;
    logEntries_.push_back({"caller-answered", found->second.offer.job.id,
                           fmt::format("number={} result={} reason={}", number, toString(result),
                                       answer.reason)});
    for (const uint64_t caller : found->second.callers)
        actions_.emplace_back(Respond {caller, answer});
    requests_.erase(found);
}

void Router::onAnswer(const std::string &vm, JobAnswer answer, Time now)
{
    if (!findOffer(vm, answer.ticket))
        return;
    Request &request = requests_.at(answer.ticket.number);
    if (request.isGivenUp) {
        onAnswerOfGivenUp(answer.ticket.number, answer);
        return;
    }
    if (answer.result == JobResult::Refused) {
        onRefused(answer.ticket.number, answer.ticket.part, answer, now);
        return;
    }
    request.parts[answer.ticket.part].vm.clear();
    request.mayHaveRun = true;
    if (answer.result == JobResult::Completed && --request.openParts > 0)
        return;
    withdrawOpenParts(request);
    respond(answer.ticket.number, answer.result, std::move(answer.reason), Duration::zero());
}

void Router::onRefused(uint64_t number, size_t part, const JobAnswer &answer, Time now)
{
    Request &request = requests_.at(number);
    if (answer.isEvacuated) {
        Part &evacuated = request.parts[part];
        evacuated.refusedBy.push_back(evacuated.vm);
        ++evacuated.evacuated;
        offerPart(number, part, now);
        return;
    }
    // An answer without a retry-after time leaves that of the earlier ones.
    if (answer.retryAfter > Duration::zero()) {
        const bool isFirst = request.retryAfter <= Duration::zero();
        request.retryAfter =
                isFirst ? answer.retryAfter : std::min(request.retryAfter, answer.retryAfter);
    }
    Part &refused = request.parts[part];
    request.capabilities[refused.vm] = {answer.couldRun, answer.couldRunWithMargin};
    if (answer.wouldAccept
        && (refused.fallback.empty()
            || answer.couldRunWithMargin > refused.fallbackTasksWithMargin)) {
        refused.fallback = refused.vm;
        refused.fallbackTasksWithMargin = answer.couldRunWithMargin;
    }
    refused.refusedBy.push_back(refused.vm);
    offerPart(number, part, now);
}

void Router::onOfferUnsent(const std::string &vm, const JobTicket &ticket, Time now)
{
    Part *part = findOffer(vm, ticket);
    if (!part)
        return;
    if (requests_.at(ticket.number).isGivenUp) {
        onAnswerOfGivenUp(ticket.number, {ticket, JobResult::Refused, "unsent", {}});
        return;
    }
    part->refusedBy.push_back(vm);
    offerPart(ticket.number, ticket.part, now);
}

void Router::onVmLost(const std::string &vm, Time now)
{
    std::vector<uint64_t> numbers;
    for (const auto &[number, request] : requests_) {
        if (std::any_of(request.parts.begin(), request.parts.end(),
                        [&](const Part &part) { return part.vm == vm; }))
            numbers.push_back(number);
    }
    for (const uint64_t number : numbers) {
        withdrawOpenParts(requests_.at(number));
        respond(number, JobResult::Abandoned, "vm-lost", Duration::zero());
    }
}

// Pools answer before the deadline. Answering here at the deadline bounds the caller's wait if a
// pool does not.
void Router::tick(Time now)
{
    offerWaiting(now);
    withdrawUnanswered(now);
    std::vector<uint64_t> overdue;
    for (const auto &[number, request] : requests_) {
        if (now > request.arrived + request.offer.deadline)
            overdue.push_back(number);
    }
    for (const uint64_t number : overdue) {
        withdrawOpenParts(requests_.at(number));
        respond(number, JobResult::Abandoned, "deadline", Duration::zero());
    }
}

} // namespace lovage
