// Events and messages of peers.
#include "peers.h"
#include "stored_jobs.h"

#include "lovage/node.h"

#include <algorithm>

namespace lovage {

namespace {

// Minimum interval of configuration requests to peers. A new version usually arrives from the store
// first.
constexpr Duration configurationRequestInterval = std::chrono::milliseconds(200);

} // namespace

node::PeerHandlers NodeLogic::peerHandlers()
{
    node::PeerHandlers handlers;
    handlers.onMessage = [this](VmMessage message) { onMessage(std::move(message)); };
    handlers.onOfferUnsent = [this](const std::string &vm, const JobOffer &offer) {
        onOfferUnsent(vm, offer);
    };
    handlers.onBatchUnsent = [this](const std::string &vm, const TaskBatch &batch) {
        onBatchUnsent(vm, batch);
    };
    handlers.onVmLost = [this](const std::string &vm, std::string_view cause) {
        onVmLost(vm, cause);
    };
    return handlers;
}

void NodeLogic::onPeerBytes(std::string_view bytes)
{
    peers_->onBytes(bytes);
}

void NodeLogic::onFramesLost(const FrameClient::Lost &lost)
{
    peers_->onFramesLost(lost);
}

void NodeLogic::onOfferUnsent(const std::string &vm, const JobOffer &offer)
{
    vms_.markUnreachable(vm, clock_.now());
    router_.onOfferUnsent(vm, offer.ticket, clock_.now());
    flush();
}

void NodeLogic::onBatchUnsent(const std::string &vm, const TaskBatch &batch)
{
    vms_.markUnreachable(vm, clock_.now());
    storedJobs_->onBatchUnsent(vm, batch);
    flush();
}

void NodeLogic::onVmLost(const std::string &vm, std::string_view cause)
{
    logEvent(LogLevel::Warning, "vm-lost", {{"vm", vm}, {"cause", cause}});
    // The VM may be alive, so the offers to it are withdrawn while its address is known.
    router_.onVmLost(vm, clock_.now());
    pool_.withdrawAll(vm, 0, clock_.now());
    flush();
    vms_.remove(vm, clock_.now());
    storedJobs_->onVmLost(vm);
    flush();
}

void NodeLogic::onPeerMessage(VmReport report)
{
    const std::string vm = report.vm.name;
    const VmInfo info = report.vm;
    const uint64_t incarnation = report.vm.incarnation;
    const VmTable::Row *known = vms_.find(vm);
    const bool isNewFollower = report.isFollowing && !(known && known->report.isFollowing);
    const bool isBehind = evacuations_.isRequestDue(report.evacuationsVersion, clock_.now());
    if (report.configurationVersion > configuration_.version || isBehind)
        requestConfiguration(vm);
    if (std::find(report.lostVms.begin(), report.lostVms.end(), self_.name)
        != report.lostVms.end()) {
        // The sender does not receive this VM's reports and has given up the jobs it offered.
        pool_.withdrawAll(vm, 0, clock_.now());
    }
    if (report.renewal && report.renewal->lease.poolIncarnation == self_.incarnation)
        pool_.renewLeases(vm, incarnation, *report.renewal);
    storedJobs_->onReport(report);
    const auto result = vms_.addReport(std::move(report), clock_.now());
    if (result == VmTable::ReportResult::New || result == VmTable::ReportResult::Restarted) {
        logEvent(LogLevel::Info, "vm-heard", {{"vm", vm}, {"incarnation", incarnation}});
        peers_->addContacts({info});
    }
    if (isNewFollower || result == VmTable::ReportResult::Restarted)
        peers_->sendIntroduction(info);
    if (result != VmTable::ReportResult::Restarted)
        return;
    router_.onVmLost(vm, clock_.now());
    pool_.withdrawAll(vm, incarnation, clock_.now());
    storedJobs_->onVmLost(vm);
}

// A lease that refers to the clock of another incarnation has no meaning here.
void NodeLogic::onPeerMessage(OfferMessage message)
{
    if (!message.offer.lease || message.offer.lease->poolIncarnation != self_.incarnation) {
        logEvent(LogLevel::Info, "job-refused",
                 {{"job", message.offer.job.id},
                  {"cause", "offer-to-other-incarnation"},
                  {"vm", message.offer.ticket.vm}});
        execute(JobAnswer {message.offer.ticket, JobResult::Refused, "restarted"});
        return;
    }
    pool_.offer(std::move(message.offer), clock_.now());
}

void NodeLogic::onPeerMessage(AnswerMessage message)
{
    vms_.updateLoads(message.vm, std::move(message.loads));
    router_.onAnswer(message.vm, std::move(message.answer), clock_.now());
}

void NodeLogic::onPeerMessage(const WithdrawMessage &message)
{
    // An earlier process may have run the job, so this one cannot answer.
    if (message.origin && message.origin->poolIncarnation == self_.incarnation)
        pool_.withdrawUnanswered(message.ticket, message.origin->offeredAt, clock_.now());
    else
        pool_.withdraw(message.ticket, clock_.now());
}

void NodeLogic::onPeerMessage(const AcceptedMessage &message)
{
    router_.onAccepted(message);
}

void NodeLogic::onPeerMessage(const IntroductionMessage &message)
{
    peers_->addContacts(message.vms);
}

void NodeLogic::onPeerMessage(const ConfigurationRequest &message)
{
    ConfigurationMessage answer;
    if (hasConfiguration_)
        answer.configuration = configuration_;
    if (evacuations_.isKnown())
        answer.evacuations = evacuations_.current();
    if (answer.configuration || answer.evacuations)
        peers_->send(message.vm, std::move(answer));
}

void NodeLogic::onPeerMessage(ConfigurationMessage message)
{
    if (message.configuration)
        setConfiguration(std::move(*message.configuration));
    if (message.evacuations)
        setEvacuations(std::move(*message.evacuations));
}

// All other messages are about stored jobs.
template<class Message>
void NodeLogic::onPeerMessage(Message message)
{
    storedJobs_->onPeerMessage(std::move(message));
}

void NodeLogic::onMessage(VmMessage message)
{
    detectPause(clock_.now());
    std::visit([this](auto &alternative) { onPeerMessage(std::move(alternative)); }, message);
    flush();
}

void NodeLogic::requestConfiguration(const std::string &vm)
{
    const Time now = clock_.now();
    if (now < nextConfigurationRequest_ || !vms_.find(vm))
        return;
    nextConfigurationRequest_ = now + configurationRequestInterval;
    peers_->send(vm, ConfigurationRequest {self_.name});
}

} // namespace lovage
