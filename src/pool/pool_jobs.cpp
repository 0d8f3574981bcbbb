// Jobs of a pool: admission, completion and abandonment.
#include "durations.h"
#include "pool_impl.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace lovage {

using pool::Run;
using pool::RunState;
using pool::scaled;
using pool::Task;
using pool::TaskState;

namespace {

// A forecast wait may be too short, because runs take longer than predicted and more urgent jobs
// arrive. The share that is added to it grows with each accepted job that is refused after waiting
// and shrinks with each job that had to wait and still met its objective. The ratio of the two
// steps lets one in a hundred of these jobs be refused late: a late refusal costs the caller the
// time that it waited, and goodput under overload does not suffer from this low ratio.
constexpr double minWaitError = 0.2;
constexpr double maxWaitError = 1.5;
constexpr double waitErrorRise = 0.05;
constexpr double waitErrorFall = waitErrorRise / 100;

// Minimum retry-after time of a refused job.
constexpr Duration minRetryAfter = std::chrono::seconds(1);
// Time for reading the messages that other VMs and callers sent during a pause.
constexpr Duration startDelayAfterPause = std::chrono::milliseconds(50);

// An offer that waited for less than this is not checked for lateness before the forecast, because
// a VM that is in time handles every message sooner.
constexpr Duration minLateWait = std::chrono::milliseconds(20);

// Returns the time for which an offer was on its way and unread.
Duration waitOf(const JobOffer &offer, Time now)
{
    return offer.timing ? std::max(now - offer.timing->offeredAt, Duration::zero())
                        : Duration::zero();
}

double toMillis(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

} // namespace

void Pool::Implementation::logEvent(std::string event, const std::string &job, std::string details)
{
    logEntries_.push_back({std::move(event), job, std::move(details)});
}

// Returns the time by which a job must end: its deadline, or if earlier the late limit after
// which the result is no longer worth the capacity.
Time Pool::Implementation::giveUpTime(const Job &job) const
{
    const Time lateLimit = job.submittedAt + scaled(job.objective(), options_.lateLimitFactor);
    return std::min(job.deadlineAt, lateLimit);
}

void Pool::Implementation::offer(JobOffer offer, Time now)
{
    ++counters_.offered;
    const Duration waited = waitOf(offer, now);
    offer.elapsed += waited;
    offer.deadline -= waited;
    Job job = pool::makeJob(nextJobNumber_++, std::move(offer), model_, now);
    const std::string &id = job.offer.job.id;
    if (isDraining_ || isClosed_ || now < startsHeldUntil_) {
        const char *reason = isDraining_ ? "draining" : isClosed_ ? "shards-given-up" : "paused";
        answer(job, JobResult::Refused, reason, now);
        return;
    }
    if (repeatAnswer(job.offer.ticket))
        return; // the offer was withdrawn before it arrived
    if (isDuplicate(job.offer) || hasLeftoverRuns(id)) {
        // The caller resubmits the job because it lost its connection. The runs of the first
        // submission may not have ended yet, so new runs could overlap with them.
        logEvent("job-repeated", id, fmt::format("vm={}", job.offer.ticket.vm));
        answer(job, JobResult::Abandoned, "already-open", now);
        return;
    }
    if (!isOpenForWork()) {
        answer(job, JobResult::Refused, evacuatedAt_ ? "evacuated" : "evacuations-unknown", now);
        return;
    }
    if (now >= job.leaseUntil) {
        // The offer was delayed, and its caller may have sent the job again.
        logEvent("job-refused", id,
                 fmt::format("queue={} cause=stale-offer vm={} expired_ms={:.0f}", job.offer.queue,
                             job.offer.ticket.vm, toMillis(now - job.leaseUntil)));
        answer(job, JobResult::Refused, "stale-offer", now);
        return;
    }
    if (refuseLate(job, waited, now))
        return;
    for (const Step &step : job.offer.job.steps) {
        if (step.demand.milliCores > 0)
            sizes_[job.offer.service].record(step.demand.milliCores, step.count);
    }
    Forecast forecast = this->forecast(job, now);
    if (!forecast.jobSpan) {
        logEvent("job-refused", id, fmt::format("queue={} cause=no-server", job.offer.queue));
        answer(job, JobResult::Refused, "no-server", now, minRetryAfter);
        return;
    }
    admit(std::move(job), std::move(forecast), now);
}

// Returns whether the job has to wait and would then probably end too late.
bool Pool::Implementation::isLate(const Job &job, const ForecastSpan &span, Time now) const
{
    // The span covers only the queued steps. Later steps add the rest of the critical path.
    const Time end = span.end + (job.criticalPathTime - pool::longestQueuedRunTime(job));
    const Time target = std::min(job.objectiveAt, job.deadlineAt);
    return span.lastStart > now && likelyEnd(job, span.lastStart, end, now) > target;
}

// Refuses without a forecast, whose cost would put a VM that is behind further behind.
bool Pool::Implementation::refuseLate(Job &job, Duration waited, Time now)
{
    if (waited < minLateWait)
        return false;
    const bool isOverdue = job.offer.timing && waited >= job.offer.timing->answerWithin;
    if (!isOverdue && canEndBy(job, job.criticalPathTime, giveUpTime(job), now))
        return false;
    ++counters_.offersLate;
    logEvent("job-refused", job.offer.job.id,
             fmt::format("queue={} cause=late-offer vm={} waited_ms={:.0f} overdue={}",
                         job.offer.queue, job.offer.ticket.vm, toMillis(waited), isOverdue));
    answer(job, JobResult::Refused, "late-offer", now);
    return true;
}

// Accepts the job if it is forecast to be in time and to delay no accepted job beyond its
// objective. A job that can start immediately is accepted even if it is predicted to be late,
// because predictions are often wrong and no other job needs the capacity.
void Pool::Implementation::admit(Job job, Forecast forecast, Time now)
{
    const ForecastSpan span = *forecast.jobSpan;
    const Time end = span.end + (job.criticalPathTime - pool::longestQueuedRunTime(job));
    const Duration wait = span.lastStart - now;
    const bool isLate = this->isLate(job, span, now);
    const bool delaysAcceptedJobs = forecast.delaysAcceptedJobs;
    const std::string inputs = fmt::format(
            "queue={} tasks={} wait_ms={:.0f} end_ms={:.0f} objective_ms={:.0f} deadline_ms={:.0f}",
            job.offer.queue, job.tasks.size(), toMillis(wait), toMillis(end - now),
            toMillis(job.objective()), toMillis(job.offer.deadline));
    const bool isUncertain = !job.offer.isLastOffer && span.inTimeWithMargin < job.queued;
    if (isLate || delaysAcceptedJobs || isUncertain) {
        logEvent("job-refused", job.offer.job.id,
                 fmt::format("{} could_run={} surely={} cause={}", inputs, span.inTime,
                             span.inTimeWithMargin,
                             isLate                       ? "backlog"
                                     : delaysAcceptedJobs ? "would-delay-accepted-jobs"
                                                          : "uncertain"));
        ++counters_.refused;
        actions_.emplace_back(JobAnswer {job.offer.ticket, JobResult::Refused, "backlog",
                                         std::max(wait, minRetryAfter), span.inTime,
                                         span.inTimeWithMargin, !isLate && !delaysAcceptedJobs});
        return;
    }
    logEvent("job-accepted", job.offer.job.id,
             fmt::format("vm={} number={} part={} {}", job.offer.ticket.vm, job.offer.ticket.number,
                         job.offer.ticket.part, inputs));
    if (job.offer.timing)
        actions_.emplace_back(OfferAccepted {job.offer.ticket});
    job.hadToWait = wait > Duration::zero();
    insertIntoPlan(job.offer.service, std::move(forecast));
    jobsByTicket_.emplace(job.offer.ticket, job.number);
    jobsById_.emplace(job.offer.job.id, job.number);
    earliestLeaseEnd_ = std::min(earliestLeaseEnd_, job.leaseUntil);
    jobs_.emplace(job.number, std::move(job));
    isPlacementDue_ = true;
}

bool Pool::Implementation::isDuplicate(const JobOffer &offer) const
{
    const auto [begin, end] = jobsById_.equal_range(offer.job.id);
    return std::any_of(begin, end, [&](const auto &entry) {
        // Parts of one request differ in their part, and so in the numbers of their offers.
        JobTicket other = jobs_.at(entry.second).offer.ticket;
        if (other.part == offer.ticket.part)
            return true;
        other.part = offer.ticket.part;
        other.offer = offer.ticket.offer;
        return other != offer.ticket;
    });
}

// Returns whether a server may still run a task of a job with this id that is no longer open.
bool Pool::Implementation::hasLeftoverRuns(const std::string &jobId) const
{
    const std::string prefix = jobId + ".";
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto &entry) {
        const auto &runs = entry.second.runs();
        for (auto run = runs.lower_bound(prefix);
             run != runs.end() && run->first.starts_with(prefix); ++run) {
            if (!jobs_.contains(run->second.job))
                return true;
        }
        return false;
    });
}

void Pool::Implementation::answer(Job &job, JobResult result, std::string reason, Time now,
                                  Duration retryAfter)
{
    switch (result) {
    case JobResult::Completed:
        ++counters_.completed;
        if (job.hadToWait && now <= job.objectiveAt)
            waitError_ = std::max(minWaitError, waitError_ - waitErrorFall);
        break;
    case JobResult::Failed:
        ++counters_.failed;
        break;
    case JobResult::Refused:
        ++counters_.refused;
        // A refusal guarantees to the caller that the job has not run and never will.
        LOVAGE_ASSERT_INVARIANT(Promise::TrueNotRun, !job.hasStarted, job.offer.job.id);
        if (job.hadToWait && !evacuatedAt_)
            waitError_ = std::min(maxWaitError, waitError_ + waitErrorRise);
        break;
    case JobResult::Abandoned:
        ++counters_.abandoned;
        break;
    }
    JobAnswer answer {job.offer.ticket, result, std::move(reason), retryAfter};
    answer.isEvacuated = result == JobResult::Refused && evacuatedAt_;
    if (jobs_.contains(job.number)) {
        logAnswered(job, result, answer.reason, now);
        settle(job.offer, answer, now);
    }
    actions_.emplace_back(std::move(answer));
    removeJob(job.number, now);
}

void Pool::Implementation::logAnswered(const Job &job, JobResult result, std::string_view reason,
                                       Time now)
{
    const Duration started = job.hasStarted ? job.lastFirstStart - job.arrivedAt : Duration::zero();
    logEvent(
            "job-answered", job.offer.job.id,
            fmt::format("result={} reason={} after_ms={:.0f} objective_ms={:.0f} left_ms={:.0f} "
                        "tasks={} done={} waiting={} moves={} started_ms={:.0f} declared_ms={:.0f} "
                        "predicted_ms={:.0f} longest_ms={:.0f}",
                        toString(result), reason, toMillis(now - job.arrivedAt),
                        toMillis(job.objective()), toMillis(job.deadlineAt - now), job.tasks.size(),
                        job.tasks.size() - job.remaining, job.queued, job.moves, toMillis(started),
                        toMillis(criticalPath(job.offer.job)), toMillis(job.criticalPathTime),
                        toMillis(job.longestRun)));
}

// Logs the evidence for giving a job up before its deadline.
void Pool::Implementation::logGivenUp(const Job &job, std::string_view cause, Duration predicted,
                                      std::string_view evidence, Time now)
{
    logEvent("job-given-up", job.offer.job.id,
             fmt::format(
                     "cause={} predicted_ms={:.0f} fastest={:.2f} deviation={:.2f} left_ms={:.0f} "
                     "waiting={} active={}{}{}",
                     cause, toMillis(predicted), speedOf(job.offer.service).minSlowness,
                     model_.deviation(job.offer.queue), toMillis(job.deadlineAt - now), job.queued,
                     job.active, evidence.empty() ? "" : " ", evidence));
}

void Pool::Implementation::removeJob(JobNumber number, Time now)
{
    const auto found = jobs_.find(number);
    if (found == jobs_.end())
        return;
    stopRunsOf(number, now);
    jobsByTicket_.erase(found->second.offer.ticket);
    const auto [begin, end] = jobsById_.equal_range(found->second.offer.job.id);
    jobsById_.erase(
            std::find_if(begin, end, [&](const auto &entry) { return entry.second == number; }));
    jobs_.erase(found);
    isPlacementDue_ = true;
}

// Returns the time by which the runs of the job must have ended if its lease is not renewed.
Time Pool::Implementation::runsEndBy(const Job &job) const
{
    if (job.leaseUntil == Time::max())
        return Time::max();
    return job.leaseUntil + options_.resubmission.stopAllowance();
}

void Pool::Implementation::stopRunsOf(JobNumber number, Time now)
{
    const Job &job = jobs_.at(number);
    if (job.active == 0)
        return;
    for (auto &[id, server] : servers_) {
        for (auto &[task, run] : server.runs()) {
            if (run.job != number)
                continue;
            run.endBy = std::min(runsEndBy(job), now + options_.resubmission.runLimit());
            if (run.state != RunState::Stopping)
                sendStop(server, task, run, now);
        }
    }
}

void Pool::Implementation::withdraw(const JobTicket &ticket, Time now)
{
    const auto found = jobsByTicket_.find(ticket);
    if (found == jobsByTicket_.end()) {
        // The job has ended, or the offer has not arrived yet and will start work that nobody
        // needs.
        logEvent("withdrawal-without-job", {},
                 fmt::format("vm={} number={} part={}", ticket.vm, ticket.number, ticket.part));
        return;
    }
    const Job &job = jobs_.at(found->second);
    logEvent("job-withdrawn", job.offer.job.id,
             fmt::format("vm={} after_ms={:.0f} begun={}", ticket.vm, toMillis(now - job.arrivedAt),
                         job.hasStarted));
    const JobResult result = job.hasStarted ? JobResult::Abandoned : JobResult::Refused;
    const JobAnswer answer {ticket, result, "withdrawn", Duration::zero()};
    settle(job.offer, answer, now);
    actions_.emplace_back(answer);
    removeJob(found->second, now);
}

void Pool::Implementation::withdrawAll(const std::string &vm, uint64_t exceptIncarnation, Time now)
{
    std::vector<JobTicket> tickets;
    for (const auto &[ticket, number] : jobsByTicket_) {
        if (ticket.vm == vm && (exceptIncarnation == 0 || ticket.incarnation != exceptIncarnation))
            tickets.push_back(ticket);
    }
    for (const JobTicket &ticket : tickets)
        withdraw(ticket, now);
    stopRunsOfKeeper(vm, exceptIncarnation, now);
}

void Pool::Implementation::renewLeases(const std::string &vm, uint64_t incarnation,
                                       const LeaseRenewal &renewal)
{
    for (const uint64_t number : renewal.requests) {
        const auto firstPart = jobsByTicket_.lower_bound({vm, incarnation, number, 0});
        const auto end = jobsByTicket_.lower_bound({vm, incarnation, number + 1, 0});
        for (auto part = firstPart; part != end; ++part) {
            Job &job = jobs_.at(part->second);
            job.leaseUntil = std::max(job.leaseUntil, renewal.lease.until);
        }
    }
}

// Gives up the jobs whose leases were not renewed: the connection to the VM with their callers is
// broken, the VM has failed, or it no longer has the requests.
void Pool::Implementation::dropExpiredLeases(Time now)
{
    if (now < earliestLeaseEnd_)
        return;
    std::vector<JobNumber> expired;
    earliestLeaseEnd_ = Time::max();
    for (const auto &[number, job] : jobs_) {
        if (now >= job.leaseUntil)
            expired.push_back(number);
        else
            earliestLeaseEnd_ = std::min(earliestLeaseEnd_, job.leaseUntil);
    }
    for (const JobNumber number : expired) {
        Job &job = jobs_.at(number);
        ++counters_.leasesExpired;
        logEvent("job-lease-expired", job.offer.job.id,
                 fmt::format("vm={} number={} expired_ms={:.0f} begun={}", job.offer.ticket.vm,
                             job.offer.ticket.number, toMillis(now - job.leaseUntil),
                             job.hasStarted));
        answer(job, job.hasStarted ? JobResult::Abandoned : JobResult::Refused, "lease-expired",
               now);
    }
}

void Pool::Implementation::onPaused(Duration pause, const std::string &self, Time now)
{
    startsHeldUntil_ = now + startDelayAfterPause;
    if (pause < options_.peerTimeout)
        return;
    std::set<std::string> vms;
    for (const auto &[ticket, number] : jobsByTicket_)
        vms.insert(ticket.vm);
    for (const auto &[id, server] : servers_) {
        for (const auto &[task, run] : server.runs()) {
            if (run.stored)
                vms.insert(run.stored->keeper.vm);
        }
    }
    vms.erase(self);
    for (const std::string &vm : vms)
        withdrawAll(vm, 0, now);
}

bool Pool::Implementation::canEndBy(const Job &job, Duration predicted, Time limit, Time now) const
{
    const double factor = speedOf(job.offer.service).minSlowness * optimisticFactor(job);
    return now + scaled(predicted, factor) <= limit;
}

// Returns the share of the prediction that one task in three stays below.
double Pool::Implementation::optimisticFactor(const Job &job) const
{
    constexpr double deviations = 0.4;
    return std::exp(-deviations * model_.deviation(job.offer.queue));
}

// Returns the forecast end, corrected for the errors of the wait and of the run time. The run time
// is corrected downwards, because an attempt is worthwhile as long as it succeeds about half the
// time.
Time Pool::Implementation::likelyEnd(const Job &job, Time start, Time end, Time now) const
{
    return start + scaled(start - now, waitError_) + scaled(end - start, optimisticFactor(job));
}

// Returns the forecast end, corrected for the errors of the wait and of the run time. The run time
// is corrected upwards, so that two tasks in three end before the returned time.
Time Pool::Implementation::conservativeEnd(const Job &job, Time start, Time end, Time now) const
{
    return start + scaled(start - now, waitError_) + scaled(end - start, 1 / optimisticFactor(job));
}

// Answers jobs that are past their deadline or can no longer end in time.
void Pool::Implementation::dropOverdueJobs(Time now)
{
    std::vector<JobNumber> overdue;
    for (const auto &[number, job] : jobs_) {
        const Time limit = job.hasStarted ? job.deadlineAt : giveUpTime(job);
        const bool isUnachievable =
                job.queued > 0 && !canEndBy(job, pool::longestQueuedRunTime(job), limit, now);
        if (now >= job.deadlineAt || isUnachievable)
            overdue.push_back(number);
    }
    for (const JobNumber number : overdue) {
        Job &job = jobs_.at(number);
        const bool isPredicted = now < job.deadlineAt;
        if (isPredicted)
            logGivenUp(job, "prediction", pool::longestQueuedRunTime(job), {}, now);
        if (job.hasStarted)
            answer(job, JobResult::Abandoned, isPredicted ? "cannot-end-in-time" : "deadline", now);
        else
            answer(job, JobResult::Refused, "no-room-in-time", now, minRetryAfter);
    }
}

void Pool::Implementation::completeTask(Job &job, size_t task, Time now)
{
    Task &done = job.tasks[task];
    done.state = TaskState::Done;
    --job.active;
    --job.remaining;
    if (--job.unfinished[done.step] == 0 && pool::releaseSteps(job) > 0)
        isPlacementDue_ = true;
    if (job.remaining == 0)
        answer(job, JobResult::Completed, "done", now);
}

void Pool::Implementation::requeue(const std::string &task, const Run &run, Time now)
{
    if (run.stored) {
        // An order without an answer may be executed late, also by a new process of the server.
        queueOutcome({task, run.number,
                      run.isRefused ? TaskOutcome::Kind::NotStarted : TaskOutcome::Kind::Lost,
                      RunEnd::Lapsed, run.checkpoint},
                     now);
        return;
    }
    Job *job = activeJobOf(run);
    if (!job)
        return;
    job->tasks[run.task].state = TaskState::Queued;
    --job->active;
    ++job->queued;
    isPlacementDue_ = true;
}

} // namespace lovage
