// Sample messages of every type, with non-default field values, for the tests of the peer protocol.
#pragma once

#include "lovage/protocol.h"

namespace lovage {

inline std::vector<WireMessage> sampleMessages()
{
    const Time time = fromUnixMillis(1'700'000'000'123);
    const SubmissionId id {"dc1", "vm-a", 0x1234567890, 7};
    const TaskId task {id, 3, 1};
    const Issuer issuer {"dc1", "vm-a", 0x1234567890};
    const Heartbeat heartbeat {"vm-a", "dc1", 5, 6, 7, 8, 9, true, true, {1, 2}, {3, 4, 5}};
    const VmListEntry listed {"w-1", VmRole::Worker, "dc1", "rack1", {"127.0.0.1", 80}, true,
                              8,     {1000, 2048, 2}};
    Entry entry;
    entry.name = "hint";
    entry.owner = "team";
    entry.workClass = "hint";
    const TaskRequirements need {.workClass = "hint",
                                 .owner = "team",
                                 .kind = BackendKind::Worker,
                                 .demand = {2000, 64, 1},
                                 .declaredRunTime = std::chrono::milliseconds(80),
                                 .deadline = time,
                                 .lastOfJob = true,
                                 .wasteWeight = 0.25,
                                 .waiting = 4,
                                 .jobWaiting = 2};
    const TaskReply reply {
            task, TaskStatus::Done, true, "out", "why", std::chrono::milliseconds(3)};
    const LentTask lent {task, need, std::make_shared<const std::string>("input")};
    const HandoverRecord complete {7, 99, "team", makeOutcome(Answer {{{"a", "x"}, {"b", "y"}}}),
                                   time};
    const HandoverRecord failed {8, 98, "team",
                                 makeOutcome(mayHaveRun(ErrorCode::BackendLost, "lost")), time};
    return {heartbeat,
            Summary {heartbeat, {{"vm-b", 4, MemberState::Suspect, 3}}},
            Leaving {"vm-a", "dc1", 5, "vm-b"},
            VmListUpdate {4, 3, {listed}, {"w-2"}},
            CatalogueRequest {5, 6},
            CatalogueRecords {5, 6, {{6, "record"}, {7, std::string("\0x", 2)}}},
            CatalogueSnapshot {4, {9, 1, {entry}, {{"request", 4, true, 5}}}},
            wire::ForwardSubmit {1, id, "key", "team", "hint", 5, time, true, {{"a", "in"}}, "00-"},
            wire::ForwardReply {1, complete.outcome, false},
            wire::ForwardReply {2, failed.outcome, false},
            wire::ForwardReply {3, nullptr, true},
            wire::ForwardCancel {1, id, "team"},
            wire::ForwardQuery {1, id, "team"},
            wire::Lend {1, 2, time, {lent, lent}, "00-"},
            wire::LendReply {1, {reply}},
            wire::LendResult {{reply, reply}},
            wire::LendInquiry {1, {task}},
            wire::LendStop {1, {task, task}},
            wire::LendInquiryReply {1, {reply}},
            LoanRequest {"team", "vm-a", "vm-b", 4, 1500},
            LoanGrant {"team", "vm-a", 3, 1, "vm-b", 4, 1500, time},
            wire::LedgerHandover {{issuer, 3, 9, 0, 2, {complete, failed}}},
            wire::LedgerAck {issuer, 1},
            wire::LedgerMoved {issuer, "vm-b"},
            wire::Introduction {"127.0.0.1:8080"}};
}

} // namespace lovage
