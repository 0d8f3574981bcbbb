// Implementation of Dispatcher. The member functions are grouped by topic in the engine_*.cpp
// files.
#pragma once

#include "work.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <unordered_map>

namespace lovage {

class Dispatcher::Engine
{
public:
    Engine(DispatcherOptions options, Ledger ledger, Placement placement, Admission admission,
           Time started);

    void handle(Event event, Time now);
    std::vector<Action> takeActions(Time now);
    Time nextWake(Time now);

    DispatcherState state() const { return state_; }
    bool isFenced() const { return isFenced_; }
    size_t inFlight() const { return unanswered_; }
    const DispatchCounters &counters() const { return counters_; }
    ServerFaults faultsOf(const std::string &server) const;
    const Ledger &ledger() const { return ledger_; }
    Placement &placement() { return placement_; }
    Admission &admission() { return admission_; }
    PeerCapacity advertisedCapacity(Time now);

private:
    using Submission = dispatch::Submission;
    using Task = dispatch::Task;
    using TaskRef = dispatch::TaskRef;
    using Server = dispatch::Server;
    using Batch = dispatch::Batch;
    using AttemptEvent = dispatch::AttemptEvent;

    // The submission and index of a task. The submission is null if the task or attempt is unknown.
    struct TaskLocation
    {
        Submission *submission = nullptr;
        uint32_t index = 0;

        explicit operator bool() const { return submission != nullptr; }
        Task &task() const { return submission->tasks[index]; }
    };

    // Result of an attempt to start a queued task: the task leaves the queue, or it is queued again
    // because no task of its class or owner can start at present.
    enum class StartResult { Dequeued, ClassBlocked, OwnerBlocked };

    // engine.cpp: timers and pauses
    void advanceTime(Time now);
    void onPause(Duration gap, Time now);
    void onSubmissionTimer(Submission &submission, Time now);
    bool mayStart(Time now) const;

    // engine_submit.cpp: requests of callers
    void on(OpenRequested &event, Time now);
    void on(SubmitRequested &event, Time now);
    void on(CancelRequested &event, Time now);
    void on(QueryRequested &event, Time now);
    void on(ForwardReplied &event, Time now);
    void on(ForwardLost &event, Time now);
    void startSubmission(const SubmissionId &id, SubmitRequested &event, Time now);
    Result<TaskRequirements> checkSubmission(const SubmitRequested &event, Time &deadline,
                                             Time now);
    void refuse(const Origin &origin, const SubmissionId &id, Error error);
    void complete(const Origin &origin, const SubmissionId &id, OutcomePtr outcome);
    void addWaiter(const SubmissionId &id, const Origin &origin);
    bool mayForward(const Origin &origin) const;
    uint64_t addForward(const Origin &origin, const SubmissionId &id, Time until);
    void failForward(uint64_t forward);

    // engine_start.cpp: starting queued tasks
    void startQueuedTasks(Time now);
    StartResult tryStart(QueuedTask &queued, Time now);
    void send(Submission &submission, uint32_t index, uint32_t server, Time now);
    Batch &openBatch(uint32_t server, const Submission &submission, Time now);
    void flush(Time now);
    void dropStoppedTasks(Batch &batch, Time now);
    void flushStarts(Batch &batch);
    void flushLend(Batch &batch);
    void enqueue(Submission &submission, uint32_t index, Time now);

    // engine_result.cpp: results of attempts and submissions
    bool apply(Task &task, AttemptEvent event);
    void endAttempt(Submission &submission, Task &task, AttemptOutcome outcome, Duration runTime,
                    bool wasNotRun, Time now);
    void onAccepted(Submission &submission, uint32_t index, Time now);
    void onNotRun(Submission &submission, uint32_t index, AttemptOutcome outcome, Time now);
    void onDone(Submission &submission, uint32_t index, TaskReply &reply, Time now);
    void onFailed(Submission &submission, uint32_t index, AttemptOutcome outcome, TaskReply &reply,
                  Error error, bool mayRetry, Time now);
    void onMayHaveRun(Submission &submission, uint32_t index, Error error, Time now);
    bool retry(Submission &submission, uint32_t index, Time now);
    void beginAttempt(Task &task);
    void markStarted(Submission &submission, Task &task);
    void succeed(Submission &submission, Time now);
    void abort(Submission &submission, Error cause, bool awaitsStops, Time now);
    void tryFinishAborted(Submission &submission, Time now);
    void answerFailure(Submission &submission, Time now);
    void answerWaiters(Submission &submission, const OutcomePtr &outcome, Time now);
    void setTimer(Submission &submission, Time at);
    void eraseSubmission(Submission &submission);

    // engine_reply.cpp: replies of servers and peers
    void on(StartReplied &event, Time now);
    void on(StartLost &event, Time now);
    void on(TaskFinished &event, Time now);
    void on(InquiryReplied &event, Time now);
    void on(InquiryLost &event, Time now);
    void on(LeaseLapsed &event, Time now);
    void on(LendReplied &event, Time now);
    void on(LendLost &event, Time now);
    void on(LendFinished &event, Time now);
    void on(LendInquiryReplied &event, Time now);
    void on(LendInquiryLost &event, Time now);
    void startReplied(uint32_t server, uint64_t exchange, uint64_t instance,
                      std::vector<TaskReply> &results, Time now);
    void startLost(uint32_t server, uint64_t exchange, bool wasSent, Time now);
    void inquiryReplied(uint32_t server, uint64_t exchange, uint64_t instance,
                        std::vector<TaskReply> &results, Time now);
    void inquiryLost(uint32_t server, uint64_t exchange, Time now);
    void applyReply(uint32_t server, uint64_t instance, TaskReply &reply, Time now);
    void onStopped(Submission &submission, uint32_t index, TaskReply &reply, Time now);
    void onUnknown(Submission &submission, uint32_t index, uint64_t instance, Time now);
    TaskLocation locate(const TaskId &id);
    TaskLocation locate(const TaskRef &ref);
    bool mayHaveBeenSent(const TaskId &id) const;
    bool isKnownNotRun(const TaskId &id) const;
    bool isExpected(const TaskLocation &found, uint32_t server, const TaskReply &reply);

    // engine_inquiry.cpp: inquiries, stops and servers
    void startInquiry(Submission &submission, uint32_t index, Time now);
    void requestStop(Submission &submission, uint32_t index, Time now);
    void processServers(Time now);
    void processServer(uint32_t server, Time now);
    void sendInquiries(Server &server, bool stops, Time now);
    bool closeInquiry(Server &server, uint64_t exchange);
    void backOff(Server &server, Time now);
    void checkLent(Server &server, Time now);
    void scheduleFirstInquiry(uint32_t server, Time now);
    void updateInstance(uint32_t server, uint64_t instance, Time now);
    void startInquiries(uint32_t server, uint64_t keepInstance, Time now);
    uint32_t serverOfBackend(uint32_t backend);
    uint32_t serverOfPeer(const std::string &vm);
    TaskId idOf(const Submission &submission, uint32_t index) const;
    void scheduleServerTimer(Time at) { nextServerTimer_ = std::min(nextServerTimer_, at); }

    // engine_borrow.cpp: tasks borrowed from other VMs
    void on(LendReceived &event, Time now);
    void on(LendInquiryReceived &event, Time now);
    TaskReply borrow(const LendReceived &event, LentTask &lent, bool isRefused, Time now);
    TaskReply statusOf(const TaskId &id, bool stop, Time now);
    void finishBorrowed(Submission &submission, TaskReply reply, Time now);
    void recordBorrowed(const TaskId &id, dispatch::BorrowedRecord record, Time now);
    void expireBorrowed(Time now);

    // engine_drain.cpp: draining, fencing and ledger handover
    void on(DrainRequested &event, Time now);
    void on(FenceRequested &event, Time now);
    void on(IssuerSealed &event, Time now);
    void on(HandoverReceived &event, Time now);
    void on(HandoverAcknowledged &event, Time now);
    void processDrain(Time now);
    void endDrain(Time now);
    void beginHandover(Time now);
    void sendHandover(Time now);
    void finishDrain(bool wasOrderly);

    // engine.cpp: state of servers, peers and the catalogue
    void on(BackendsChanged &event, Time now);
    void on(BackendsUnchanged &event, Time now);
    void on(PeerCapacityChanged &event, Time now);
    void on(CatalogueChanged &event, Time now);
    void on(PeerLost &event, Time now);
    void on(Tick &event, Time now);
    void onBackendsRead(Time asOf);

    DispatcherOptions options_;
    Ledger ledger_;
    Placement placement_;
    Admission admission_;
    std::optional<Catalogue> catalogue_;
    std::map<std::string, OwnerLimits> ownerLimits_; // as applied to admission_
    std::vector<Action> actions_;
    DispatchCounters counters_;

    std::unordered_map<uint64_t, Submission> submissions_;
    size_t unanswered_ = 0;     // submissions of this VM that are not answered yet
    size_t borrowed_ = 0;       // active borrowed tasks
    uint64_t lastBorrowed_ = 0; // number of the last borrowed task
    uint64_t lastAccepted_ = 0; // highest sequence number of an accepted submission
    boost::unordered_flat_map<uint64_t, dispatch::Exchange>
            exchanges_;            // start and lend messages that await their reply
    std::vector<Batch> batches_;   // start and lend messages that are not flushed yet
    bool hasStopRequests_ = false; // whether a stop was requested since the last flush
    uint64_t lastExchange_ = 0;
    bool needsStartPass_ = false; // whether queued tasks may have become startable

    std::vector<Server> servers_;
    std::vector<uint32_t> backendServers_; // by backend index
    std::unordered_map<std::string, uint32_t> peerServers_;
    Time nextServerTimer_ = dispatch::never;

    std::unordered_map<TaskId, dispatch::BorrowedRecord, dispatch::TaskIdHash> borrowedRecords_;
    std::deque<dispatch::Timed<TaskId>> borrowedExpiry_;

    std::unordered_map<uint64_t, dispatch::Forward> forwards_;
    uint64_t lastForward_ = 0;

    dispatch::TimedQueue<uint64_t> submissionTimers_;
    dispatch::TimedQueue<uint64_t> forwardTimers_;
    Time lastEvent_;
    Time nextExpire_;
    Time resumedAt_;
    Time holdUntil_;

    DispatcherState state_ = DispatcherState::Serving;
    bool isFenced_ = false;
    std::string successor_;
    std::string redirect_;
    Time drainUntil_ = dispatch::never;
    std::vector<LedgerPart> parts_; // parts of the ledger that are not acknowledged yet
    Time handoverUntil_ = dispatch::never;
    Time nextHandover_ = dispatch::never;
};

} // namespace lovage
