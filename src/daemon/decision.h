// Event loop of the decision thread, which owns the decision libraries.
#pragma once

#include "backendlink.h"
#include "lifecycle.h"
#include "peerlink.h"
#include "platformlink.h"
#include "shared.h"

#include <map>
#include <set>
#include <unordered_map>

namespace lovage::daemon {

// Passes each input to the decision library that handles it and carries out the resulting actions.
// Not thread safe: used only by the decision thread.
class DecisionLoop : private LifeCycleActions
{
public:
    DecisionLoop(SharedState &shared, IoThreads &threads, PeerLink &peers, PlatformLink &platform,
                 BackendLink &backends, uint64_t seed, Time now);
    ~DecisionLoop();

    // Handles the inputs, runs the timers that are due and carries out all actions.
    void run(std::vector<Input> &batch);
    // Returns the time until run() must be called again even without input.
    Duration nextWait();
    // True after the drain has ended. New submissions are refused from then on.
    bool hasFinished() const { return hasFinished_; }
    // Sets the HTTP address announced to other VMs. Must be called before the first run().
    void setHttpAddress(std::string address) { httpAddress_ = std::move(address); }

private:
    // A request that was forwarded to another VM. It is resent until a reply arrives, because
    // frames are lost when a connection breaks; the receiver detects duplicates.
    struct Forwarded
    {
        std::string vm;
        WireMessage message;
        Time nextSend {};
        Time until {};
        std::optional<Span> span;
        std::optional<WaitingCaller>
                caller; // of a keyed submission that the Dispatcher does not track
    };
    struct OpenLend
    {
        std::string vm;
        Time until {};
        std::optional<Span> span;
    };
    // Trace of a sampled submission.
    struct SubmissionTrace
    {
        TraceContext context;
        Time accepted {};
        bool hasStarted = false;
        Time until {};
    };
    struct PeerInfo
    {
        Member member;
        uint64_t introducedIncarnation = 0; // peer incarnation that has our HTTP address
        std::string httpAddress;
        std::string successor; // announced with its departure
    };

    // decision.cpp: inputs and time
    void on(Event &event);
    void on(CallerInput &input);
    void on(PublishInput &input);
    void on(StatusInput &input);
    void on(PeerInput &input);
    void on(VmListInput &input);
    void on(WorkerResults &input);
    void on(LeaseAnswer &input);
    void on(LogPage &input);
    void on(LogError &input);
    void on(AppendReplied &input);
    void on(AppendFailed &input);
    void on(StopInput &input);
    void dispatch(Event event);
    void tick(Time now);
    void updateMetrics(Time now);
    void checkReady(Time now);
    void flushTraces();

    // decision_actions.cpp: actions of the Dispatcher
    void performActions();
    void perform(ReplyOpened &action);
    void perform(CompleteSubmission &action);
    void perform(ReplyState &action);
    void perform(ForwardSubmission &action);
    void perform(ForwardCancel &action);
    void perform(ForwardQuery &action);
    void perform(SendStarts &action);
    void perform(SendInquiry &action);
    void perform(SendStop &action);
    void perform(SendLend &action);
    void perform(SendLendInquiry &action);
    void perform(SendLendReply &action);
    void perform(SendLendResult &action);
    void perform(SendLendInquiryReply &action);
    void perform(HandOverLedger &action);
    void perform(AcknowledgeHandover &action);
    void perform(DrainFinished &action);
    std::optional<WaitingCaller> takeCaller(uint64_t request);
    void answer(WaitingCaller caller, HttpResponse response);
    void forward(uint64_t number, const std::string &vm, WireMessage message, Time until,
                 std::optional<Span> span);
    void failForward(uint64_t number);
    void failForwards(const std::string &vm);
    // Forwards a keyed submission to the home VM of its key. Returns false if this VM is the home.
    bool forwardKeyed(CallerInput &input);
    std::string homeOf(const std::string &key) const;
    bool hasKeyedForwards() const;
    const SubmissionTrace *findTrace(const SubmissionId &id) const;
    std::optional<Span> startSpan(const SendStarts &action, Time now);

    // decision_peers.cpp: messages of peers, membership, catalogue
    struct MessageVisitor;
    void performAll(const std::vector<MembershipAction> &actions);
    void performAll(const std::vector<FollowerAction> &actions);
    void performAll(const std::vector<PublisherAction> &actions);
    void perform(const SendMembership &action);
    void perform(const PollVmList &action);
    void perform(const MemberOffsetReported &action);
    void perform(const MemberCapacityReported &action);
    void perform(const RelayChanged &action);
    void perform(const BackendShares &action);
    void perform(const MemberLost &action);
    void perform(const MemberLeaving &action);
    void perform(const FenceSelf &action);
    void perform(const BeginDrain &action);
    void perform(const ReadLog &action);
    void perform(const SendCatalogueMessage &action);
    void perform(const PublishCatalogue &action);
    void perform(const AppendSnapshot &action);
    void perform(const FollowerStateChanged &action);
    void perform(const PeerDiverged &action);
    void perform(const AppendChange &action);
    void perform(const ReadBack &action);
    void perform(const PublishFinished &action);
    void feed(const MembershipEvent &event);
    void feed(const FollowerEvent &event);
    void feed(const PublisherEvent &event);
    void refreshPeers();
    std::vector<uint32_t> ownCapacityWords() const;
    void sendOwnStatus(Time now);
    void sendLoanRequests(Time now);
    // Returns false without sending if the VM is unknown, dead or has no known address.
    bool sendTo(const std::string &vm, const WireMessage &message);
    std::string redirectAddress() const;

    // status.cpp
    std::string statusText() const;

    // LifeCycleActions
    void enterServing() override;
    void enterDraining() override;
    void endDrainNow() override;
    void enterStopped(bool wasOrderly) override;

    SharedState &shared_;
    IoThreads &threads_;
    PeerLink &peerLink_;
    PlatformLink &platform_;
    BackendLink &backends_;

    Dispatcher dispatcher_;
    Membership membership_;
    CatalogueFollower follower_;
    CataloguePublisher publisher_;
    LifeCycle lifeCycle_;

    // Added to the request and exchange numbers on the wire, so that a late reply to an earlier
    // process of this VM matches no pending request.
    const uint64_t numberBase_;
    Time started_;
    Time nextHousekeeping_ {};
    Time nextLoanRequests_ {};
    Time nextTraceFlush_ {};
    Time nextDispatcherTick_ {};
    bool hasBackends_ = false;
    bool hasFinished_ = false;
    bool isDrainFinished_ = false;
    bool wasOrderly_ = true;
    bool hasAnnouncedSuccessor_ = false;
    bool hasSharesChanged_ = false;
    Time listAsOf_ {};
    std::string httpAddress_;

    uint64_t lastRequest_ = 0;
    std::unordered_map<uint64_t, WaitingCaller> callers_;
    std::map<uint64_t, HttpServer::Reply> publishes_;
    std::unordered_map<uint64_t, Forwarded> forwards_;
    std::unordered_map<uint64_t, OpenLend> lends_;
    std::map<SubmissionId, SubmissionTrace> traces_;
    std::map<std::string, PeerInfo> peers_;
    std::set<std::string> divergedPeers_;
    std::unique_ptr<HttpClient> traceClient_;
};

} // namespace lovage::daemon
