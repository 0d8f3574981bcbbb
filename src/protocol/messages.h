// Serialization of each message type. Included only by the .cpp files of the protocol.
#pragma once

#include "archive.h"

#include "lovage/protocol.h"

#include <cmath>
#include <memory>
#include <type_traits>

namespace lovage {
namespace detail {

template<class Archive>
constexpr bool isInput = std::is_same_v<Archive, cereal::PortableBinaryInputArchive>;

// Serializes an enumeration as one byte. A value above the last enumerator is malformed.
template<class Archive, class Enum>
void enumField(Archive &archive, Enum &value, Enum last)
{
    auto byte = static_cast<uint8_t>(value);
    archive(byte);
    if (byte > static_cast<uint8_t>(last))
        throw cereal::Exception("enumeration value out of range");
    value = static_cast<Enum>(byte);
}

template<class Archive>
void boolField(Archive &archive, bool &value)
{
    uint8_t byte = value ? 1 : 0;
    archive(byte);
    value = byte != 0;
}

template<class Archive>
void timeField(Archive &archive, Time &time)
{
    int64_t count = time.time_since_epoch().count();
    archive(count);
    // Leaves headroom so that the sum of two times or durations cannot overflow.
    constexpr int64_t limit = INT64_MAX / 4;
    if (count > limit || count < -limit)
        throw cereal::Exception("time out of range");
    time = Time(Duration(count));
}

template<class Archive>
void durationField(Archive &archive, Duration &duration)
{
    int64_t count = duration.count();
    archive(count);
    constexpr int64_t limit = INT64_MAX / 4;
    if (count > limit || count < -limit)
        throw cereal::Exception("duration out of range");
    duration = Duration(count);
}

template<class Archive>
void inputField(Archive &archive, SharedInput &input)
{
    if constexpr (isInput<Archive>) {
        auto text = std::make_shared<std::string>();
        archive(*text);
        input = std::move(text);
    } else {
        static const std::string empty;
        archive(input ? *input : empty);
    }
}

} // namespace detail

template<class Archive>
void serialize(Archive &archive, PeerAddress &value)
{
    archive(value.host, value.port);
}

template<class Archive>
void serialize(Archive &archive, Demand &value)
{
    archive(value.milliCores, value.memoryMb, value.accelerators);
}

template<class Archive>
void serialize(Archive &archive, SubmissionId &value)
{
    archive(value.dataCentre, value.vm, value.incarnation, value.sequence);
}

template<class Archive>
void serialize(Archive &archive, TaskId &value)
{
    archive(value.submission, value.index, value.attempt);
}

template<class Archive>
void serialize(Archive &archive, Issuer &value)
{
    archive(value.dataCentre, value.vm, value.incarnation);
}

template<class Archive>
void serialize(Archive &archive, Heartbeat &value)
{
    archive(value.vm, value.dataCentre, value.incarnation, value.receiverIncarnation,
            value.catalogueOffset, value.vmListVersion, value.port);
    detail::boolField(archive, value.leaving);
    detail::boolField(archive, value.followsLog);
    archive(value.hears, value.capacity);
}

template<class Archive>
void serialize(Archive &archive, SummaryMember &value)
{
    archive(value.vm, value.incarnation);
    detail::enumField(archive, value.state, MemberState::Dead);
    archive(value.offsetLag);
}

template<class Archive>
void serialize(Archive &archive, Summary &value)
{
    archive(value.sender, value.members);
}

template<class Archive>
void serialize(Archive &archive, Leaving &value)
{
    archive(value.vm, value.dataCentre, value.incarnation, value.successor);
}

template<class Archive>
void serialize(Archive &archive, VmListEntry &value)
{
    archive(value.name);
    detail::enumField(archive, value.role, VmRole::Worker);
    archive(value.dataCentre, value.rack, value.address);
    detail::boolField(archive, value.leaving);
    archive(value.slots, value.capacity);
}

template<class Archive>
void serialize(Archive &archive, VmListUpdate &value)
{
    archive(value.version, value.base, value.changed, value.removed);
}

template<class Archive>
void serialize(Archive &archive, CatalogueRequest &value)
{
    archive(value.after, value.afterDigest);
}

template<class Archive>
void serialize(Archive &archive, LogRecord &value)
{
    archive(value.offset, value.data);
}

template<class Archive>
void serialize(Archive &archive, CatalogueRecords &value)
{
    archive(value.after, value.afterDigest, value.records);
}

template<class Archive>
void serialize(Archive &archive, Limits &value)
{
    archive(value.startsPerSecond, value.concurrent, value.queued);
    detail::durationField(archive, value.deadline);
    archive(value.maxTasks, value.retryPercent);
}

template<class Archive>
void serialize(Archive &archive, Entry &value)
{
    archive(value.name, value.owner, value.workClass);
    detail::enumField(archive, value.backendKind, BackendKind::Worker);
    archive(value.demand);
    detail::durationField(archive, value.declaredRunTime);
    archive(value.limits, value.wasteWeight);
    detail::boolField(archive, value.retired);
    archive(value.version);
    // Validation rejects numbers that are not finite and durations out of range.
    if (!validateEntry(value).empty())
        throw cereal::Exception("invalid catalogue entry");
}

template<class Archive>
void serialize(Archive &archive, ChangeOutcome &value)
{
    archive(value.requestId, value.offset);
    detail::boolField(archive, value.accepted);
    archive(value.changeDigest);
}

template<class Archive>
void serialize(Archive &archive, SnapshotRecord &value)
{
    archive(value.at, value.takenAtMs, value.entries, value.outcomes);
}

template<class Archive>
void serialize(Archive &archive, CatalogueSnapshot &value)
{
    archive(value.digest, value.snapshot);
}

template<class Archive>
void serialize(Archive &archive, TaskInput &value)
{
    archive(value.name, value.input);
}

template<class Archive>
void serialize(Archive &archive, TaskAnswer &value)
{
    archive(value.name, value.output);
}

template<class Archive>
void serialize(Archive &archive, Answer &value)
{
    archive(value.tasks);
}

template<class Archive>
void serialize(Archive &archive, Error &value)
{
    detail::enumField(archive, value.verdict, Verdict::Ran);
    detail::enumField(archive, value.code,
                      static_cast<ErrorCode>(static_cast<int>(ErrorCode::Count_) - 1));
    archive(value.reason);
}

namespace detail {

enum class OutcomeKind : uint8_t { None, Complete, Failed };

inline void outcomeField(cereal::PortableBinaryOutputArchive &archive, const OutcomePtr &outcome)
{
    auto kind = OutcomeKind::None;
    if (outcome)
        kind = errorOf(*outcome) ? OutcomeKind::Failed : OutcomeKind::Complete;
    enumField(archive, kind, OutcomeKind::Failed);
    if (outcome)
        std::visit([&archive](const auto &value) { archive(value); }, *outcome);
}

inline void outcomeField(cereal::PortableBinaryInputArchive &archive, OutcomePtr &outcome)
{
    auto kind = OutcomeKind::None;
    enumField(archive, kind, OutcomeKind::Failed);
    if (kind == OutcomeKind::Complete) {
        Answer answer;
        archive(answer);
        outcome = makeOutcome(std::move(answer));
    } else if (kind == OutcomeKind::Failed) {
        Error error;
        archive(error);
        outcome = makeOutcome(std::move(error));
    }
}

} // namespace detail

template<class Archive>
void serialize(Archive &archive, TaskReply &value)
{
    archive(value.id);
    detail::enumField(archive, value.status, TaskStatus::Malformed);
    detail::boolField(archive, value.hasOutput);
    archive(value.output, value.reason);
    detail::durationField(archive, value.runTime);
}

template<class Archive>
void serialize(Archive &archive, TaskRequirements &value)
{
    archive(value.workClass, value.owner);
    detail::enumField(archive, value.kind, BackendKind::Worker);
    archive(value.demand);
    detail::durationField(archive, value.declaredRunTime);
    detail::timeField(archive, value.deadline);
    detail::boolField(archive, value.lastOfJob);
    archive(value.wasteWeight, value.waiting, value.jobWaiting);
    if (!(value.wasteWeight >= 0 && value.wasteWeight <= 1))
        throw cereal::Exception("waste weight out of range");
}

template<class Archive>
void serialize(Archive &archive, LentTask &value)
{
    archive(value.id, value.need);
    detail::inputField(archive, value.input);
}

template<class Archive>
void serialize(Archive &archive, HandoverRecord &value)
{
    archive(value.sequence, value.digest, value.owner);
    detail::outcomeField(archive, value.outcome);
    detail::timeField(archive, value.finishedAt);
    if (!value.outcome)
        throw cereal::Exception("handover record without an outcome");
}

template<class Archive>
void serialize(Archive &archive, LedgerPart &value)
{
    archive(value.issuer, value.horizon, value.lastIssued, value.part, value.parts, value.records);
    if (value.parts == 0 || value.part >= value.parts)
        throw cereal::Exception("ledger part number out of range");
}

template<class Archive>
void serialize(Archive &archive, LoanRequest &value)
{
    archive(value.owner, value.lender, value.borrower, value.borrowerIncarnation,
            value.milliStartsPerSecond);
}

template<class Archive>
void serialize(Archive &archive, LoanGrant &value)
{
    archive(value.owner, value.lender, value.lenderIncarnation, value.loan, value.borrower,
            value.borrowerIncarnation, value.milliStartsPerSecond);
    detail::timeField(archive, value.expiry);
}

namespace wire {

template<class Archive>
void serialize(Archive &archive, ForwardSubmit &value)
{
    archive(value.request, value.id, value.key, value.owner, value.entry, value.bodyDigest);
    detail::timeField(archive, value.deadline);
    detail::boolField(archive, value.repeatable);
    archive(value.tasks, value.traceparent);
}

template<class Archive>
void serialize(Archive &archive, ForwardCancel &value)
{
    archive(value.request, value.id, value.owner);
}

template<class Archive>
void serialize(Archive &archive, ForwardQuery &value)
{
    archive(value.request, value.id, value.owner);
}

template<class Archive>
void serialize(Archive &archive, ForwardReply &value)
{
    archive(value.request);
    detail::outcomeField(archive, value.outcome);
    detail::boolField(archive, value.isRunning);
}

template<class Archive>
void serialize(Archive &archive, Lend &value)
{
    archive(value.exchange, value.expectedIncarnation);
    detail::timeField(archive, value.expiry);
    archive(value.tasks, value.traceparent);
}

template<class Archive>
void serialize(Archive &archive, LendReply &value)
{
    archive(value.exchange, value.results, value.capacity);
}

template<class Archive>
void serialize(Archive &archive, LendResult &value)
{
    archive(value.results, value.capacity);
}

template<class Archive>
void serialize(Archive &archive, LendInquiry &value)
{
    archive(value.exchange, value.ids);
}

template<class Archive>
void serialize(Archive &archive, LendStop &value)
{
    archive(value.exchange, value.ids);
}

template<class Archive>
void serialize(Archive &archive, LendInquiryReply &value)
{
    archive(value.exchange, value.results);
}

template<class Archive>
void serialize(Archive &archive, LedgerHandover &value)
{
    archive(value.part);
}

template<class Archive>
void serialize(Archive &archive, LedgerAck &value)
{
    archive(value.issuer, value.part);
}

template<class Archive>
void serialize(Archive &archive, LedgerMoved &value)
{
    archive(value.issuer, value.successor);
}

template<class Archive>
void serialize(Archive &archive, Introduction &value)
{
    archive(value.httpAddress);
}

} // namespace wire
} // namespace lovage
