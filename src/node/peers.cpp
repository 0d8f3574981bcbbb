#include "peers.h"

namespace lovage::node {

namespace {

// A VM is lost if no report arrives from it within this time after its connection has failed.
constexpr Duration suspicionTimeout = std::chrono::milliseconds(300);

std::optional<std::string> vmByAddress(const VmTable &vms, const std::string &address)
{
    for (const auto &[name, row] : vms.rows()) {
        if (row.report.vm.address == address)
            return name;
    }
    return std::nullopt;
}

// Without the withdrawal, the pool runs the job until it ends, its deadline passes or this VM is
// lost to the pool.
void logUnsentWithdrawal(const std::string &vm, const VmMessage &message, std::string_view cause)
{
    const auto *withdrawal = std::get_if<WithdrawMessage>(&message);
    if (!withdrawal)
        return;
    logEvent(LogLevel::Warning, "withdrawal-unsent",
             {{"vm", vm}, {"number", withdrawal->ticket.number}, {"cause", cause}});
}

} // namespace

Peers::Peers(const NodeSettings &settings, const HolderOptions &holders, const Clock &clock,
             PeerPort &port, VmTable &vms, PeerHandlers handlers)
    : clock_(clock), port_(port), vms_(vms), handlers_(std::move(handlers)),
      contacts_({}, holders, vms)
{
    for (const Endpoint &seed : settings.seeds)
        contacts_.addSeed(toString(seed));
}

void Peers::onBytes(std::string_view bytes)
{
    auto message = decodeMessage(bytes);
    if (!message.has_value()) {
        logEvent(LogLevel::Warning, "message-malformed", {{"reason", message.error().reason}});
        return;
    }
    handlers_.onMessage(std::move(message.value()));
}

void Peers::send(const std::string &vm, const VmMessage &message)
{
    const VmTable::Row *row = vms_.find(vm);
    const auto to = row ? parseEndpoint(row->report.vm.address) : std::nullopt;
    if (to)
        port_.sendFrame(*to, encodeMessage(message));
    else if (!reportUnsent(vm, message))
        logUnsentWithdrawal(vm, message, "unknown-vm");
}

// Notifies the sender of an offer or a batch that the message was not sent. Returns false for all
// other messages.
bool Peers::reportUnsent(const std::string &vm, const VmMessage &message)
{
    if (const auto *offer = std::get_if<OfferMessage>(&message))
        handlers_.onOfferUnsent(vm, offer->offer);
    else if (const auto *batch = std::get_if<BatchMessage>(&message))
        handlers_.onBatchUnsent(vm, batch->batch);
    else
        return false;
    return true;
}

// Unsent frames are sent again if there was a connection, except for offers and batches: those are
// reported as unsent, so that the work can be placed elsewhere.
void Peers::onFramesLost(const FrameClient::Lost &lost)
{
    const auto vm = vmByAddress(vms_, toString(lost.to));
    logEvent(LogLevel::Info, "connection-lost",
             {{"vm", vm.value_or("unknown")},
              {"address", toString(lost.to)},
              {"was_connected", lost.wasConnected},
              {"unsent", lost.unsent.size()},
              {"interrupted", lost.interrupted}});
    if (!vm)
        return;
    if (lost.wasConnected)
        suspects_.try_emplace(*vm, clock_.now());
    for (const std::string &frame : lost.unsent) {
        const auto message = decodeMessage(frame);
        if (!message.has_value())
            continue;
        if (reportUnsent(*vm, message.value()))
            continue;
        if (lost.wasConnected)
            port_.sendFrame(lost.to, frame);
        else
            logUnsentWithdrawal(*vm, message.value(), "not-connected");
    }
}

// Reports to different targets differ only in who follows whom, in the report interval and in the
// renewed leases. Targets that get identical reports share one encoding.
void Peers::sendReport(VmReport report, const LeaseRenewals &renewals,
                       const std::vector<ReportTarget> &targets)
{
    report.sentAt = clock_.now();
    report.holders = contacts_.holdersToReport(report.sentAt);
    std::map<std::tuple<bool, bool, Duration>, std::string> encoded;
    for (const ReportTarget &target : targets) {
        const auto to = parseEndpoint(target.address);
        if (!to)
            continue;
        report.isFollowing = target.isFollowing;
        report.isReceiverFollower = target.isFollower;
        report.nextReportWithin = target.nextReportWithin;
        const auto renewal = renewals.find(target.vm);
        if (renewal != renewals.end()) {
            report.renewal = renewal->second;
            port_.sendDatagram(*to, encodeMessage(report));
            report.renewal.reset();
            continue;
        }
        std::string &bytes =
                encoded[{target.isFollowing, target.isFollower, target.nextReportWithin}];
        if (bytes.empty())
            bytes = encodeMessage(report);
        port_.sendDatagram(*to, bytes);
    }
}

void Peers::sendIntroduction(const VmInfo &newcomer)
{
    contacts_.scheduleReport(newcomer.name);
    const auto to = parseEndpoint(newcomer.address);
    if (to)
        port_.sendFrame(*to,
                        encodeMessage(IntroductionMessage {contacts_.introductionFor(newcomer)}));
}

void Peers::tick(Time now)
{
    std::vector<std::string> lost;
    for (const auto &[vm, since] : suspects_) {
        if (now > since + suspicionTimeout)
            lost.push_back(vm);
    }
    for (const std::string &vm : lost) {
        const VmTable::Row *row = vms_.find(vm);
        const bool isSilent = row && row->lastReportAt < suspects_.at(vm);
        suspects_.erase(vm);
        if (isSilent)
            handlers_.onVmLost(vm, "connection-broken");
    }
}

} // namespace lovage::node
