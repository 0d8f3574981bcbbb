// Simulates a cluster of Membership objects in virtual time, with lossy datagrams and a fake VM
// list.
#pragma once

#include "lovage/membership.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace lovage::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct FakeNode
{
    std::string name;
    std::string dataCentre;
    PeerAddress address;
    uint64_t incarnation = 0;
    std::unique_ptr<Membership> membership; // null while the process is down
    RelayChanged relay;
    std::optional<BackendShares> shares;
    std::map<std::string, std::vector<uint32_t>> usableCapacity; // by peer
    std::vector<MemberLost> lost;
    std::vector<MemberLeaving> leaving;
    bool isFenced = false;
    bool isDraining = false;
    size_t shareChanges = 0;
    size_t relayChanges = 0;
};

class Cluster
{
public:
    Cluster(uint64_t seed, size_t dataCentres, size_t vmsEach) : random(seed)
    {
        for (size_t dc = 0; dc < dataCentres; ++dc) {
            for (size_t i = 0; i < vmsEach; ++i)
                add("dc" + std::to_string(dc) + "-" + std::to_string(i), "dc" + std::to_string(dc));
        }
    }

    FakeNode &add(const std::string &name, const std::string &dataCentre)
    {
        FakeNode &node = nodes[name];
        node.name = name;
        node.dataCentre = dataCentre;
        node.address = {"127.0.0.1", static_cast<uint16_t>(++lastPort)};
        vmList.push_back({name, VmRole::Entry, dataCentre, "", node.address, false, 0, {}});
        return node;
    }

    void addBackends(const std::string &dataCentre, size_t count)
    {
        for (size_t i = 0; i < count; ++i)
            vmList.push_back({dataCentre + "-worker-" + std::to_string(i),
                              VmRole::Worker,
                              dataCentre,
                              "rack-1",
                              {"127.0.0.2", 1},
                              false,
                              8,
                              {}});
    }

    VmListEntry &listed(const std::string &name)
    {
        return *std::ranges::find(vmList, name, &VmListEntry::name);
    }

    void unlist(const std::string &name)
    {
        std::erase_if(vmList, [&](const VmListEntry &entry) { return entry.name == name; });
    }

    FakeNode &start(const std::string &name)
    {
        FakeNode &node = nodes.at(name);
        node.incarnation = static_cast<uint64_t>(now.time_since_epoch().count());
        node.membership = std::make_unique<Membership>(optionsOf(node), random.next(), now);
        node.isFenced = false;
        node.isDraining = false;
        node.usableCapacity.clear();
        node.shares.reset();
        return node;
    }

    MembershipOptions optionsOf(const FakeNode &node) const
    {
        MembershipOptions options;
        options.vm = node.name;
        options.dataCentre = node.dataCentre;
        options.address = node.address;
        options.incarnation = node.incarnation;
        return options;
    }

    void startAll()
    {
        for (auto &[name, node] : nodes) {
            start(name);
            feed(node, OwnStatus {1, true, {4}});
        }
    }

    void stop(const std::string &name) { nodes.at(name).membership.reset(); }

    void run(Duration duration)
    {
        const Time end = now + duration;
        while (now < end) {
            now += milliseconds(50);
            while (!queue.empty() && queue.begin()->first <= now) {
                auto action = std::move(queue.begin()->second);
                queue.erase(queue.begin());
                action();
            }
            for (auto &[name, node] : nodes)
                feed(node, MembershipTick {});
        }
    }

    void feed(FakeNode &node, const MembershipEvent &event)
    {
        if (!node.membership)
            return;
        for (const MembershipAction &action : node.membership->handle(event, now))
            std::visit([&](const auto &specific) { perform(node, specific); }, action);
    }

    const Member &seen(const std::string &by, const std::string &vm)
    {
        members = nodes.at(by).membership->members();
        const auto found = std::ranges::find(members, vm, &Member::name);
        BOOST_REQUIRE_MESSAGE(found != members.end(), by << " does not know " << vm);
        return *found;
    }

    bool knows(const std::string &by, const std::string &vm)
    {
        const auto all = nodes.at(by).membership->members();
        return std::ranges::find(all, vm, &Member::name) != all.end();
    }

    // Number of VMs whose own share contains the backend server.
    size_t ownerCount(const std::string &backend) const
    {
        return static_cast<size_t>(std::ranges::count_if(nodes, [&](const auto &item) {
            const FakeNode &node = item.second;
            return node.membership && node.shares && node.shares->ownShare.contains(backend);
        }));
    }

    Random random;
    Time now {seconds(1'800'000'000)};
    std::map<std::string, FakeNode> nodes;
    std::vector<VmListEntry> vmList;
    bool isVmListAvailable = true;
    Duration vmListDelay {0};
    double loss = 0;
    // Returns whether messages from the first VM to the second one are dropped.
    std::function<bool(const FakeNode &, const FakeNode &)> isDropped;
    uint64_t messages = 0;

private:
    void perform(FakeNode &node, const SendMembership &sent)
    {
        ++messages;
        for (auto &[name, target] : nodes) {
            const bool isLost = random.unit() < loss || (isDropped && isDropped(node, target));
            if (target.address != sent.address || isLost)
                continue;
            const PeerAddress from = node.address;
            FakeNode *receiver = &target;
            const Duration delay = milliseconds(random.below(20));
            queue.emplace(now + delay, [this, receiver, from, message = sent.message] {
                feed(*receiver, MessageReceived {from, message});
            });
        }
    }

    void perform(FakeNode &node, const PollVmList &)
    {
        if (!isVmListAvailable) {
            queue.emplace(now + milliseconds(10),
                          [this, &node] { feed(node, VmListFailed {"connection refused"}); });
            return;
        }
        queue.emplace(now + milliseconds(10) + vmListDelay,
                      [this, &node, list = vmList] { feed(node, VmListRead {list}); });
    }

    void perform(FakeNode &, const MemberOffsetReported &) { }
    void perform(FakeNode &node, const MemberCapacityReported &reported)
    {
        node.usableCapacity[reported.vm] = reported.capacity;
    }
    void perform(FakeNode &node, const RelayChanged &changed)
    {
        node.relayChanges += node.relay.relay != changed.relay;
        node.relay = changed;
    }
    void perform(FakeNode &node, const BackendShares &shares)
    {
        ++node.shareChanges;
        node.shares = shares;
    }
    void perform(FakeNode &node, const MemberLost &lost) { node.lost.push_back(lost); }
    void perform(FakeNode &node, const MemberLeaving &leaving) { node.leaving.push_back(leaving); }
    void perform(FakeNode &node, const FenceSelf &) { node.isFenced = true; }
    void perform(FakeNode &node, const BeginDrain &) { node.isDraining = true; }

    std::multimap<Time, std::function<void()>> queue;
    std::vector<Member> members;
    size_t lastPort = 0;
};

} // namespace lovage::test
