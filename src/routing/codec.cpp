// Binary encoding of the messages between VMs.
#include "serialize.h"

#include <fmt/format.h>

#include <array>
#include <sstream>

namespace lovage {

namespace {

constexpr uint8_t messageVersion = 9;

} // namespace

template<class Archive>
void serialize(Archive &archive, JobTicket &ticket)
{
    archive(ticket.vm, ticket.incarnation, ticket.number, ticket.part, ticket.offer);
}

template<class Archive>
void serialize(Archive &archive, JobLease &lease)
{
    archive(lease.poolIncarnation);
    timeField(archive, lease.until);
}

template<class Archive>
void serialize(Archive &archive, OfferTiming &timing)
{
    timeField(archive, timing.offeredAt);
    durationField(archive, timing.answerWithin);
}

template<class Archive>
void serialize(Archive &archive, JobOffer &offer)
{
    archive(offer.ticket, offer.job, offer.firstIndex, offer.queue, offer.service, offer.priority,
            offer.attempts);
    limitedField(archive, offer.stretchFactor, maxStretchFactor);
    durationField(archive, offer.objectiveSlack);
    flagField(archive, offer.isLastOffer);
    durationField(archive, offer.elapsed);
    durationField(archive, offer.deadline);
    optionalField(archive, offer.timing);
    optionalField(archive, offer.lease);
}

template<class Archive>
void serialize(Archive &archive, LeaseRenewal &renewal)
{
    archive(renewal.lease, renewal.requests);
}

template<class Archive>
void serialize(Archive &archive, JobAnswer &answer)
{
    archive(answer.ticket);
    enumField(archive, answer.result, JobResult::Abandoned);
    archive(answer.reason);
    durationField(archive, answer.retryAfter);
    archive(answer.couldRun, answer.couldRunWithMargin);
    flagField(archive, answer.wouldAccept);
    flagField(archive, answer.isEvacuated);
}

template<class Archive>
void serialize(Archive &archive, VmInfo &vm)
{
    archive(vm.name, vm.dataCentre, vm.address, vm.incarnation, vm.cpuMilliCores);
}

template<class Archive>
void serialize(Archive &archive, ServiceLoad &load)
{
    archive(load.service, load.servers, load.freeMilliCores);
    constexpr double maxCoreSeconds = 1e12;
    limitedField(archive, load.queuedWork, maxCoreSeconds);
    limitedField(archive, load.rate, maxCoreSeconds);
    auto lagMicros = static_cast<uint64_t>(
            std::clamp(load.inputLag, Duration::zero(), Duration(UINT32_MAX)).count());
    varintField(archive, lagMicros);
    load.inputLag = Duration(std::min<uint64_t>(lagMicros, UINT32_MAX));
}

template<class Archive>
void serialize(Archive &archive, PartitionClaim &claim)
{
    archive(claim.partition, claim.epoch);
    flagField(archive, claim.isServing);
}

template<class Archive>
void serialize(Archive &archive, QueueBacklog &backlog)
{
    archive(backlog.partition, backlog.queue, backlog.jobs);
}

// Reports are most of the traffic between VMs, so their flags share one byte.
template<class Archive>
void reportFlags(Archive &archive, VmReport &report)
{
    const std::array<bool *, 5> flags = {&report.isFollowing, &report.isReceiverFollower,
                                         &report.isHolder, &report.isDraining,
                                         &report.isHolderConfirmed};
    uint8_t bits = 0;
    for (size_t i = 0; i < flags.size(); ++i)
        bits |= static_cast<uint8_t>(*flags.at(i) ? 1U << i : 0);
    archive(bits);
    if (bits >= 1U << flags.size())
        throw cereal::Exception("unknown flag of a report");
    for (size_t i = 0; i < flags.size(); ++i)
        *flags.at(i) = (bits >> i & 1U) != 0;
}

template<class Archive>
void serialize(Archive &archive, VmReport &report)
{
    archive(report.vm);
    reportFlags(archive, report);
    auto nextReportMicros = static_cast<uint32_t>(report.nextReportWithin.count());
    archive(nextReportMicros);
    report.nextReportWithin = Duration(nextReportMicros);
    timeField(archive, report.sentAt);
    optionalField(archive, report.renewal);
    varintField(archive, report.configurationVersion);
    varintField(archive, report.evacuationsVersion);
    archive(report.knownServers, report.loads, report.holders, report.lostVms, report.claims,
            report.backlog);
}

template<class Archive>
void serialize(Archive &archive, OfferMessage &message)
{
    archive(message.offer);
}

template<class Archive>
void serialize(Archive &archive, AnswerMessage &message)
{
    archive(message.vm, message.answer, message.loads);
}

template<class Archive>
void serialize(Archive &archive, OfferOrigin &origin)
{
    archive(origin.poolIncarnation);
    timeField(archive, origin.offeredAt);
}

template<class Archive>
void serialize(Archive &archive, WithdrawMessage &message)
{
    archive(message.ticket);
    optionalField(archive, message.origin);
}

template<class Archive>
void serialize(Archive &archive, AcceptedMessage &message)
{
    archive(message.vm, message.incarnation, message.number, message.part, message.offer);
}

template<class Archive>
void serialize(Archive &archive, IntroductionMessage &message)
{
    archive(message.vms);
}

template<class Archive>
void serialize(Archive &archive, Queue &queue)
{
    archive(queue.name, queue.host, queue.pathPrefix, queue.service, queue.priority,
            queue.attempts);
    limitedField(archive, queue.stretchFactor, maxStretchFactor);
    durationField(archive, queue.objectiveSlack);
    durationField(archive, queue.timeout);
    flagField(archive, queue.hasAdvisor);
}

template<class Archive>
void serialize(Archive &archive, ConfigurationRequest &message)
{
    archive(message.vm);
}

template<class Archive>
void serialize(Archive &archive, Configuration &configuration)
{
    archive(configuration.version, configuration.queues);
}

template<class Archive>
void save(Archive &archive, const Evacuations &evacuations)
{
    const std::vector<std::string> names(evacuations.dataCentres.begin(),
                                         evacuations.dataCentres.end());
    archive(evacuations.version, names);
}

template<class Archive>
void load(Archive &archive, Evacuations &evacuations)
{
    std::vector<std::string> names;
    archive(evacuations.version, names);
    evacuations.dataCentres = {names.begin(), names.end()};
}

template<class Archive>
void serialize(Archive &archive, ConfigurationMessage &message)
{
    optionalField(archive, message.configuration);
    optionalField(archive, message.evacuations);
}

template<class Archive>
void serialize(Archive &archive, CallerRef &caller)
{
    archive(caller.vm, caller.incarnation, caller.number);
}

template<class Archive>
void serialize(Archive &archive, StoreJob &request)
{
    archive(request.caller, request.job, request.queueParameters);
}

template<class Archive>
void serialize(Archive &archive, QueryJob &request)
{
    archive(request.caller, request.job);
}

template<class Archive>
void serialize(Archive &archive, CancelJob &request)
{
    archive(request.caller, request.job);
}

template<class Archive>
void save(Archive &archive, const KeeperRequestMessage &message)
{
    archive(static_cast<uint8_t>(message.request.index()));
    std::visit([&](const auto &request) { archive(request); }, message.request);
}

template<class Archive>
void load(Archive &archive, KeeperRequestMessage &message)
{
    uint8_t index = 0;
    archive(index);
    if (index == 0)
        message.request = StoreJob {};
    else if (index == 1)
        message.request = QueryJob {};
    else if (index == 2)
        message.request = CancelJob {};
    else
        throw cereal::Exception("unknown keeper request type");
    std::visit([&](auto &request) { archive(request); }, message.request);
}

template<class Archive>
void serialize(Archive &archive, KeeperAnswer &answer)
{
    archive(answer.caller);
    enumField(archive, answer.kind, KeeperAnswer::Kind::Unavailable);
    enumField(archive, answer.state, JobState::Cancelled);
    durationField(archive, answer.retryAfter);
}

template<class Archive>
void serialize(Archive &archive, KeeperRef &keeper)
{
    archive(keeper.vm, keeper.incarnation, keeper.partition, keeper.epoch);
}

template<class Archive>
void serialize(Archive &archive, TaskStart &start)
{
    archive(start.index, start.run, start.checkpoint);
}

template<class Archive>
void serialize(Archive &archive, BatchMessage &message)
{
    TaskBatch &batch = message.batch;
    archive(batch.keeper, batch.poolIncarnation);
    timeField(archive, batch.startBy);
    archive(batch.job, batch.payload, batch.queue, batch.service, batch.step, batch.stepNumber,
            batch.occurrence, batch.tasks);
}

template<class Archive>
void serialize(Archive &archive, StopJobMessage &message)
{
    archive(message.stop.keeper, message.stop.job);
}

template<class Archive>
void serialize(Archive &archive, OutcomeMessage &message)
{
    TaskOutcome &outcome = message.outcome;
    archive(message.vm, outcome.task, outcome.run);
    enumField(archive, outcome.kind, TaskOutcome::Kind::Ended);
    enumField(archive, outcome.end, RunEnd::Broken);
    archive(outcome.checkpoint);
}

template<class Archive>
void serialize(Archive &archive, ConfirmOutcome &message)
{
    archive(message.task, message.run);
    flagField(archive, message.isSuperseded);
}

namespace {

template<size_t Index = 0>
VmMessage loadMessage(cereal::PortableBinaryInputArchive &archive, size_t index)
{
    if constexpr (Index < std::variant_size_v<VmMessage>) {
        if (index == Index) {
            std::variant_alternative_t<Index, VmMessage> message;
            archive(message);
            return message;
        }
        return loadMessage<Index + 1>(archive, index);
    } else {
        throw cereal::Exception("unknown message type");
    }
}

} // namespace

const CallerRef &callerOf(const KeeperRequest &request)
{
    return std::visit([](const auto &value) -> const CallerRef & { return value.caller; }, request);
}

const std::string &jobIdOf(const KeeperRequest &request)
{
    if (const auto *store = std::get_if<StoreJob>(&request))
        return store->job.id;
    if (const auto *query = std::get_if<QueryJob>(&request))
        return query->job;
    return std::get<CancelJob>(request).job;
}

std::string_view toString(JobState state)
{
    constexpr std::array<std::string_view, 5> names = {"queued", "running", "completed", "failed",
                                                       "cancelled"};
    return names.at(static_cast<size_t>(state));
}

std::string_view toString(KeeperAnswer::Kind kind)
{
    constexpr std::array<std::string_view, 6> names = {"stored",  "state",   "cancelled",
                                                       "unknown", "refused", "unavailable"};
    return names.at(static_cast<size_t>(kind));
}

std::string_view nameOf(const KeeperRequest &request)
{
    constexpr std::array<std::string_view, 3> names = {"store", "query", "cancel"};
    return names.at(request.index());
}

std::string encodeMessage(const VmMessage &message)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(messageVersion, static_cast<uint8_t>(message.index()));
    std::visit([&](const auto &alternative) { archive(alternative); }, message);
    return std::move(stream).str();
}

Result<VmMessage> decodeMessage(std::string_view bytes)
{
    try {
        detail::BoundedInput archive(bytes);
        uint8_t version = 0;
        uint8_t index = 0;
        archive(version, index);
        if (version != messageVersion)
            return notRun(ErrorCode::DecodeFailed,
                          fmt::format("unsupported message version {}", version));
        VmMessage message = loadMessage(archive, index);
        if (archive.remaining() > 0)
            return notRun(ErrorCode::DecodeFailed, "trailing bytes after the message");
        return message;
    } catch (const std::exception &exception) {
        return notRun(ErrorCode::DecodeFailed, exception.what());
    }
}

} // namespace lovage
