// A simulated backend server, executor or worker.
#pragma once

#include "lovagefake/ledger.h"

#include "lovage/backend.h"
#include "lovage/net.h"

#include <deque>

namespace lovage::fake {

struct ServerConfig
{
    std::string name;
    std::string dataCentre;
    std::string rack;
    BackendKind kind = BackendKind::Executor;
    uint32_t slots = 8;  // executors
    Demand capacity {0}; // workers
    double speed = 1.0;  // a task of 100 ms takes 100 ms / speed
    Endpoint endpoint;
    uint32_t maxConnections = 60;
};

// Faults that can be changed at run time. Zero turns a fault off.
struct ServerFaults
{
    double crash = 0;     // refuses connections; its tasks and all its state are lost
    double silent = 0;    // tasks run on, requests are neither handled nor answered
    double blackHole = 0; // every task that it starts fails after 1 ms
    double straggler = 0; // factor on run times
    double leaving = 0;   // replies report the server as leaving; new starts are still accepted
    double startAfterRefuse = 0; // answers "refused" and starts the task
    double malformed = 0;        // replies are truncated to half their size
    double oversize = 0;         // replies have this many extra bytes
    double loseStartReply = 0;   // share of start replies that are dropped
    double delayStartMs = 0;     // start requests are handled this much later
};

// Simulates tasks by timers on the I/O threads. Must be created before the threads run and
// destroyed after IoThreads::stop(), since their handlers refer to it.
class BackendServer
{
public:
    BackendServer(IoThreads &threads, size_t thread, Ledger &ledger, ServerConfig config,
                  uint64_t seed);
    Result<void> listen();

    const ServerConfig &config() const { return config_; }
    uint16_t port() const { return config_.endpoint.port; }
    // Returns false for an unknown fault, or if a crashed server cannot listen again.
    bool setFault(const std::string &name, double value);
    void handle(HttpRequest request, HttpServer::Reply reply);

private:
    struct Batch
    {
        HttpServer::Reply reply;
        bool wait = false;
        size_t unfinished = 0;
        std::vector<backend::TaskResult> results;
    };
    struct Task
    {
        backend::TaskResult result;
        std::string holder;
        Demand demand;
        Time startedAt;
        bool isRunning = true;
        std::shared_ptr<Batch> batch;
        size_t indexInBatch = 0;
    };
    struct Holder
    {
        struct Poll
        {
            HttpServer::Reply reply;
            uint64_t number = 0;
        };
        uint64_t nextResult = 1; // sequence number of the next result
        std::deque<std::pair<uint64_t, backend::TaskResult>> results;
        std::vector<Poll> polls;
        uint64_t lastPollNumber = 0;
        uint64_t ack = 0;
        std::optional<Time> leaseEnd;
    };
    struct SimulatedRun
    {
        Duration runTime;
        std::string output;
        bool isFailing = false;
    };

    using Lock = std::unique_lock<std::mutex>;

    void handleStart(const HttpRequest &message, const HttpServer::Reply &reply);
    backend::TaskResult startTask(const backend::TaskStart &task,
                                  const backend::StartRequest &request,
                                  const std::shared_ptr<Batch> &batch, Time now);
    void beginRun(const backend::TaskStart &task, const std::string &holder,
                  const std::shared_ptr<Batch> &batch, bool isMisbehaving, Time now);
    SimulatedRun simulatedRunOf(const backend::TaskStart &task) const;
    void finishRun(const std::string &id, uint64_t generation, backend::TaskStatus status);
    void handleResults(const std::string &body, const HttpServer::Reply &reply);
    void answerPolls(Holder &holder);
    void handleInquiry(const std::string &body, bool isStop, const HttpServer::Reply &reply);
    void handleLeaseRenewal(const std::string &body, const HttpServer::Reply &reply);
    void setLease(const std::string &holder, Duration lease, Time now);
    void checkLease(const std::string &holder);
    void crash();
    uint64_t instance() const;
    void sendStartReply(Batch &batch);
    void send(const HttpServer::Reply &reply, std::string body);
    bool hasCapacityFor(const Demand &demand) const;
    uint32_t freeCount() const;
    void recordUsage(Time now);

    IoThreads &threads_;
    size_t thread_;
    Ledger &ledger_;
    ServerConfig config_;
    std::recursive_mutex mutex_;
    // Each call of listen() adds a server. Only the last one listens.
    std::vector<std::unique_ptr<HttpServer>> servers_;
    ServerFaults faults_;
    std::optional<Time> leavingSince_;
    Random random_;
    uint64_t generation_ = 0; // number of crashes
    const uint64_t firstInstance_ = static_cast<uint64_t>(currentTime().time_since_epoch().count());
    uint32_t running_ = 0;
    Demand used_ {0};
    std::map<std::string, Task> tasks_;
    std::unordered_set<std::string> tombstones_;
    std::map<std::string, Holder> holders_;
    std::deque<std::pair<Time, uint32_t>> usage_; // number of running tasks over the last 2 s
    std::vector<HttpServer::Reply> unansweredReplies_;
};

} // namespace lovage::fake
