#include "callerapi.h"
#include "decision.h"

#include <random>
#include <thread>

namespace lovage {

using namespace daemon;

namespace {

// After the drain, requests that arrive on existing connections are still answered. New connections
// are refused and each answer closes its connection, so their number falls. The VM stops once
// there has been no open request for disconnectedQuietPeriod if no connection is left, or for
// idleQuietPeriod otherwise, and at the latest at the drain deadline. A second stop signal reduces
// that deadline to forcedStopTimeout.
constexpr Duration disconnectedQuietPeriod = std::chrono::milliseconds(100);
constexpr Duration idleQuietPeriod = std::chrono::seconds(1);
constexpr Duration forcedStopTimeout = std::chrono::seconds(2);

uint64_t seedOf(const DaemonOptions &options)
{
    return options.seed != 0 ? options.seed : std::random_device()();
}

HttpLimits httpLimits(const Settings &settings)
{
    HttpLimits limits;
    limits.maxBodyBytes = settings.limits.bodyBytes();
    limits.maxHeaderBytes = settings.limits.maxHeaderBytes;
    limits.maxConnections = settings.limits.maxConnections;
    limits.idleTimeout = settings.limits.idleTimeout;
    limits.readTimeout = settings.limits.readTimeout;
    limits.budget = makeBudget(settings.limits.heldBytes(), ordinaryRequestBytes);
    return limits;
}

uint64_t incarnationNow()
{
    return static_cast<uint64_t>(currentTime().time_since_epoch().count());
}

} // namespace

// The destructor stops the threads, whose handlers use the sockets, before the members are
// destroyed in reverse order.
class Daemon::Implementation
{
public:
    Implementation(Settings settings, uint64_t seed)
        : shared_(std::move(settings), incarnationNow(), seed), api_(shared_),
          threads_(shared_.settings.ioThreads), seed_(seed)
    { }

    ~Implementation()
    {
        isAborted_ = true;
        shared_.queue.push(Event(Tick {}));
        if (thread_.joinable())
            thread_.join();
        threads_.stop();
    }

    Result<void> open(const DaemonOptions &options)
    {
        auto peers = PeerLink::open(threads_, shared_, options.peerFaults);
        if (!peers.has_value())
            return peers.error();
        peers_ = std::move(peers.value());
        platform_ = std::make_unique<PlatformLink>(threads_, shared_);
        backends_ = std::make_unique<BackendLink>(threads_, shared_);
        loop_ = std::make_unique<DecisionLoop>(shared_, threads_, *peers_, *platform_, *backends_,
                                               seed_, currentTime());
        auto server = HttpServer::listen(
                threads_, shared_.settings.http, httpLimits(shared_.settings),
                [this](HttpRequest request, HttpServer::Reply reply) {
                    api_.handle(std::move(request), std::move(reply));
                },
                CallerApi::errorBody);
        if (!server.has_value())
            return server.error();
        server_ = std::move(server.value());
        loop_->setHttpAddress(toString(Endpoint {shared_.settings.http.address, server_->port()}));
        thread_ = std::thread([this] { runLoop(); });
        return boost::outcome_v2::success();
    }

    SharedState &shared() { return shared_; }
    void requestStop()
    {
        ++stopRequests_;
        shared_.queue.push(StopInput {});
    }
    uint16_t httpPort() const { return server_->port(); }
    uint16_t peerPort() const { return peers_->port(); }

private:
    void runLoop()
    {
        const RcuThread reader;
        std::vector<Input> batch;
        while (!isAborted_ && !loop_->hasFinished())
            step(batch);
        server_->stopAccepting();
        const Time begun = currentTime();
        Time idleSince = begun;
        while (!isAborted_) {
            step(batch);
            const Time now = currentTime();
            const bool isForcedStop = stopRequests_ > 1;
            if (now - begun >= (isForcedStop ? forcedStopTimeout : shared_.settings.drainDeadline))
                break;
            const bool isConnected = server_->stats().connections > 0;
            if (shared_.openRequests > 0)
                idleSince = now;
            else if (now - idleSince >= (isConnected ? idleQuietPeriod : disconnectedQuietPeriod))
                break;
        }
        shared_.setState(DaemonState::Stopped);
    }

    void step(std::vector<Input> &batch)
    {
        shared_.queue.take(batch, loop_->nextWait());
        loop_->run(batch);
    }

    SharedState shared_;
    CallerApi api_;
    IoThreads threads_;
    uint64_t seed_;
    std::unique_ptr<PeerLink> peers_;
    std::unique_ptr<PlatformLink> platform_;
    std::unique_ptr<BackendLink> backends_;
    std::unique_ptr<DecisionLoop> loop_;
    std::unique_ptr<HttpServer> server_;
    std::atomic<bool> isAborted_ = false;
    std::atomic<int> stopRequests_ = 0;
    std::thread thread_;
};

Daemon::Daemon(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{ }

Daemon::~Daemon() = default;

Result<std::unique_ptr<Daemon>> Daemon::start(Settings settings, DaemonOptions options)
{
    auto implementation = std::make_unique<Implementation>(std::move(settings), seedOf(options));
    const Result<void> opened = implementation->open(options);
    if (!opened.has_value())
        return opened.error();
    return std::unique_ptr<Daemon>(new Daemon(std::move(implementation)));
}

uint16_t Daemon::httpPort() const
{
    return implementation_->httpPort();
}

uint16_t Daemon::peerPort() const
{
    return implementation_->peerPort();
}

uint64_t Daemon::incarnation() const
{
    return implementation_->shared().incarnation;
}

DaemonState Daemon::state() const
{
    return implementation_->shared().state;
}

void Daemon::requestStop()
{
    implementation_->requestStop();
}

bool Daemon::waitStopped(Duration timeout)
{
    return implementation_->shared().waitForState(DaemonState::Stopped, timeout);
}

} // namespace lovage
