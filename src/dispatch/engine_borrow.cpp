#include "engine.h"

namespace lovage {

using dispatch::BorrowedRecord;
using dispatch::BorrowedState;

namespace {

// Numbers of borrowed tasks have this bit, those of own submissions never reach it.
constexpr uint64_t borrowedBit = uint64_t(1) << 63;

// Records of borrowed tasks. At this number new tasks are refused until old records expire, because
// a dropped tombstone could let a late copy of a lend message start.
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

// A lent task starts at once or is refused; it never waits in the queue of the borrower.
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
        remember(lent.id, {}, now);
        return {lent.id, TaskStatus::Refused};
    }
    // Own tasks that wait have declined the free servers; the lent task must want them more.
    lent.need.waiting = uint32_t(admission_.queue().size(lent.need.kind) + 1);
    const Choice choice = placement_.choose(lent.need, now);
    const auto *backend = std::get_if<ToBackend>(&choice);
    if (!backend || !servers_[serverOfBackend(backend->backend)].isContacted) {
        remember(lent.id, {}, now);
        return {lent.id, TaskStatus::Refused};
    }
    const uint64_t number = borrowedBit | ++lastBorrowed_;
    remember(lent.id, {.state = BorrowedState::Active, .submission = number, .reply = {}}, now);
    Submission &submission = submissions_[number];
    submission.number = number;
    submission.id = lent.id.submission;
    submission.need = std::move(lent.need);
    submission.remaining = 1;
    submission.tasks.resize(1);
    submission.loan = std::make_unique<dispatch::Loan>(
            dispatch::Loan {event.vm, lent.id, std::move(lent.input), event.expiry});
    setEnd(submission, submission.need.deadline);
    ++borrowed_;
    ++counters_.borrowed;
    placement_.reserve(backend->backend, submission.need, now);
    send(submission, 0, serverOfBackend(backend->backend), now);
    return {lent.id, TaskStatus::Accepted};
}

void Dispatcher::Engine::remember(const TaskId &id, BorrowedRecord record, Time now)
{
    const bool isNew = borrowedRecords_.insert_or_assign(id, std::move(record)).second;
    if (isNew)
        borrowedExpiry_.push_back({now + options_.borrowedRetention, id});
}

void Dispatcher::Engine::forgetBorrowed(Time now)
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
    remember(submission.loan->id, std::move(record), now);
    std::vector<TaskReply> results;
    results.push_back(std::move(reply));
    actions_.push_back(SendLendResult {lender, std::move(results)});
    --borrowed_;
    forget(submission);
}

void Dispatcher::Engine::on(LendInquiryReceived &event, Time now)
{
    SendLendInquiryReply reply {event.vm, event.exchange, {}};
    reply.results.reserve(event.ids.size());
    for (const TaskId &id : event.ids)
        reply.results.push_back(replyAbout(id, event.stop, now));
    actions_.push_back(std::move(reply));
}

TaskReply Dispatcher::Engine::replyAbout(const TaskId &id, bool stop, Time now)
{
    const auto known = borrowedRecords_.find(id);
    if (known == borrowedRecords_.end() || known->second.state == BorrowedState::Tombstone) {
        // Remembered, so that a lend message that is still on its way is refused.
        remember(id, {}, now);
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
