// Exchanges messages with the peers of a VM: reports as datagrams, all others as frames of a
// connection.
#pragma once

#include "lovage/contacts.h"
#include "lovage/node.h"
#include "lovage/routing.h"

#include <functional>
#include <map>

namespace lovage::node {

// Callbacks for events of peers.
struct PeerHandlers
{
    std::function<void(VmMessage)> onMessage;
    std::function<void(const std::string &vm, const JobOffer &offer)> onOfferUnsent;
    std::function<void(const std::string &vm, const TaskBatch &batch)> onBatchUnsent;
    std::function<void(const std::string &vm, std::string_view cause)> onVmLost;
};

// Single-threaded, like the node. Messages that cannot be decoded are logged and dropped.
class Peers
{
public:
    Peers(const NodeSettings &settings, const HolderOptions &holders, const Clock &clock,
          PeerPort &port, VmTable &vms, PeerHandlers handlers);

    void send(const std::string &vm, const VmMessage &message);
    using LeaseRenewals = std::map<std::string, LeaseRenewal>; // by name of the receiving VM
    // Sends the reports that are due. Calls none of the functions if no report is due.
    template<class State, class Report, class Renewals>
    void sendReports(State state, Report report, Renewals renewals, Time now)
    {
        const std::vector<ReportTarget> targets = contacts_.dueReports(state, now);
        if (!targets.empty())
            sendReport(report(), renewals(), targets);
    }
    // Sends the report to every contact immediately.
    void sendReportNow(const ContactState &state, VmReport report, const LeaseRenewals &renewals,
                       Time now)
    {
        sendReport(std::move(report), renewals, contacts_.allReports(state, now));
    }
    // Answers the first report of a VM with an introduction to other VMs.
    void sendIntroduction(const VmInfo &newcomer);
    void addContacts(const std::vector<VmInfo> &vms) { contacts_.addVms(vms); }
    const ContactPlan &contacts() const { return contacts_; }
    void tick(Time now);

    // Handles a datagram or a frame of a peer.
    void onBytes(std::string_view bytes);
    void onFramesLost(const FrameClient::Lost &lost);

private:
    bool reportUnsent(const std::string &vm, const VmMessage &message);
    void sendReport(VmReport report, const LeaseRenewals &renewals,
                    const std::vector<ReportTarget> &targets);

    const Clock &clock_;
    PeerPort &port_;
    VmTable &vms_;
    PeerHandlers handlers_;
    ContactPlan contacts_;
    // Time of the connection failure of each VM that is lost unless it reports within a short time
    // after the failure, by name of the VM.
    std::map<std::string, Time> suspects_;
};

} // namespace lovage::node
