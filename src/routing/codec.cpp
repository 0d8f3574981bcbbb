// Binary form of the messages between VMs.
#include "../protocol/archive.h"

#include "lovage/routing.h"

#include <fmt/format.h>

#include <sstream>

namespace lovage {

namespace {

constexpr uint8_t messageVersion = 1;

template<class Archive>
void durationField(Archive &archive, Duration &duration)
{
    int64_t count = duration.count();
    archive(count);
    constexpr int64_t limit = INT64_MAX / 4; // sums with a time must not overflow
    if (count > limit || count < -limit)
        throw cereal::Exception("duration out of range");
    duration = Duration(count);
}

template<class Archive>
void flagField(Archive &archive, bool &flag)
{
    uint8_t byte = flag ? 1 : 0;
    archive(byte);
    flag = byte != 0;
}

} // namespace

template<class Archive>
void serialize(Archive &archive, Demand &demand)
{
    archive(demand.milliCores, demand.memoryMb, demand.accelerators);
}

template<class Archive>
void serialize(Archive &archive, Step &step)
{
    archive(step.count, step.demand);
    durationField(archive, step.estimate);
    archive(step.after, step.requiredLabel, step.dataRack, step.maxPerServer);
    flagField(archive, step.sameRack);
}

template<class Archive>
void serialize(Archive &archive, JobSpec &job)
{
    archive(job.id, job.payload, job.steps);
}

template<class Archive>
void serialize(Archive &archive, JobTicket &ticket)
{
    archive(ticket.vm, ticket.incarnation, ticket.number, ticket.part);
}

template<class Archive>
void serialize(Archive &archive, JobOffer &offer)
{
    archive(offer.ticket, offer.job, offer.firstIndex, offer.queue, offer.service, offer.priority,
            offer.attempts);
    archive(offer.stretchFactor);
    durationField(archive, offer.objectiveSlack);
    durationField(archive, offer.elapsed);
    durationField(archive, offer.deadline);
}

template<class Archive>
void serialize(Archive &archive, JobAnswer &answer)
{
    auto result = static_cast<uint8_t>(answer.result);
    archive(answer.ticket, result, answer.reason);
    if (result > static_cast<uint8_t>(JobResult::Abandoned))
        throw cereal::Exception("unknown job result");
    answer.result = static_cast<JobResult>(result);
    durationField(archive, answer.retryAfter);
    archive(answer.couldRun);
}

template<class Archive>
void serialize(Archive &archive, VmInfo &vm)
{
    archive(vm.name, vm.dataCentre, vm.address, vm.incarnation);
}

template<class Archive>
void serialize(Archive &archive, ServiceLoad &load)
{
    archive(load.service, load.servers, load.freeMilliCores, load.queuedWork, load.rate);
}

template<class Archive>
void serialize(Archive &archive, VmReport &report)
{
    archive(report.vm, report.cpuMilliCores);
    flagField(archive, report.isHolder);
    flagField(archive, report.isDraining);
    archive(report.configurationVersion, report.knownServers, report.loads);
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
void serialize(Archive &archive, WithdrawMessage &message)
{
    archive(message.ticket);
}

template<class Archive>
void serialize(Archive &archive, IntroductionMessage &message)
{
    archive(message.vms);
}

template<class Archive>
void serialize(Archive &archive, Queue &queue)
{
    archive(queue.name, queue.host, queue.pathPrefix, queue.service, queue.priority, queue.attempts,
            queue.stretchFactor);
    durationField(archive, queue.objectiveSlack);
    durationField(archive, queue.timeout);
    flagField(archive, queue.needsAdvice);
}

template<class Archive>
void serialize(Archive &archive, ConfigurationRequest &message)
{
    archive(message.vm);
}

template<class Archive>
void serialize(Archive &archive, ConfigurationMessage &message)
{
    archive(message.configuration.version, message.configuration.queues);
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
            return notRun(ErrorCode::DecodeFailed, fmt::format("message version {}", version));
        VmMessage message = loadMessage(archive, index);
        if (archive.remaining() > 0)
            return notRun(ErrorCode::DecodeFailed, "bytes after the message");
        return message;
    } catch (const std::exception &exception) {
        return notRun(ErrorCode::DecodeFailed, exception.what());
    }
}

} // namespace lovage
