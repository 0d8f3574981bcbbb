// Faults of backend servers that the protocol allows: late calls and answers, restarts in quick
// succession, and entries in the store that are missing or were left by another writer.
#pragma once

#include "odd_entries.h"
#include "process_faults.h"

#include <array>
#include <string_view>
#include <vector>

namespace lovage::soak {

class ServerFaults
{
public:
    // A fault to inject, chosen at random.
    struct Choice
    {
        size_t kind = 0;
        size_t server = 0;
        std::chrono::milliseconds time {0};
        uint64_t seed = 0; // of the details of the fault

        auto operator<=>(const Choice &) const = default;
    };

    ServerFaults(Platform &platform, Schedule &schedule) : platform_(platform), schedule_(schedule)
    { }

    Choice choose(Random &random) const
    {
        Choice choice;
        choice.kind = random.below(kindNames.size());
        choice.server = random.below(platform_.serverCount());
        choice.time = std::chrono::milliseconds(300 + static_cast<int>(random.below(4000)));
        choice.seed = random.next();
        return choice;
    }
    static std::string_view nameOf(const Choice &choice) { return kindNames[choice.kind]; }

    FaultTarget inject(const Choice &choice)
    {
        const FaultTarget target {platform_.server(choice.server).id(), choice.time};
        Random random(choice.seed);
        switch (choice.kind) {
        case 0:
            disturb(choice, CallFate::ExecutedLate);
            disturb(choice, CallFate::AnswerLost);
            return target;
        case 1:
            return disturb(choice, CallFate::AnsweredLate), target;
        case 2:
            return disturb(choice, CallFate::Rejected), target;
        case 3:
            return restartRepeatedly(choice.server, random), target;
        case 4:
            disturb(choice, CallFate::ExecutedLate);
            schedule_.runAfter(choice.time / 2,
                               [this, choice] { platform_.restartServer(choice.server); });
            return target;
        case 5:
            platform_.crashServer(choice.server);
            schedule_.runAfter(choice.time / 2,
                               [this, choice] { platform_.bootServer(choice.server); });
            return target;
        case 6:
            return silence(choice.server, 2 * choice.time),
                   FaultTarget {target.name, 2 * choice.time};
        case 7:
            return loseEntries(choice.time, random), FaultTarget {"store", choice.time};
        default:
            return replaceEntry(choice, random), target;
        }
    }

private:
    // In the order of the cases in inject().
    static constexpr std::array<std::string_view, 11> kindNames {
            "orders-late",  "answers-late", "server-unhealthy", "server-restarts",
            "late-restart", "server-down",  "server-silent",    "entries-lost",
            "odd-born",     "odd-address",  "odd-value"};
    // The store removes an entry after this time without a heartbeat.
    static constexpr std::chrono::milliseconds entryLifetime {4500};

    void disturb(const Choice &choice, CallFate fate)
    {
        Server &server = platform_.server(choice.server);
        server.addFault(fate);
        schedule_.runAfter(choice.time, [&server, fate] { server.removeFault(fate); });
    }

    void restartRepeatedly(size_t server, Random &random)
    {
        std::chrono::milliseconds at {0};
        const uint64_t restarts = 2 + random.below(4);
        for (uint64_t i = 0; i < restarts; ++i) {
            schedule_.runAfter(at, [this, server] { platform_.restartServer(server); });
            at += std::chrono::milliseconds(5 + random.below(400));
        }
    }

    // Nothing passes between the server and others. What it runs goes on.
    void silence(size_t server, std::chrono::milliseconds time)
    {
        stall(schedule_, platform_.serverProxy(server), LinkMode::StallBoth, time);
        if (time > entryLifetime)
            removeEntry(server, entryLifetime, time);
    }
    void removeEntry(size_t server, std::chrono::milliseconds from, std::chrono::milliseconds until)
    {
        schedule_.runAfter(from, [this, server] { platform_.entries().replace(server, ""); });
        schedule_.runAfter(until, [this, server] { platform_.entries().restore(server); });
    }

    // Half of the entries expire while the store is down, and are back within two seconds of its
    // return.
    void loseEntries(std::chrono::milliseconds time, Random &random)
    {
        constexpr int maxReturnMs = 2000;
        platform_.entries().setStoreDown(true);
        schedule_.runAfter(time, [this] { platform_.entries().setStoreDown(false); });
        for (size_t server = 0; server < platform_.serverCount(); ++server) {
            const auto until = time + std::chrono::milliseconds(random.below(maxReturnMs));
            if (random.unit() < 0.5)
                removeEntry(server, std::chrono::milliseconds(0), until);
        }
    }

    void replaceEntry(const Choice &choice, Random &random)
    {
        ServerEntries &entries = platform_.entries();
        entries.replace(choice.server, oddEntry(choice, random));
        const auto time = std::chrono::milliseconds(100 + random.below(1900));
        schedule_.runAfter(time, [&entries, choice] { entries.restore(choice.server); });
    }
    std::string oddEntry(const Choice &choice, Random &random)
    {
        ServerEntries &entries = platform_.entries();
        const json::object own = entries.ownEntry(choice.server);
        const std::string_view kind = nameOf(choice);
        if (kind == "odd-born")
            return entryWithOddBorn(own, random);
        if (kind == "odd-address")
            return entryWithOddAddress(
                    own, entries.port((choice.server + 1) % platform_.serverCount()), random);
        return random.unit() < 0.5 ? undecodableEntry(random) : entryWithOddField(own, random);
    }

    Platform &platform_;
    Schedule &schedule_;
};

} // namespace lovage::soak
