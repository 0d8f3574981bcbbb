#include "lovage/catalogue.h"

#include <fmt/format.h>

#include <algorithm>

namespace lovage {

namespace {

struct PendingPublish
{
    uint64_t token = 0;
    std::string requestId;
    uint64_t digest = 0;
    Time deadline;
    bool isAppending = true; // until the append is answered or fails
    uint64_t offset = 0;     // of the record, 0 while unknown
    Time nextReadBack;
};

struct Outcome
{
    uint64_t offset = 0;
    std::optional<Error> error;
};

// Returns why a change cannot be appended in this state of the follower; nullopt if it can.
std::optional<Error> refusalFor(FollowerState state)
{
    switch (state) {
    case FollowerState::Empty:
        return notRun(ErrorCode::NoCatalogue, "this VM has no catalogue yet");
    case FollowerState::FollowingPeers:
        return notRun(ErrorCode::LogUnavailable, "the log does not answer");
    case FollowerState::LogBehind:
        return notRun(ErrorCode::LogBehind, "the log lost records that are in force");
    case FollowerState::FollowingLog:
        break;
    }
    return std::nullopt;
}

} // namespace

struct CataloguePublisher::Impl
{
    explicit Impl(PublisherOptions publisherOptions) : options(publisherOptions) { }

    void on(const PublishRequested &request, Time now);
    void on(const AppendReplied &reply, Time now);
    void on(const AppendFailed &failure, Time now);
    void on(const FollowerUpdated &follower, Time now);
    void on(const PublisherTick &tick, Time now);

    std::optional<Error> refusalOf(const PublishRequested &request, Time now) const;
    // Result of a request whose record was read; nullopt if it was not read yet.
    std::optional<Outcome> outcomeOf(const std::string &requestId, uint64_t digest) const;
    bool finishIfDecided(const PendingPublish &publish);
    PendingPublish *find(uint64_t token);
    void remove(uint64_t token);
    // Constructs the action in place: GCC 12 warns falsely about moving the whole variant.
    template<class Action>
    void addAction(Action action)
    {
        actions.emplace_back(std::in_place_type<Action>, std::move(action));
    }
    void finish(uint64_t token, Outcome outcome);
    void refuse(uint64_t token, Error error) { finish(token, {0, std::move(error)}); }

    PublisherOptions options;
    FollowerState state = FollowerState::Empty;
    Catalogue catalogue;
    std::vector<PendingPublish> pending;
    std::vector<PublisherAction> actions;
};

void CataloguePublisher::Impl::finish(uint64_t token, Outcome outcome)
{
    addAction(PublishFinished {token, outcome.offset, std::move(outcome.error)});
}

PendingPublish *CataloguePublisher::Impl::find(uint64_t token)
{
    const auto found = std::ranges::find(pending, token, &PendingPublish::token);
    return found == pending.end() ? nullptr : &*found;
}

void CataloguePublisher::Impl::remove(uint64_t token)
{
    std::erase_if(pending, [&](const PendingPublish &publish) { return publish.token == token; });
}

std::optional<Error> CataloguePublisher::Impl::refusalOf(const PublishRequested &request,
                                                         Time now) const
{
    const ChangeRecord &change = request.change;
    // The record must fold to the same change that the operator sent.
    const Result<LogContent> content = parseLogRecord(serializeLogRecord(change));
    if (!content.has_value())
        return content.error();
    if (auto refusal = refusalFor(state))
        return refusal;
    if (now >= request.deadline)
        return notRun(ErrorCode::Timeout, "the deadline of the change has passed");
    if (pending.size() >= options.maxInProgress)
        return notRun(ErrorCode::Overloaded, "too many changes are in progress");
    // Versions only grow, so a newer version can never be replaced by this change.
    const Entry *entry = catalogue.find(change.entry.name);
    if (entry != nullptr && entry->version > change.replaces) {
        return notRun(ErrorCode::PublishConflict,
                      fmt::format("the entry has version {}, the change replaces {}",
                                  entry->version, change.replaces));
    }
    return std::nullopt;
}

std::optional<Outcome> CataloguePublisher::Impl::outcomeOf(const std::string &requestId,
                                                           uint64_t digest) const
{
    const ChangeOutcome *outcome = catalogue.findOutcome(requestId);
    if (outcome == nullptr)
        return std::nullopt;
    if (outcome->changeDigest != digest)
        return Outcome {
                0,
                notRun(ErrorCode::PublishConflict, "the request id was used for another change")};
    if (!outcome->accepted)
        return Outcome {0,
                        notRun(ErrorCode::PublishConflict, "another change came first in the log")};
    LOVAGE_ASSERT_INVARIANT(Promise::CatalogueForward, outcome->offset <= catalogue.offset(),
                            "a change is accepted only after it was read in the log");
    return Outcome {outcome->offset, std::nullopt};
}

bool CataloguePublisher::Impl::finishIfDecided(const PendingPublish &publish)
{
    auto outcome = outcomeOf(publish.requestId, publish.digest);
    if (!outcome)
        return false;
    finish(publish.token, std::move(*outcome));
    return true;
}

void CataloguePublisher::Impl::on(const PublishRequested &request, Time now)
{
    const uint64_t digest = changeDigest(request.change);
    if (auto known = outcomeOf(request.change.requestId, digest)) {
        finish(request.token, std::move(*known));
        return;
    }
    if (auto refusal = refusalOf(request, now)) {
        refuse(request.token, std::move(*refusal));
        return;
    }
    pending.push_back({.token = request.token,
                       .requestId = request.change.requestId,
                       .digest = digest,
                       .deadline = request.deadline,
                       .nextReadBack = now + options.readBackInterval});
    addAction(AppendChange {request.token, serializeLogRecord(request.change)});
}

void CataloguePublisher::Impl::on(const AppendReplied &reply, Time now)
{
    PendingPublish *publish = find(reply.token);
    if (publish == nullptr)
        return;
    publish->isAppending = false;
    publish->offset = reply.offset;
    publish->nextReadBack = now + options.readBackInterval;
    if (catalogue.offset() < reply.offset)
        addAction(ReadBack {reply.offset});
}

void CataloguePublisher::Impl::on(const AppendFailed &failure, Time now)
{
    PendingPublish *publish = find(failure.token);
    if (publish == nullptr)
        return;
    if (!failure.maybeAppended) {
        refuse(failure.token, notRun(ErrorCode::LogUnavailable, failure.reason));
        remove(failure.token);
        return;
    }
    // The record may be in the log or may still arrive there. A second append would not show which,
    // so the outcome is determined only by reading the log.
    publish->isAppending = false;
    publish->nextReadBack = now + options.readBackInterval;
    addAction(ReadBack {0});
}

void CataloguePublisher::Impl::on(const FollowerUpdated &follower, Time)
{
    state = follower.state;
    if (follower.catalogue.offset() <= catalogue.offset())
        return;
    catalogue = follower.catalogue;
    std::erase_if(pending, [&](const PendingPublish &publish) { return finishIfDecided(publish); });
}

void CataloguePublisher::Impl::on(const PublisherTick &, Time now)
{
    bool readsBack = false;
    uint64_t highest = 0;
    for (PendingPublish &publish : pending) {
        if (publish.isAppending || now < publish.nextReadBack)
            continue;
        publish.nextReadBack = now + options.readBackInterval;
        readsBack = true;
        highest = std::max(highest, publish.offset);
    }
    // One read serves all pending changes.
    if (readsBack)
        addAction(ReadBack {highest > catalogue.offset() ? highest : 0});
    std::erase_if(pending, [&](const PendingPublish &publish) {
        if (now < publish.deadline)
            return false;
        refuse(publish.token,
               mayHaveRun(ErrorCode::PublishUnknown,
                          "the change was sent to the log, but was not read there in time"));
        return true;
    });
}

CataloguePublisher::CataloguePublisher(PublisherOptions options)
    : impl_(std::make_unique<Impl>(options))
{ }

CataloguePublisher::~CataloguePublisher() = default;

std::vector<PublisherAction> CataloguePublisher::handle(const PublisherEvent &event, Time now)
{
    std::visit([&](const auto &specific) { impl_->on(specific, now); }, event);
    return std::exchange(impl_->actions, {});
}

size_t CataloguePublisher::inProgress() const
{
    return impl_->pending.size();
}

} // namespace lovage
