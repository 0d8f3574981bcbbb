#include "engine.h"

namespace lovage {

using dispatch::BorrowedRecord;
using dispatch::BorrowedState;

namespace {

// Set in the numbers of borrowed tasks. The sequence numbers of submissions never reach this bit.
constexpr uint64_t borrowedBit = uint64_t(1) << 63;

// Limit for the records of borrowed tasks. Above it new tasks are refused until records expire. Old
// records are not dropped instead, because a late copy of a lend message could then start a task
// whose tombstone is gone.
constexpr size_t maxBorrowedRecords = 200'000;

} // namespace

void Dispatcher::Engine::on(LendReceived &event, Time now)
{
    const bool isForOther = event.expectedIncarnation != 0
            && event.expectedIncarnation != options_.self.incarnation;
    const bool isExpired = now > event.expiry;
    const bool isRefused = isForOther || isExpired || !mayStart(now)
            || state_ != DispatcherState::Serving || borrowedRecords_.size() >= maxBorrowedRecords;
    SendLendReply reply {event.vm, event.exchange, {}};
    reply.results.reserve(event.tasks.size());
    for (LentTask &lent : event.tasks)
        reply.results.push_back(borrow(event, lent, isRefused, now));
    actions_.push_back(std::move(reply));
}

// Starts a lent task at once or refuses it. Lent tasks never wait in the queue of the borrower.
TaskReply Dispatcher::Engine::borrow(const LendReceived &event, LentTask &lent, bool isRefused,
                                     Time now)
{
    const auto known = borrowedRecords_.find(lent.id);
    if (known != borrowedRecords_.end() && known->second.state == BorrowedState::Active)
        return {lent.id, TaskStatus::Accepted};
    if (known != borrowedRecords_.end() && known->second.state == BorrowedState::Finished)
        return known->second.reply;
    const bool isOwn = issuerOf(lent.id.submission) == options_.self;
    if (isRefused || isOwn || known != borrowedRecords_.end()) {
        recordBorrowed(lent.id, {}, now);
        return {lent.id, TaskStatus::Refused};
    }
    // The tasks queued on this VM declined the servers that are free. The lent task is placed as
    // the last task of this queue, so it starts only if a free server is better than waiting there.
    lent.need.waiting = uint32_t(admission_.queue().size(lent.need.kind) + 1);
    const Choice choice = placement_.choose(lent.need, now);
    const auto *backend = std::get_if<ToBackend>(&choice);
    if (!backend || !servers_[serverOfBackend(backend->backend)].hasReplied) {
        recordBorrowed(lent.id, {}, now);
        return {lent.id, TaskStatus::Refused};
    }
    const uint64_t number = borrowedBit | ++lastBorrowed_;
    recordBorrowed(lent.id, {.state = BorrowedState::Active, .submission = number, .reply = {}},
                   now);
    Submission &submission = submissions_[number];
    submission.number = number;
    submission.id = lent.id.submission;
    submission.need = std::move(lent.need);
    submission.remaining = 1;
    submission.tasks.resize(1);
    submission.loan = std::make_unique<dispatch::Loan>(
            dispatch::Loan {event.vm, lent.id, std::move(lent.input), event.expiry});
    setTimer(submission, submission.need.deadline);
    ++borrowed_;
    ++counters_.borrowed;
    placement_.reserve(backend->backend, submission.need, now);
    send(submission, 0, serverOfBackend(backend->backend), now);
    return {lent.id, TaskStatus::Accepted};
}

void Dispatcher::Engine::recordBorrowed(const TaskId &id, BorrowedRecord record, Time now)
{
    const bool isNew = borrowedRecords_.insert_or_assign(id, std::move(record)).second;
    if (isNew)
        borrowedExpiry_.push_back({now + options_.borrowedRetention, id});
}

void Dispatcher::Engine::expireBorrowed(Time now)
{
    while (!borrowedExpiry_.empty() && borrowedExpiry_.front().at <= now) {
        const TaskId id = std::move(borrowedExpiry_.front().value);
        borrowedExpiry_.pop_front();
        const auto found = borrowedRecords_.find(id);
        if (found->second.state == BorrowedState::Active)
            borrowedExpiry_.push_back({now + options_.borrowedRetention, id});
        else
            borrowedRecords_.erase(found);
    }
}

void Dispatcher::Engine::finishBorrowed(Submission &submission, TaskReply reply, Time now)
{
    const std::string lender = submission.loan->lender;
    BorrowedRecord record {.state = BorrowedState::Finished, .submission = 0, .reply = reply};
    recordBorrowed(submission.loan->id, std::move(record), now);
    std::vector<TaskReply> results;
    results.push_back(std::move(reply));
    actions_.push_back(SendLendResult {lender, std::move(results)});
    --borrowed_;
    eraseSubmission(submission);
}

void Dispatcher::Engine::on(LendInquiryReceived &event, Time now)
{
    SendLendInquiryReply reply {event.vm, event.exchange, {}};
    reply.results.reserve(event.ids.size());
    for (const TaskId &id : event.ids)
        reply.results.push_back(statusOf(id, event.stop, now));
    actions_.push_back(std::move(reply));
}

TaskReply Dispatcher::Engine::statusOf(const TaskId &id, bool stop, Time now)
{
    const auto known = borrowedRecords_.find(id);
    if (known == borrowedRecords_.end() || known->second.state == BorrowedState::Tombstone) {
        // The tombstone makes this VM refuse a delayed lend message with this task.
        recordBorrowed(id, {}, now);
        return {id, TaskStatus::Unknown};
    }
    if (known->second.state == BorrowedState::Finished)
        return known->second.reply;
    if (stop) {
        const auto found = submissions_.find(known->second.submission);
        abort(found->second, notRun(ErrorCode::Cancelled, "stopped by the lender"), true, now);
    }
    return {id, TaskStatus::Running};
}

} // namespace lovage
