#include "lovagefake/platform.h"

#include <charconv>

namespace lovage::fake {

using namespace std::chrono_literals;

namespace {

constexpr size_t timerThread = 0;
constexpr uint64_t maxRecordsPerPage = 1000;

uint64_t numericQuery(const HttpRequest &request, std::string_view name, uint64_t fallback)
{
    const auto text = request.query(name);
    uint64_t value = fallback;
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), value);
    return value;
}

HttpResponse unavailable()
{
    return {503,
            "application/json",
            {},
            backend::serializeFailure("", notRun(ErrorCode::LogUnavailable, "outage"))};
}

} // namespace

Platform::Platform(IoThreads &threads, Ledger &ledger, PlatformConfig config, VmListSource source,
                   uint64_t seed)
    : threads_(threads), ledger_(ledger), config_(config), vmListSource_(std::move(source)),
      random_(seed)
{ }

double Platform::fault(const std::string &name) const
{
    const auto found = faults_.find(name);
    return found == faults_.end() ? 0 : found->second;
}

bool Platform::setFault(const std::string &target, const std::string &name, double value)
{
    static const std::set<std::string> known {"log.outage",    "log.silent", "log.slowMs",
                                              "log.loseReply", "log.drop",   "vms.outage",
                                              "vms.lagMs",     "vms.wrong"};
    const std::string key = target + "." + name;
    if (!known.contains(key))
        return false;
    const std::lock_guard lock(mutex_);
    faults_[key] = value;
    if (key == "log.silent" && value == 0)
        unansweredReplies_.clear();
    if (key == "log.drop") {
        for (auto &[streamName, stream] : streams_) {
            for (double i = 0; i < value && !stream.records.empty(); ++i)
                stream.records.pop_back();
        }
    }
    return true;
}

void Platform::setCut(const std::string &dataCentre, bool isCut)
{
    const std::lock_guard lock(mutex_);
    if (isCut)
        cutDataCentres_.insert(dataCentre);
    else
        cutDataCentres_.erase(dataCentre);
}

void Platform::handle(const std::string &dataCentre, const HttpRequest &request,
                      const HttpServer::Reply &reply)
{
    const std::lock_guard lock(mutex_);
    if (cutDataCentres_.contains(dataCentre))
        return; // dropping the reply closes the connection
    const std::string_view path = request.path();
    if (path == "/v1/vms") {
        replyVmList(dataCentre, reply);
        return;
    }
    constexpr std::string_view prefix = "/v1/streams/";
    const size_t end = path.rfind("/records");
    if (path.substr(0, prefix.size()) != prefix || end == std::string_view::npos) {
        reply({404, "application/json", {}, "{}"});
        return;
    }
    if (fault("log.silent") != 0) {
        unansweredReplies_.push_back(reply);
        return;
    }
    if (fault("log.outage") != 0) {
        reply(unavailable());
        return;
    }
    const std::string stream(path.substr(prefix.size(), end - prefix.size()));
    const Duration slow(static_cast<int64_t>(fault("log.slowMs") * 1000));
    if (request.method == "POST") {
        threads_.postAfter(
                timerThread, config_.appendDelay + slow,
                [this, stream, data = request.body, reply] { append(stream, data, reply); });
        return;
    }
    const uint64_t from = numericQuery(request, "from", 1);
    const uint64_t max =
            std::min(numericQuery(request, "max", maxRecordsPerPage), maxRecordsPerPage);
    const Duration wait = std::chrono::milliseconds(numericQuery(request, "waitMs", 0));
    threads_.postAfter(timerThread, slow, [this, stream, from, max, wait, reply] {
        read(stream, from, max, wait, reply);
    });
}

// Counts an append if the rate limit allows one more; returns false otherwise.
bool Platform::admitAppend(Time now)
{
    while (!recentAppends_.empty() && recentAppends_.front() < now - 1s)
        recentAppends_.pop_front();
    if (recentAppends_.size() >= config_.maxAppendsPerSecond)
        return false;
    recentAppends_.push_back(now);
    return true;
}

void Platform::expire(Stream &stream, Time now)
{
    while (!stream.records.empty() && stream.records.front().first < now - config_.logRetention) {
        stream.records.pop_front();
        ++stream.first;
    }
}

void Platform::append(const std::string &name, std::string data, const HttpServer::Reply &reply)
{
    const std::lock_guard lock(mutex_);
    const Time now = currentTime();
    if (!admitAppend(now)) {
        reply(unavailable());
        return;
    }
    ledger_.countMessage("logAppends");
    Stream &stream = streams_[name];
    const uint64_t offset = stream.next();
    stream.records.emplace_back(now, std::move(data));
    for (const auto &retryRead : std::exchange(stream.waitingReads, {}))
        retryRead();
    if (random_.unit() >= fault("log.loseReply"))
        reply({200, "application/json", {}, backend::serializeOffset(offset)});
}

void Platform::read(const std::string &name, uint64_t from, uint64_t max, Duration wait,
                    const HttpServer::Reply &reply)
{
    const std::lock_guard lock(mutex_);
    Stream &stream = streams_[name];
    expire(stream, currentTime());
    if (from >= stream.next() && wait > Duration::zero()) {
        // The long poll is answered by the next record or by the timeout, whichever comes first.
        const auto isWaiting = std::make_shared<bool>(true);
        const auto answer = [this, name, from, max, reply, isWaiting] {
            const std::lock_guard answerLock(mutex_);
            if (std::exchange(*isWaiting, false))
                read(name, from, max, Duration::zero(), reply);
        };
        stream.waitingReads.emplace_back(answer);
        threads_.postAfter(timerThread, wait, answer);
        return;
    }
    backend::LogPage page {stream.first, stream.next(), {}};
    for (uint64_t at = std::max(from, stream.first); at < stream.next(); ++at) {
        if (page.records.size() >= max)
            break;
        page.records.push_back({at, stream.records[at - stream.first].second});
    }
    reply({200, "application/json", {}, serialize(page)});
}

void Platform::replyVmList(const std::string &dataCentre, const HttpServer::Reply &reply)
{
    if (fault("vms.outage") != 0) {
        reply(unavailable());
        return;
    }
    const Time now = currentTime();
    const double lagMs = fault("vms.lagMs");
    const Duration lag =
            lagMs > 0 ? Duration(static_cast<int64_t>(lagMs * 1000)) : config_.vmListLag;
    auto &snapshots = vmListSnapshots_[dataCentre];
    snapshots.push_back({now, vmListSource_(dataCentre)});
    while (snapshots.size() > 1 && snapshots[1].at <= now - lag)
        snapshots.pop_front();
    std::vector<backend::VmInfo> vms = snapshots.front().vms;
    if (fault("vms.wrong") != 0 && !vms.empty()) {
        backend::VmInfo ghost = vms.back();
        ghost.name = "ghost";
        ghost.port = 1;
        vms.erase(vms.begin());
        vms.push_back(ghost);
    }
    reply({200, "application/json", {}, serialize(vms)});
}

} // namespace lovage::fake
