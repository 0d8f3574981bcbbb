// One simulated backend server.
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

// Faults that are switched at run time; zero is off.
struct ServerFaults
{
    double crash = 0;            // refuses connections; its tasks and its memory are lost
    double silent = 0;           // tasks run on, requests are neither read nor answered
    double blackHole = 0;        // fails everything it starts, at once
    double straggler = 0;        // factor on run times
    double leaving = 0;          // replies say so; new starts are still accepted
    double startAfterRefuse = 0; // answers "refused" and starts the task
    double malformed = 0;        // answers are cut in half
    double oversize = 0;         // answers have this many extra bytes
    double loseStartReply = 0;   // share of start replies that are dropped
    double delayStartMs = 0;     // start messages are handled this much later
};

// Runs tasks as timers on the I/O threads. Outlives the threads' handlers: created before they
// start to run and destroyed after IoThreads::stop().
class BackendServer
{
public:
    BackendServer(IoThreads &threads, size_t thread, Ledger &ledger, ServerConfig config,
                  uint64_t seed);
    Result<void> listen();

    const ServerConfig &config() const { return config_; }
    uint16_t port() const { return config_.endpoint.port; }
    // False if there is no such fault.
    bool setFault(const std::string &name, double value);
    void handle(HttpRequest request, HttpServer::Reply reply);

private:
    struct Batch
    {
        HttpServer::Reply reply;
        bool wait = false;
        size_t open = 0;
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
        uint64_t next = 1; // number of the next result
        std::deque<std::pair<uint64_t, backend::TaskResult>> results;
        std::vector<Poll> polls;
        uint64_t polled = 0;
        uint64_t ack = 0;
        std::optional<Time> leaseEnd;
    };
    struct Plan
    {
        Duration runTime;
        std::string output;
        bool isFailing = false;
    };

    using Lock = std::unique_lock<std::mutex>;

    void start(const HttpRequest &message, const HttpServer::Reply &reply);
    backend::TaskResult startOne(const backend::TaskStart &task,
                                 const backend::StartRequest &request,
                                 const std::shared_ptr<Batch> &batch, Time now);
    void run(const backend::TaskStart &task, const std::string &holder,
             const std::shared_ptr<Batch> &batch, bool isMisbehaving, Time now);
    Plan planOf(const backend::TaskStart &task) const;
    void finish(const std::string &id, uint64_t generation, backend::TaskStatus status);
    void results(const std::string &body, const HttpServer::Reply &reply);
    void answerPolls(Holder &holder);
    void inquire(const std::string &body, bool isStop, const HttpServer::Reply &reply);
    void renew(const std::string &body, const HttpServer::Reply &reply);
    void setLease(const std::string &holder, Duration lease, Time now);
    void checkLease(const std::string &holder);
    void crash();
    uint64_t instance() const;
    void sendStartReply(Batch &batch);
    void send(const HttpServer::Reply &reply, std::string body);
    bool fits(const Demand &demand) const;
    uint32_t freeCount() const;
    void addUsage(Time now);

    IoThreads &threads_;
    size_t thread_;
    Ledger &ledger_;
    ServerConfig config_;
    std::recursive_mutex mutex_;
    std::vector<std::unique_ptr<HttpServer>> servers_; // the last one listens
    ServerFaults faults_;
    std::optional<Time> leavingSince_;
    Random random_;
    uint64_t generation_ = 0; // counts crashes
    const uint64_t firstInstance_ = static_cast<uint64_t>(currentTime().time_since_epoch().count());
    uint32_t running_ = 0;
    Demand used_ {0};
    std::map<std::string, Task> tasks_;
    std::unordered_set<std::string> tombstones_;
    std::map<std::string, Holder> holders_;
    std::deque<std::pair<Time, uint32_t>> usage_; // running tasks over the last seconds
    std::vector<HttpServer::Reply> held_;
};

} // namespace lovage::fake
