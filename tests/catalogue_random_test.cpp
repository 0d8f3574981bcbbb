#define BOOST_TEST_MODULE catalogue_random
#include "catalogue_world.h"

#include <deque>

using namespace lovage;
using namespace lovage::test;

namespace {

// Publishes concurrent changes at random VMs while random faults begin and end.
class FaultSimulation
{
public:
    explicit FaultSimulation(uint64_t seed)
        : random_(seed), simulation_(seed + 1, 3, 3, optionsFor(seed))
    {
        simulation_.loss = 0.1;
        simulation_.duplication = 0.1;
        simulation_.maxDelay = milliseconds(200);
        simulation_.log.replyLoss = 0.2;
        simulation_.onStep = [this] { publishAndInjectFaults(); };
    }

    void operator()()
    {
        simulation_.startAll();
        simulation_.run(seconds(40));
        endFaults();
        simulation_.run(seconds(6));
        checkInForceTime();
        checkReportedResults();
        checkConvergence();
    }

    uint64_t accepted() const { return accepted_; }

private:
    static FollowerOptions optionsFor(uint64_t seed)
    {
        FollowerOptions options;
        options.pageRecords = 20;
        options.historyRecords = seed % 2 == 0 ? 8 : 200;
        options.snapshotChanges = 25;
        options.snapshotJitter = seconds(2);
        return options;
    }

    bool chance(double perSecond)
    {
        const double stepSeconds = std::chrono::duration<double>(step).count();
        return random_.unit() < perSecond * stepSeconds;
    }

    size_t randomVm() { return random_.below(simulation_.vms.size()); }

    void publishAndInjectFaults()
    {
        if (chance(3))
            publishRandomChange();
        if (areFaultsOver_)
            return;
        if (chance(0.1))
            flip(simulation_.log.isUp);
        if (chance(0.3))
            simulation_.log.delay = milliseconds(1 + random_.below(400));
        if (chance(0.2)) {
            FakeVm &vm = simulation_.vms[randomVm()];
            flip(vm.reachesLog);
        }
        if (chance(0.2)) {
            const size_t from = random_.below(3);
            const size_t to = random_.below(3);
            simulation_.isPartitioned[from][to] =
                    from != to && !simulation_.isPartitioned[from][to];
        }
        if (chance(0.2)) {
            const size_t vm = randomVm();
            if (simulation_.vms[vm].isUp)
                simulation_.stop(vm);
            else
                simulation_.start(vm);
        }
        if (chance(0.2))
            dropOldRecords();
    }

    static void flip(bool &value) { value = !value; }

    // Drops only records that a snapshot covers. The snapshot policy makes sure that retention
    // never drops others.
    void dropOldRecords()
    {
        for (const LogRecord &record : simulation_.log.records) {
            const auto content = parseLogRecord(record.data);
            const auto *snapshot = std::get_if<SnapshotRecord>(&content.value());
            if (snapshot != nullptr && snapshot->at > simulation_.log.first) {
                simulation_.log.dropBefore(snapshot->at + 1);
                return;
            }
        }
    }

    void publishRandomChange()
    {
        const size_t index = randomVm();
        FakeVm &vm = simulation_.vms[index];
        if (!vm.isUp || !vm.inForce)
            return;
        PublishCase &publish = cases_.emplace_back();
        if (cases_.size() > 1 && random_.unit() < 0.2) {
            publish.change = cases_[random_.below(cases_.size() - 1)].change;
            publish.isRepeat = true;
        } else {
            const std::string name = "entry-" + std::to_string(random_.below(6));
            const Entry *entry = vm.inForce->find(name);
            publish.change = sampleChange(name, "request-" + std::to_string(cases_.size()),
                                          entry == nullptr ? 0 : entry->version);
            publish.change.entry.limits.concurrent = 1 + random_.below(1000);
        }
        simulation_.publish(index, publish);
    }

    void endFaults()
    {
        areFaultsOver_ = true;
        simulation_.log.isUp = true;
        simulation_.log.delay = milliseconds(2);
        simulation_.log.replyLoss = 0;
        for (auto &row : simulation_.isPartitioned)
            row.assign(row.size(), false);
        for (size_t i = 0; i < simulation_.vms.size(); ++i) {
            simulation_.vms[i].reachesLog = true;
            if (!simulation_.vms[i].isUp)
                simulation_.start(i);
        }
    }

    void checkInForceTime()
    {
        const uint64_t offset = simulation_.log.append(
                serializeLogRecord(sampleChange("last-entry", "last-request")));
        const auto taken =
                simulation_.runUntil(seconds(5), [&] { return simulation_.allInForce(offset); });
        BOOST_REQUIRE_MESSAGE(taken, "a change was not in force everywhere within 5 s");
        simulation_.onStep = nullptr;
        simulation_.run(seconds(10));
    }

    void checkReportedResults()
    {
        std::set<std::string> accepted;
        for (size_t i = 0; i < simulation_.log.allRecords.size(); ++i) {
            const Catalogue &state = simulation_.expectedAt(i + 1);
            const auto content = parseLogRecord(simulation_.log.allRecords[i].data);
            const auto *change = std::get_if<ChangeRecord>(&content.value());
            const ChangeOutcome *outcome = change ? state.findOutcome(change->requestId) : nullptr;
            if (outcome != nullptr && outcome->accepted)
                accepted.insert(change->requestId);
        }
        for (const PublishCase &publish : cases_) {
            if (!publish.finished)
                continue; // the VM of the publisher stopped
            const bool isAccepted = accepted.contains(publish.change.requestId);
            const auto &error = publish.finished->error;
            if (!error) {
                ++accepted_;
                BOOST_REQUIRE_MESSAGE(isAccepted,
                                      "an acceptance was reported for "
                                              << publish.change.requestId
                                              << ", which is not in force");
            } else if (error->verdict == Verdict::NotRun && !publish.isRepeat) {
                const bool isRepeated = std::ranges::any_of(cases_, [&](const PublishCase &other) {
                    return other.isRepeat && other.change.requestId == publish.change.requestId;
                });
                BOOST_REQUIRE_MESSAGE(!isAccepted || isRepeated,
                                      "not-run was reported for "
                                              << publish.change.requestId
                                              << ", which is in force: " << error->reason);
            }
        }
    }

    void checkConvergence()
    {
        const uint64_t end = simulation_.log.allRecords.size();
        for (const FakeVm &vm : simulation_.vms) {
            BOOST_REQUIRE_MESSAGE(vm.inForce && *vm.inForce == simulation_.expectedAt(end),
                                  vm.name << " did not converge to the fold of the log");
            BOOST_REQUIRE_MESSAGE(!vm.wasLogBehind && vm.divergences == 0,
                                  vm.name << " raised an alarm although the log was intact");
        }
    }

    Random random_;
    CatalogueSimulation simulation_;
    std::deque<PublishCase> cases_;
    bool areFaultsOver_ = false;
    uint64_t accepted_ = 0;
};

} // namespace

// Guards against catalogues that go back to a lower offset or differ from the fold of the log,
// against changes that are lost or reported wrongly, and against changes that take longer than 5 s
// while the log answers. The faults are lost, repeated and reordered messages, lost append replies,
// log outages, retention, network partitions and restarts. LOVAGE_SEED selects a single seed to
// replay.
BOOST_AUTO_TEST_CASE(catalogueNeverGoesBackUnderRandomFaults)
{
    const char *replay = std::getenv("LOVAGE_SEED"); // NOLINT(concurrency-mt-unsafe)
    const uint64_t first = replay != nullptr ? std::stoull(replay) : 1;
    const uint64_t count = replay != nullptr ? 1 : 60;
    uint64_t accepted = 0;
    for (uint64_t seed = first; seed < first + count; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            FaultSimulation faults(seed);
            faults();
            accepted += faults.accepted();
        }
    }
    BOOST_TEST(accepted > count * 5);
}
