// Simulates followers and publishers in virtual time, with a fake log and a lossy network.
#pragma once

#include "lovage/catalogue.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovage::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration step = milliseconds(10);

// `records` is the content of the log, which retention may shorten and tests may replace.
// `allRecords` keeps every record that was ever appended.
struct FakeLog
{
    std::vector<LogRecord> records;
    std::vector<LogRecord> allRecords;
    uint64_t first = 1;
    bool isUp = true;
    double replyLoss = 0; // of appends that took effect
    Duration delay = milliseconds(2);
    uint64_t reads = 0;
    uint64_t recordsRead = 0;

    uint64_t next() const { return first + records.size(); }

    uint64_t append(const std::string &data)
    {
        records.push_back({next(), data});
        allRecords.push_back(records.back());
        return records.back().offset;
    }

    void dropBefore(uint64_t offset)
    {
        while (first < offset && !records.empty()) {
            records.erase(records.begin());
            ++first;
        }
    }

    LogPage read(const ReadLog &request)
    {
        LogPage page {request.token, first, next(), {}};
        for (const LogRecord &record : records) {
            if (record.offset >= request.from && page.records.size() < request.max)
                page.records.push_back(record);
        }
        ++reads;
        recordsRead += page.records.size();
        return page;
    }
};

struct PublishCase
{
    explicit PublishCase(ChangeRecord record = {}) : change(std::move(record)) { }

    ChangeRecord change;
    bool isRepeat = false; // the request id was sent before
    std::optional<PublishFinished> finished;
};

struct FakeVm
{
    std::string name;
    size_t dataCentre = 0;
    bool isUp = true;
    bool reachesLog = true;
    uint32_t incarnation = 0;
    std::unique_ptr<CatalogueFollower> follower;
    std::unique_ptr<CataloguePublisher> publisher;
    std::optional<Catalogue> inForce;
    std::map<uint64_t, PublishCase *> publishing;
    uint64_t peerMessagesSent = 0;
    size_t divergences = 0;
    bool wasLogBehind = false;
};

class CatalogueSimulation
{
public:
    CatalogueSimulation(uint64_t seed, size_t dataCentres, size_t vmsEach,
                        FollowerOptions options = {})
        : random(seed), options(options)
    {
        for (size_t dc = 0; dc < dataCentres; ++dc) {
            for (size_t i = 0; i < vmsEach; ++i) {
                auto &vm = vms.emplace_back();
                vm.name = "dc" + std::to_string(dc) + "-" + std::to_string(i);
                vm.dataCentre = dc;
            }
        }
        isPartitioned.assign(dataCentres, std::vector<bool>(dataCentres, false));
    }

    void startAll()
    {
        for (size_t i = 0; i < vms.size(); ++i)
            start(i);
    }

    // Starts a new process of the VM without any state.
    void start(size_t index)
    {
        FakeVm &vm = vms[index];
        ++vm.incarnation;
        vm.isUp = true;
        vm.follower = std::make_unique<CatalogueFollower>(options, random.next(), now);
        vm.publisher = std::make_unique<CataloguePublisher>(PublisherOptions {});
        vm.inForce.reset();
        vm.publishing.clear();
        // Membership detects a start after about one heartbeat interval and a death after 3 s.
        after(milliseconds(600), [this] { updateRelays(); });
    }

    void stop(size_t index)
    {
        vms[index].isUp = false;
        after(seconds(3), [this] { updateRelays(); });
    }

    void after(Duration delay, std::function<void()> action)
    {
        queue.emplace(std::pair(now + delay, ++queued), std::move(action));
    }

    void run(Duration duration)
    {
        const Time end = now + duration;
        while (now < end) {
            now += step;
            while (!queue.empty() && queue.begin()->first.first <= now) {
                auto action = std::move(queue.begin()->second);
                queue.erase(queue.begin());
                action();
            }
            if (onStep)
                onStep();
            tick();
        }
    }

    // Runs until the condition holds. Returns the time taken, or nullopt after the limit.
    std::optional<Duration> runUntil(Duration limit, const std::function<bool()> &condition)
    {
        const Time begin = now;
        while (now - begin < limit) {
            run(step);
            if (condition())
                return now - begin;
        }
        return std::nullopt;
    }

    bool allInForce(uint64_t offset) const
    {
        return std::ranges::all_of(vms, [&](const FakeVm &vm) {
            return !vm.isUp || (vm.inForce && vm.inForce->offset() >= offset);
        });
    }

    // The catalogue that results from the records ever appended, up to an offset.
    const Catalogue &expectedAt(uint64_t offset)
    {
        while (folds.size() <= offset)
            folds.push_back(fold(folds.back(), {&log.allRecords.at(folds.size() - 1), 1}));
        return folds[offset];
    }

    void publish(size_t index, PublishCase &publish, Duration timeout = seconds(4))
    {
        const uint64_t token = ++lastToken;
        vms[index].publishing[token] = &publish;
        feed(index, PublisherEvent(PublishRequested {token, publish.change, now + timeout}));
    }

    void feed(size_t index, const FollowerEvent &event)
    {
        FakeVm &vm = vms[index];
        if (!vm.isUp)
            return;
        const FollowerState before = vm.follower->state();
        const auto actions = vm.follower->handle(event, now);
        for (const FollowerAction &action : actions)
            std::visit([&](const auto &specific) { perform(index, specific); }, action);
        const bool isChanged = !actions.empty() || before != vm.follower->state();
        if (isChanged && vm.inForce)
            feed(index, PublisherEvent(FollowerUpdated {vm.follower->state(), *vm.inForce}));
    }

    void feed(size_t index, const PublisherEvent &event)
    {
        for (const PublisherAction &action : vms[index].publisher->handle(event, now))
            std::visit([&](const auto &specific) { perform(index, specific); }, action);
    }

    void updateRelays()
    {
        for (size_t i = 0; i < vms.size(); ++i) {
            RelayUpdate update;
            std::string relay;
            for (const FakeVm &other : vms) {
                if (!other.isUp || other.dataCentre != vms[i].dataCentre)
                    continue;
                if (relay.empty())
                    relay = other.name;
                if (other.name != vms[i].name)
                    update.localPeers.push_back(other.name);
            }
            update.isRelay = relay == vms[i].name;
            feed(i, FollowerEvent(update));
        }
    }

    Random random;
    FollowerOptions options;
    Time now {seconds(1'800'000'000)};
    FakeLog log;
    std::vector<FakeVm> vms;
    std::vector<std::vector<bool>> isPartitioned; // between data centres, by direction
    double loss = 0;                              // of messages between VMs
    double duplication = 0;
    Duration maxDelay = milliseconds(5);
    std::function<void()> onStep;
    bool checksCatalogues = true;

private:
    void perform(size_t index, const ReadLog &request)
    {
        if (!canReachLog(index))
            return scheduleError(index, request.token);
        poll(index, vms[index].incarnation, request, now + request.wait);
    }

    // A long poll looks for records in every step until its end.
    void poll(size_t index, uint32_t incarnation, const ReadLog &request, Time end)
    {
        after(log.delay, [this, index, incarnation, request, end] {
            if (vms[index].incarnation != incarnation || !vms[index].isUp)
                return;
            if (!canReachLog(index))
                return feed(index, FollowerEvent(LogError {request.token, "connection lost"}));
            if (log.next() <= request.from && now < end)
                return poll(index, incarnation, request, end);
            const LogPage page = log.read(request);
            feed(index, FollowerEvent(page));
        });
    }

    void scheduleError(size_t index, uint64_t token)
    {
        const uint32_t incarnation = vms[index].incarnation;
        after(milliseconds(20), [this, index, incarnation, token] {
            if (vms[index].incarnation == incarnation)
                feed(index, FollowerEvent(LogError {token, "connection refused"}));
        });
    }

    bool canReachLog(size_t index) const { return log.isUp && vms[index].reachesLog; }

    void perform(size_t index, const SendCatalogueMessage &sent)
    {
        const auto target = std::ranges::find(vms, sent.vm, &FakeVm::name);
        ++vms[index].peerMessagesSent;
        deliver(index, static_cast<size_t>(target - vms.begin()),
                PeerMessage {vms[index].name, sent.message});
    }

    void deliver(size_t from, size_t to, const FollowerEvent &event)
    {
        if (isPartitioned[vms[from].dataCentre][vms[to].dataCentre])
            return;
        const size_t copies = random.unit() < duplication ? 2 : 1;
        for (size_t i = 0; i < copies; ++i) {
            if (random.unit() < loss)
                continue;
            const Duration delay(random.below(static_cast<uint64_t>(maxDelay.count()) + 1));
            after(delay, [this, to, event] {
                if (vms[to].isUp && vms[to].follower)
                    feed(to, event);
            });
        }
    }

    void perform(size_t index, const PublishCatalogue &published)
    {
        FakeVm &vm = vms[index];
        const Catalogue &next = published.catalogue;
        if (vm.inForce) {
            BOOST_REQUIRE_MESSAGE(vm.inForce->offset() < next.offset(),
                                  vm.name << " went back to offset " << next.offset());
        }
        if (checksCatalogues) {
            BOOST_REQUIRE_MESSAGE(next == expectedAt(next.offset()),
                                  vm.name << " differs from the fold at " << next.offset());
        }
        vm.inForce = next;
    }

    void perform(size_t, const AppendSnapshot &snapshot)
    {
        if (log.isUp)
            after(log.delay, [this, data = snapshot.data] { log.append(data); });
    }

    void perform(size_t index, const FollowerStateChanged &changed)
    {
        vms[index].wasLogBehind |= changed.state == FollowerState::LogBehind;
    }

    void perform(size_t index, const PeerDiverged &) { ++vms[index].divergences; }

    void perform(size_t index, const AppendChange &append)
    {
        const uint32_t incarnation = vms[index].incarnation;
        const uint64_t token = append.token;
        const auto reply = [this, index, incarnation](const PublisherEvent &event) {
            if (vms[index].incarnation == incarnation && vms[index].isUp)
                feed(index, event);
        };
        if (!canReachLog(index)) {
            after(milliseconds(20), [=] { reply(AppendFailed {token, false, "refused"}); });
            return;
        }
        after(log.delay, [=, this, data = append.data] {
            const uint64_t offset = log.append(data);
            // A lost reply is noticed by a timeout.
            if (random.unit() < log.replyLoss)
                after(milliseconds(500), [=] { reply(AppendFailed {token, true, "timeout"}); });
            else
                after(log.delay, [=] { reply(AppendReplied {token, offset}); });
        });
    }

    void perform(size_t index, const ReadBack &read)
    {
        feed(index, FollowerEvent(LogExtended {read.offset}));
    }

    void perform(size_t index, const PublishFinished &finished)
    {
        PublishCase *publish = vms[index].publishing.at(finished.token);
        publish->finished = finished;
        vms[index].publishing.erase(finished.token);
    }

    void tick()
    {
        constexpr Duration tickInterval = milliseconds(50);
        constexpr Duration heartbeatInterval = milliseconds(500);
        const Duration sinceEpoch = now.time_since_epoch();
        for (size_t i = 0; i < vms.size(); ++i) {
            if (!vms[i].isUp || !vms[i].follower)
                continue;
            if (sinceEpoch % tickInterval == Duration::zero()) {
                feed(i, FollowerEvent(FollowerTick {}));
                feed(i, PublisherEvent(PublisherTick {}));
            }
            if (sinceEpoch % heartbeatInterval == Duration::zero())
                sendHeartbeats(i);
        }
    }

    // Sends the catalogue offset to all VMs of the data centre and, with probability one half, to
    // one VM of each other data centre.
    void sendHeartbeats(size_t index)
    {
        if (!vms[index].inForce)
            return;
        const PeerOffset offset {vms[index].name, vms[index].inForce->offset()};
        std::map<size_t, std::vector<size_t>> others;
        for (size_t to = 0; to < vms.size(); ++to) {
            if (vms[to].dataCentre != vms[index].dataCentre)
                others[vms[to].dataCentre].push_back(to);
            else if (to != index)
                deliver(index, to, offset);
        }
        for (const auto &[dataCentre, targets] : others) {
            if (random.unit() < 0.5)
                deliver(index, targets[random.below(targets.size())], offset);
        }
    }

    std::map<std::pair<Time, uint64_t>, std::function<void()>> queue;
    uint64_t queued = 0;
    uint64_t lastToken = 0;
    std::vector<Catalogue> folds {Catalogue()};
};

inline Entry sampleEntry(const std::string &name)
{
    Entry entry;
    entry.name = name;
    entry.owner = "team-a";
    entry.workClass = "screen";
    return entry;
}

inline ChangeRecord sampleChange(const std::string &name, const std::string &requestId,
                                 uint64_t replaces = 0)
{
    const auto operation = replaces == 0 ? ChangeOperation::Publish : ChangeOperation::Change;
    return {requestId, operation, replaces, sampleEntry(name)};
}

} // namespace lovage::test
