#include "callerapi.h"
#include "decision.h"

#include "lovage/backend.h"

#include <algorithm>

namespace lovage::daemon {

namespace {

// Answers with more tasks are encoded on an I/O thread, so that a large job does not block the
// decision thread.
constexpr size_t maxTasksEncodedInline = 8;
constexpr Duration lendReplyWait = std::chrono::milliseconds(500);
constexpr Duration forwardMargin = std::chrono::seconds(3);

std::string joined(const std::vector<SubmissionId> &ids)
{
    std::string text;
    for (const SubmissionId &id : ids) {
        text += text.empty() ? "" : ",";
        text += toString(id);
    }
    return text;
}

} // namespace

void DecisionLoop::performActions()
{
    // An action can raise events that produce further actions.
    while (true) {
        std::vector<Action> actions = dispatcher_.takeActions(currentTime());
        if (actions.empty())
            return;
        for (Action &action : actions)
            std::visit([this](auto &typed) { perform(typed); }, action);
    }
}

std::optional<WaitingCaller> DecisionLoop::takeCaller(uint64_t request)
{
    const auto found = callers_.find(request);
    LOVAGE_ASSERT_INVARIANT(Promise::OwnAnswer, found != callers_.end(),
                            "reply to a request that no caller waits for");
    if (found == callers_.end())
        return std::nullopt;
    WaitingCaller caller = std::move(found->second);
    callers_.erase(found);
    return caller;
}

void DecisionLoop::answer(WaitingCaller caller, HttpResponse response)
{
    const Time now = currentTime();
    if (!caller.spareIds.empty())
        response.headers.push_back({"Lovage-Spare-Ids", std::move(caller.spareIds)});
    if (caller.wantsSpareIds)
        shared_.counters.callerLatency.record(now - caller.received);
    if (caller.span) {
        response.headers.push_back({"traceparent", toTraceparent(caller.span->context)});
        caller.span->attributes.push_back({"status", fmt::format("{}", response.status)});
        shared_.tracer.finish(std::move(*caller.span), now);
    }
    caller.reply(std::move(response));
}

void DecisionLoop::perform(ReplyOpened &action)
{
    const uint64_t request = std::get<LocalCaller>(action.origin).request;
    const auto found = callers_.find(request);
    if (found == callers_.end())
        return;
    if (!found->second.isOpen) {
        if (action.ids.has_value())
            found->second.spareIds = joined(action.ids.value());
        return;
    }
    std::optional<WaitingCaller> caller = takeCaller(request);
    if (!action.ids.has_value()) {
        answer(std::move(*caller), failureResponse({}, action.ids.error(), action.redirect));
        return;
    }
    backend::OpenReply reply;
    const std::vector<SubmissionId> &ids = action.ids.value();
    for (size_t i = 0; i < ids.size(); ++i) {
        if (i == 0)
            reply.id = toString(ids[i]);
        else
            reply.spareIds.push_back(toString(ids[i]));
    }
    HttpResponse response;
    response.body = backend::serialize(reply);
    answer(std::move(*caller), std::move(response));
}

void DecisionLoop::perform(CompleteSubmission &action)
{
    if (const auto *remote = std::get_if<RemoteCaller>(&action.origin)) {
        sendTo(remote->vm, wire::ForwardReply {remote->request, action.outcome, false});
        return;
    }
    std::optional<WaitingCaller> caller = takeCaller(std::get<LocalCaller>(action.origin).request);
    if (!caller)
        return;
    std::string id =
            caller->id.empty() && action.id.sequence != 0 ? toString(action.id) : caller->id;
    const Answer *complete = std::get_if<Answer>(action.outcome.get());
    if (!complete || complete->tasks.size() <= maxTasksEncodedInline) {
        answer(std::move(*caller), outcomeResponse(id, *action.outcome, action.redirect));
        return;
    }
    // Distributes the answers over the I/O threads by request number.
    auto shared = std::make_shared<WaitingCaller>(std::move(*caller));
    threads_.post(std::get<LocalCaller>(action.origin).request % threads_.count(),
                  [this, shared, id = std::move(id), outcome = action.outcome] {
                      answer(std::move(*shared), outcomeResponse(id, *outcome, {}));
                  });
}

void DecisionLoop::perform(ReplyState &action)
{
    if (const auto *remote = std::get_if<RemoteCaller>(&action.origin)) {
        sendTo(remote->vm, wire::ForwardReply {remote->request, nullptr, action.isRunning});
        return;
    }
    std::optional<WaitingCaller> caller = takeCaller(std::get<LocalCaller>(action.origin).request);
    if (!caller)
        return;
    backend::SubmissionAnswer body;
    body.id = toString(action.id);
    body.state =
            action.isRunning ? backend::SubmissionState::Running : backend::SubmissionState::Opened;
    HttpResponse response;
    response.body = backend::serialize(body);
    answer(std::move(*caller), std::move(response));
}

void DecisionLoop::forward(uint64_t number, const std::string &vm, WireMessage message, Time until,
                           std::optional<Span> span)
{
    if (!sendTo(vm, message)) {
        dispatch(ForwardLost {number});
        return;
    }
    const Time now = currentTime();
    forwards_[number] = {vm,
                         std::move(message),
                         now + std::chrono::milliseconds(500),
                         until + forwardMargin,
                         std::move(span),
                         std::nullopt};
}

void DecisionLoop::perform(ForwardSubmission &action)
{
    SubmitRequested &request = action.request;
    const Time now = currentTime();
    std::optional<Span> span;
    if (const auto *local = std::get_if<LocalCaller>(&request.origin)) {
        const auto caller = callers_.find(local->request);
        if (caller != callers_.end() && caller->second.span)
            span = shared_.tracer.start("forward", caller->second.span->context, now);
    }
    wire::ForwardSubmit message {action.forward + numberBase_,
                                 request.id,
                                 request.key,
                                 request.owner,
                                 request.entry,
                                 request.bodyDigest,
                                 request.deadline,
                                 request.repeatable,
                                 std::move(request.tasks),
                                 span ? toTraceparent(span->context) : std::string()};
    forward(action.forward, action.vm, std::move(message), std::max(request.deadline, now),
            std::move(span));
}

void DecisionLoop::perform(ForwardCancel &action)
{
    forward(action.forward, action.vm,
            wire::ForwardCancel {action.forward + numberBase_, action.id, action.owner},
            currentTime(), {});
}

void DecisionLoop::perform(ForwardQuery &action)
{
    forward(action.forward, action.vm,
            wire::ForwardQuery {action.forward + numberBase_, action.id, action.owner},
            currentTime(), {});
}

// Reports a forwarded request as lost. Keyed submissions fail as MayHaveRun whatever the cause,
// because the other VM may have received the request.
void DecisionLoop::failForward(uint64_t number)
{
    const auto found = forwards_.find(number);
    if (found == forwards_.end())
        return;
    Forwarded lost = std::move(found->second);
    forwards_.erase(found);
    if (!lost.caller) {
        dispatch(ForwardLost {number});
        return;
    }
    const std::string id = lost.caller->id;
    answer(std::move(*lost.caller),
           failureResponse(id,
                           mayHaveRun(ErrorCode::HomeUnreachable,
                                      "the VM that decides about the key is unreachable")));
}

void DecisionLoop::failForwards(const std::string &vm)
{
    std::vector<uint64_t> lost;
    for (const auto &[number, forwarded] : forwards_) {
        if (forwarded.vm == vm)
            lost.push_back(number);
    }
    for (const uint64_t number : lost)
        failForward(number);
}

std::string DecisionLoop::homeOf(const std::string &key) const
{
    std::vector<std::string> names;
    for (const MemberSettings &member : shared_.settings.members)
        names.push_back(member.name);
    return names.empty() ? shared_.settings.name : keyHome(key, names);
}

bool DecisionLoop::hasKeyedForwards() const
{
    return std::any_of(forwards_.begin(), forwards_.end(),
                       [](const auto &item) { return item.second.caller.has_value(); });
}

bool DecisionLoop::forwardKeyed(CallerInput &input)
{
    auto *submit = std::get_if<SubmitRequested>(&input.event);
    if (!submit || submit->key.empty())
        return false;
    std::string home = homeOf(submit->key);
    if (home == shared_.settings.name)
        return false;
    // The highest bit keeps these numbers apart from the Dispatcher's, which never set it.
    const uint64_t number = ++lastRequest_ | (uint64_t(1) << 63);
    const Time now = currentTime();
    std::optional<Span> span;
    if (input.caller.span)
        span = shared_.tracer.start("forward", input.caller.span->context, now);
    Forwarded forwarded;
    forwarded.message = wire::ForwardSubmit {number + numberBase_,
                                             {},
                                             submit->key,
                                             submit->owner,
                                             submit->entry,
                                             submit->bodyDigest,
                                             submit->deadline,
                                             submit->repeatable,
                                             std::move(submit->tasks),
                                             span ? toTraceparent(span->context) : std::string()};
    const bool isSent = sendTo(home, forwarded.message);
    forwarded.vm = std::move(home);
    forwarded.nextSend = now + std::chrono::milliseconds(500);
    forwarded.until = std::max(submit->deadline, now) + forwardMargin;
    forwarded.span = std::move(span);
    forwarded.caller = std::move(input.caller);
    forwards_.emplace(number, std::move(forwarded));
    if (!isSent)
        failForward(number);
    return true;
}

const DecisionLoop::SubmissionTrace *DecisionLoop::findTrace(const SubmissionId &id) const
{
    if (traces_.empty())
        return nullptr;
    const auto found = traces_.find(id);
    return found == traces_.end() ? nullptr : &found->second;
}

// A start call carries only one trace context, so the first traced task supplies it.
std::optional<Span> DecisionLoop::startSpan(const SendStarts &action, Time now)
{
    for (const TaskStart &task : action.tasks) {
        if (traces_.empty())
            return std::nullopt;
        const auto found = traces_.find(task.id.submission);
        if (found == traces_.end())
            continue;
        SubmissionTrace &trace = found->second;
        if (!trace.hasStarted) {
            trace.hasStarted = true;
            shared_.tracer.finish(shared_.tracer.start("queue", trace.context, trace.accepted),
                                  now);
        }
        Span span = shared_.tracer.start("start", trace.context, now);
        span.attributes.push_back({"server", dispatcher_.placement().info(action.backend).name});
        span.attributes.push_back({"tasks", fmt::format("{}", action.tasks.size())});
        return span;
    }
    return std::nullopt;
}

void DecisionLoop::perform(SendStarts &action)
{
    const Time now = currentTime();
    std::optional<Span> span = startSpan(action, now);
    const BackendInfo &info = dispatcher_.placement().info(action.backend);
    backends_.start(info, std::move(action), std::move(span), now);
}

void DecisionLoop::perform(SendInquiry &action)
{
    backends_.inquire(dispatcher_.placement().info(action.backend), action);
}

void DecisionLoop::perform(SendStop &action)
{
    backends_.stop(dispatcher_.placement().info(action.backend), action);
}

void DecisionLoop::perform(SendLend &action)
{
    const Time now = currentTime();
    std::optional<Span> span;
    for (const LentTask &task : action.tasks) {
        if (const SubmissionTrace *trace = findTrace(task.id.submission)) {
            span = shared_.tracer.start("lend", trace->context, now);
            span->attributes.push_back({"vm", action.vm});
            break;
        }
    }
    wire::Lend message {action.exchange + numberBase_, action.expectedIncarnation, action.expiry,
                        std::move(action.tasks),
                        span ? toTraceparent(span->context) : std::string()};
    if (!sendTo(action.vm, message)) {
        dispatch(LendLost {action.vm, action.exchange, false});
        return;
    }
    lends_[action.exchange + numberBase_] = {action.vm, now + lendReplyWait, std::move(span)};
}

void DecisionLoop::perform(SendLendInquiry &action)
{
    const uint64_t exchange = action.exchange + numberBase_;
    const bool isSent = action.stop
            ? sendTo(action.vm, wire::LendStop {exchange, std::move(action.ids)})
            : sendTo(action.vm, wire::LendInquiry {exchange, std::move(action.ids)});
    if (!isSent)
        dispatch(LendInquiryLost {action.vm, action.exchange});
}

void DecisionLoop::perform(SendLendReply &action)
{
    sendTo(action.vm,
           wire::LendReply {action.exchange, std::move(action.results), ownCapacityWords()});
}

void DecisionLoop::perform(SendLendResult &action)
{
    sendTo(action.vm, wire::LendResult {std::move(action.results), ownCapacityWords()});
}

void DecisionLoop::perform(SendLendInquiryReply &action)
{
    sendTo(action.vm, wire::LendInquiryReply {action.exchange, std::move(action.results)});
}

void DecisionLoop::perform(HandOverLedger &action)
{
    if (!hasAnnouncedSuccessor_) {
        hasAnnouncedSuccessor_ = true;
        const Issuer self {shared_.settings.dataCentre, shared_.settings.name, shared_.incarnation};
        for (const auto &[name, peer] : peers_)
            sendTo(name, wire::LedgerMoved {self, action.successor});
    }
    sendTo(action.successor, wire::LedgerHandover {std::move(action.part)});
}

void DecisionLoop::perform(AcknowledgeHandover &action)
{
    sendTo(action.vm, wire::LedgerAck {action.issuer, action.part});
}

void DecisionLoop::perform(DrainFinished &action)
{
    LOVAGE_ASSERT_INVARIANT(Promise::NothingCutOnDrain, callers_.empty() || !action.wasOrderly,
                            "drain finished while callers wait");
    isDrainFinished_ = true;
    wasOrderly_ = action.wasOrderly;
}

} // namespace lovage::daemon
