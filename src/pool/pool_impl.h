// Implementation of Pool. Its member functions are grouped into files by subject.
#pragma once

#include "health.h"
#include "jobs.h"
#include "leased_server.h"
#include "packing.h"
#include "run_time_model.h"
#include "slow_run.h"
#include "timetable.h"

#include <deque>
#include <unordered_map>

namespace lovage {

class Pool::Implementation
{
public:
    explicit Implementation(PoolOptions options)
        : options_(options), isEvacuationKnown_(!options.needsEvacuationState)
    { }

    // Servers and grants (pool_servers.cpp).
    void setServers(const std::vector<ServerInfo> &servers, Time now);
    void setGrants(const ShardGrants &grants, Time now);
    void onPollAnswered(const PollReply &reply, Time now);
    void sendDuePolls(Time now);
    void retryStopsAndDropLapsedRuns(Time now);

    // Orders (pool_orders.cpp).
    void onStartAnswered(const RunRef &ref, OrderResult result, ServerClock clock, Time now);
    void onStopAnswered(const RunRef &ref, OrderResult result, ServerClock clock, Time now);

    // Jobs (pool_jobs.cpp).
    void offer(JobOffer offer, Time now);
    void withdraw(const JobTicket &ticket, Time now);
    void withdrawAll(const std::string &vm, uint64_t exceptIncarnation, Time now);
    void renewLeases(const std::string &vm, uint64_t incarnation, const LeaseRenewal &renewal);
    void onPaused(Duration pause, const std::string &self, Time now);
    void dropOverdueJobs(Time now);
    void dropExpiredLeases(Time now);

    // Evacuation of the data centre (pool_evacuation.cpp).
    void setEvacuated(bool isEvacuated, Time now);
    void abandonEvacuatedJobs(Time now);
    // Returns whether new work is accepted.
    bool isOpenForWork() const { return isEvacuationKnown_ && !evacuatedAt_; }
    bool takesNewWork() const { return !isDraining_ && !isClosed_ && isOpenForWork(); }
    // Returns whether jobs that have started may start further tasks.
    bool mayContinueJobs(Time now) const;

    // Tasks of stored jobs (pool_stored.cpp).
    void expectStoredJobs(bool exist);
    void startBatch(TaskBatch batch, Time now);
    void stopJob(const StopJob &stop, Time now);
    void stopRunsOfKeeper(const std::string &vm, uint64_t exceptIncarnation, Time now);
    void updateKeeperEpoch(uint32_t partition, uint64_t epoch, Time now);
    void confirmOutcome(const std::string &task, uint32_t run, bool isSuperseded, Time now);
    void finishLeaseLapses(Time now);
    void pruneConfirmedRuns(Time now);
    void reportDueOutcomes(Time now);

    // Placement (pool_placement.cpp).
    void placeQueued(Time now);
    std::vector<ServiceLoad> load(Time now) const;

private:
    friend class Pool;

    using Server = pool::LeasedServer;
    using Job = pool::Job;
    using JobNumber = pool::JobNumber;
    using QueueKey = pool::QueueKey;

    // Speed of a service: the mean logarithm of the slowness of its servers, and the slowness of
    // its fastest server. A task is rejected as too long only if it is too long for the fastest
    // server.
    struct ServiceSpeed
    {
        double meanLogSlowness = 0;
        double minSlowness = 1;
    };
    // Forecast of when the last waiting task of a job starts and when the last one ends.
    struct ForecastSpan
    {
        Time lastStart;
        Time end;
        uint32_t inTime = 0;           // number of tasks that end in time
        uint32_t inTimeWithMargin = 0; // part of inTime that ends in time with some margin
    };
    // Cores of a server that the forecast has set aside for a waiting task.
    struct PlannedTask
    {
        size_t place = 0; // index in the timetable
        Demand demand;
        Time start;
        Time end;
    };
    struct PlannedJob
    {
        QueueKey key;
        std::vector<PlannedTask> tasks {};
        std::optional<ForecastSpan> span {}; // nullopt if the job cannot run here
    };
    // The expected course of the queue of a service. Forecasts share it, because its calculation
    // takes far longer than the placement of one more job.
    struct QueuePlan
    {
        Time madeAt {};
        uint64_t placementPass = 0;      // number of placement passes before it was made
        Duration maxAge {};              // age up to which it is used after a change
        pool::Timetable timetable {};    // without the waiting jobs
        std::vector<PlannedJob> jobs {}; // in the order of the queue
    };
    // Forecast for a new job in the queue.
    struct Forecast
    {
        std::optional<ForecastSpan> jobSpan {}; // nullopt if the job cannot run here
        // Whether an accepted job would miss its objective because of the new job.
        bool delaysAcceptedJobs = false;
        size_t position = 0; // place of the job in the plan
        // The job and the jobs behind it, as they are planned with it.
        std::vector<PlannedJob> replanned {};
    };

    ServiceSpeed speedOf(const std::string &service) const;
    ServiceSpeed calculateSpeed(const std::string &service) const;
    double rateOf(const std::string &service, Time now) const;

    // Forecasts (pool_forecast.cpp).
    Forecast forecast(const Job &job, Time now);
    const QueuePlan &planOf(const std::string &service, Time now);
    QueuePlan makePlan(const std::string &service, Time now);
    void insertIntoPlan(const std::string &service, Forecast forecast);
    // Drops what is derived from the set of servers and refers to them.
    void forgetPlans();
    PlannedJob simulate(const QueueKey &key, const Job &job, pool::Timetable &timetable,
                        Time now) const;
    bool isLate(const Job &job, const ForecastSpan &span, Time now) const;

    void applyGrant(Server &server, Time now);
    void logRunOver(const Server &server, const std::string &task, const pool::Run &run,
                    std::string_view cause, Time now);
    void onNewIncarnation(Server &server, const PollReply &list, Time now);
    template<class Predicate>
    void endRuns(Server &server, Predicate hasEnded, std::string_view cause, Time now);
    void endReplacedRuns(Server &server, const std::string &address, Time sentAt, Time now);
    void delayOrders(Server &server, Time now);
    void onServerLost(Server &server, std::string_view cause, Time now);
    Time leaseEndsBy(const Server &server) const;
    bool isPlaceable(const Server &server, Time now) const;
    void sendPoll(Server &server, Time now);
    void sendStop(Server &server, const std::string &task, pool::Run &run, Time now);
    void onPollFailed(Server &server, OrderResult result, Time now);
    void reconcile(Server &server, const PollReply &reply, Time sentAt, Time now);
    void onRunListed(Server &server, const RunningRow &row, pool::Run &run, Time now);
    void stopForeignRun(Server &server, const std::string &task, uint32_t run, Time now);
    void onRunEnded(Server &server, const EndedRow &row, Time now);
    void checkProgress(Server &server, const RunningRow &row, pool::Run &run, Time now);
    static pool::ListedTime listedTime(const Server &server, const pool::Run &run, Time now);
    pool::SlowRunEvidence serverEvidence(const Server &server, const pool::Run &run,
                                         const std::string &queue, Duration predicted,
                                         const pool::Projection &total, Time now) const;
    pool::SlowRunEvidence slowRunEvidence(const Server &server, const pool::Run &run,
                                          const Job &job, const pool::Projection &total,
                                          Time now) const;
    void handleSlowRun(Server &server, pool::Run &run, Job &job, const pool::Projection &total,
                       Duration elapsed, Time now);
    void learnFromSlowRun(Server &server, pool::Run &run, Job &job,
                          const pool::SlowRunDecision &decision, Duration total);
    void learnFromSuccess(Server &server, const pool::Run &run, const std::string &queue,
                          Duration declared, uint32_t tasks, const pool::SlowRunEvidence &evidence,
                          Time now);
    void confirmServerFault(const std::string &serverId, Time now);
    void moveRun(Server &server, const std::string &task, pool::Run &run, std::string_view cause,
                 Time now);
    void onRunSucceeded(Server &server, const pool::Run &run, Time now);
    void onRunFailed(Server &server, const pool::Run &run, Time now);
    void onStartRefused(Server &server, const RunRef &ref, OrderResult result, Time now);
    void requireList(Server &server, std::string_view cause, Time now);
    void noteClock(Server &server, ServerClock clock, Time orderSentAt, Time now);

    // Puts the task of a run that is over back into the queue. For a stored job, reports the
    // outcome to its keeper instead.
    void requeue(const std::string &task, const pool::Run &run, Time now);
    Job *activeJobOf(const pool::Run &run);

    void admit(Job job, Forecast forecast, Time now);
    void completeTask(Job &job, size_t task, Time now);
    void answer(Job &job, JobResult result, std::string reason, Time now,
                Duration retryAfter = Duration::zero());
    void logAnswered(const Job &job, JobResult result, std::string_view reason, Time now);
    void logGivenUp(const Job &job, std::string_view cause, Duration predicted,
                    std::string_view evidence, Time now);
    void removeJob(JobNumber number, Time now);
    void stopRunsOf(JobNumber number, Time now);
    Time giveUpTime(const Job &job) const;
    Time runsEndBy(const Job &job) const;
    // Refuses an offer that was read too late. Returns false if it was not.
    bool refuseLate(Job &job, Duration waited, Time now);
    // Returns whether a job with this id is open for another request.
    bool isDuplicate(const JobOffer &offer) const;
    void withdrawUnanswered(const JobTicket &ticket, Time offeredAt, Time now);
    // Records the answer to an accepted offer, which may be lost on its way.
    void settle(const JobOffer &offer, const JobAnswer &answer, Time now);
    // Repeats the answer to an offer that was settled. Returns false if it was not.
    bool repeatAnswer(const JobTicket &ticket);
    void pruneSettledOffers(Time now);
    bool hasLeftoverRuns(const std::string &jobId) const;
    bool hasRuns(const std::string &task) const;
    void logEvent(std::string event, const std::string &job, std::string details);

    // Share of a forecast wait that is added to it to allow for errors.
    double waitError_ = 0.5;
    // Sizes of the tasks that were offered recently, by service.
    std::map<std::string, pool::TaskSizes> sizes_;

    // A server that may run the tasks of a step, and what a task there would mean.
    struct PlaceOption
    {
        size_t place = 0; // index in the timetable
        Duration run {};  // expected run time there
        Time start {};    // earliest start there
        bool isUsable = false;
    };
    // The options of the tasks of one step that differ in their index only. The options of a server
    // change when a task is placed there.
    struct StepPlaces
    {
        const Job *job = nullptr;
        uint32_t step = 0;
        double margin = 1; // factor of the run time that leaves a margin for its error
        std::vector<PlaceOption> options {};
    };
    // A server, and the times at which a task would start and end there.
    struct Choice
    {
        size_t option = 0; // index in StepPlaces::options
        size_t place = 0;  // index in the timetable
        Time start;
        Time end;
    };

    pool::Timetable makeTimetable(const std::string &service, Time now);
    std::vector<pool::ServerTimetable *> planBatch(const TaskBatch &batch, Duration predicted,
                                                   pool::Timetable &timetable, Time now) const;
    bool stopEarlierRuns(const std::string &task, uint32_t before, Time now);
    void orderStoredRun(Server &server, const TaskBatch &batch, const TaskStart &start,
                        Duration predicted, Time now);
    void orderRun(Server &server, const std::string &task, pool::Run run, std::string payload,
                  std::string checkpoint, Time now);
    void onStoredRunEnded(Server &server, const pool::Run &run, const EndedRow &row, Time now);
    void queueOutcome(TaskOutcome outcome, Time now);
    // Returns whether the run is in progress in this pool or was until recently.
    bool isKnownRun(const std::string &task, uint32_t run);
    void queueLostOutcome(const std::string &task, const pool::Run &run, Time now);
    template<class Predicate>
    void stopStoredRuns(Predicate matches, Time now);

    // A run that is to be stopped and started on another server.
    struct Move
    {
        Server *server = nullptr;
        std::string task;
        pool::Run *run = nullptr;
        const Job *job = nullptr;
    };
    std::vector<Move> movesOf(const std::string &service, Time now);
    std::vector<Move> reserveForMoves(const std::vector<Move> &moves, pool::Timetable &timetable,
                                      Time now) const;
    void moveSlowRun(const Move &move, Time now);
    bool isWorthMoving(const Move &move, Duration needed, Time now) const;

    // `hasRun` is whether the task may have a run on some server.
    PlaceOption optionOf(const Job &job, const pool::Task &task, bool hasRun,
                         const pool::ServerTimetable &place, Time now) const;
    void findPlaces(const Job &job, const pool::Task &task, const pool::Timetable &timetable,
                    StepPlaces &places, Time now) const;
    std::optional<Choice> choosePlace(const Job &job, const pool::Task &task,
                                      const pool::Timetable &timetable, StepPlaces &places,
                                      Time now) const;
    // Reserves the chosen place. `places` are those from which it was chosen.
    void reserve(const Job &job, const pool::Task &task, const Choice &choice,
                 pool::Timetable &timetable, StepPlaces &places, Time now) const;
    struct PlacementResult
    {
        bool isComplete = true; // whether no task is left in the queue
        Time expectedEnd {};    // latest expected end of the tasks that were queued
    };
    bool hasRoomForAny(const std::string &service, const std::vector<QueueKey> &keys,
                       Time now) const;
    PlacementResult placeJob(Job &job, pool::Timetable &timetable, Time now);
    double optimisticFactor(const Job &job) const;
    Time conservativeEnd(const Job &job, Time start, Time end, Time now) const;
    Time likelyEnd(const Job &job, Time start, Time end, Time now) const;
    // Returns whether a task with this predicted run time can end by `limit` on the fastest server,
    // assuming the optimistic run time that one task in three stays below.
    bool canEndBy(const Job &job, Duration predicted, Time limit, Time now) const;
    static bool isAllowed(const Server &server, const Step &step, const std::string &task);
    void orderTask(Server &server, Job &job, size_t task, Time now);

    PoolOptions options_;
    std::vector<PoolAction> actions_;
    std::vector<PoolLogEntry> logEntries_;
    PoolCounters counters_;
    Duration inputLag_ {};
    bool isDraining_ = false;
    bool isClosed_ = false;           // whether jobs are refused because the shards are given up
    Time startsHeldUntil_ {};         // no task is started before this time
    bool isEvacuationKnown_;          // whether the state of evacuation is known or not needed
    std::optional<Time> evacuatedAt_; // begin of the evacuation in force

    std::map<std::string, Server> servers_; // servers of this data centre, by id
    // Speeds that were calculated since the latest change. Each takes a scan of all servers.
    mutable std::map<std::string, ServiceSpeed> speeds_;
    std::map<std::string, QueuePlan> plans_; // by service
    uint64_t placementPasses_ = 0;
    pool::RunTimeModel model_;
    ShardGrants grants_;
    std::unordered_map<JobNumber, Job> jobs_;
    std::map<JobTicket, JobNumber> jobsByTicket_;
    // Numbers of the jobs with each id. An id has several jobs if this pool runs several parts.
    std::multimap<std::string, JobNumber> jobsById_;
    JobNumber nextJobNumber_ = 1;
    // Answers to the offers from other VMs that were accepted or withdrawn recently, and the times
    // at which they are forgotten, in ascending order.
    std::map<JobTicket, JobAnswer> settledOffers_;
    std::deque<std::pair<Time, JobTicket>> settledUntil_;
    // No lease of a job ends before this time.
    Time earliestLeaseEnd_ = Time::max();

    // An outcome that the keeper has not confirmed, and the end of the run, which is acknowledged
    // to the server after the confirmation.
    struct PendingOutcome
    {
        TaskOutcome outcome;
        std::string server {};
        uint64_t incarnation = 0;
        uint64_t end = 0; // number under which the server lists the end of the run; 0: none
        Time nextReportAt {};
    };
    using RunKey = std::pair<std::string, uint32_t>; // text form of the task name; run number
    std::map<RunKey, PendingOutcome> outcomes_;
    // Recently confirmed runs, which a late batch must not start again, with their expiry.
    std::map<RunKey, Time> confirmedRuns_;
    // Highest epoch of a keeper that is known for each partition of the journal. Batches and stops
    // from keepers with a lower epoch are not executed.
    std::map<uint32_t, uint64_t> keeperEpochs_;
    bool expectsStoredJobs_ = true;
    bool isPlacementDue_ = false;
    // Whether the next placement pass includes the services without room for any waiting task, to
    // refuse the jobs that will not end in time.
    bool isReviewDue_ = false;
};

} // namespace lovage
