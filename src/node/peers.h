// Exchanges messages with the peers of a VM: reports as datagrams, all others as frames of a
// connection.
#pragma once

#include "lovage/contacts.h"
#include "lovage/net.h"
#include "lovage/node.h"
#include "lovage/routing.h"

#include <functional>
#include <map>
#include <memory>

namespace lovage::node {

// Callbacks run on the I/O thread. Messages that cannot be decoded are logged and dropped.
class Peers
{
public:
    struct Handlers
    {
        std::function<void(VmMessage)> onMessage;
        std::function<void(const std::string &vm, const JobOffer &offer)> onOfferUnsent;
        std::function<void(const std::string &vm, const TaskBatch &batch)> onBatchUnsent;
        std::function<void(const std::string &vm, std::string_view cause)> onVmLost;
    };

    // Owner must have the methods that Handlers names, and must outlive the returned object.
    template<class Owner>
    static Result<std::unique_ptr<Peers>> open(const NodeSettings &settings,
                                               const HolderOptions &holders, IoThreads &threads,
                                               VmTable &vms, Owner &owner)
    {
        return open(settings, holders, threads, vms,
                    Handlers {[&owner](VmMessage message) { owner.onMessage(std::move(message)); },
                              [&owner](const std::string &vm, const JobOffer &offer) {
                                  owner.onOfferUnsent(vm, offer);
                              },
                              [&owner](const std::string &vm, const TaskBatch &batch) {
                                  owner.onBatchUnsent(vm, batch);
                              },
                              [&owner](const std::string &vm, std::string_view cause) {
                                  owner.onVmLost(vm, cause);
                              }});
    }
    static Result<std::unique_ptr<Peers>> open(const NodeSettings &settings,
                                               const HolderOptions &holders, IoThreads &threads,
                                               VmTable &vms, Handlers handlers);

    void send(const std::string &vm, const VmMessage &message);
    // Sends the reports that are due. Calls neither function if no report is due.
    template<class State, class Report>
    void sendReports(State state, Report report, Time now)
    {
        const std::vector<ReportTarget> targets = contacts_.dueReports(state, now);
        if (!targets.empty())
            sendReport(report(), targets);
    }
    // Sends the report to every contact immediately.
    void sendReportNow(const ContactState &state, VmReport report, Time now)
    {
        sendReport(std::move(report), contacts_.allReports(state, now));
    }
    // Answers the first report of a VM with an introduction to other VMs.
    void sendIntroduction(const VmInfo &newcomer);
    void addContacts(const std::vector<VmInfo> &vms) { contacts_.addVms(vms); }
    const ContactPlan &contacts() const { return contacts_; }
    void tick(Time now);

private:
    Peers(const NodeSettings &settings, const HolderOptions &holders, VmTable &vms,
          Handlers handlers);
    Result<void> listen(const NodeSettings &settings, IoThreads &threads);
    bool reportUnsent(const std::string &vm, const VmMessage &message);
    void onFramesLost(const FrameClient::Lost &lost);
    void onBytes(std::string_view bytes);
    void sendReport(VmReport report, const std::vector<ReportTarget> &targets);

    VmTable &vms_;
    Handlers handlers_;
    ContactPlan contacts_;
    // Time of the connection failure of each VM that is lost unless it reports within a short time
    // after the failure, by name of the VM.
    std::map<std::string, Time> suspects_;
    std::unique_ptr<UdpSocket> reportSocket_;
    std::unique_ptr<FrameClient> frameClient_;
    std::unique_ptr<FrameServer> frameServer_;
};

} // namespace lovage::node
