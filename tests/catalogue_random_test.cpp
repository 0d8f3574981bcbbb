#define BOOST_TEST_MODULE catalogue_random
#include "catalogue_world.h"

#include <deque>

using namespace lovage;
using namespace lovage::test;

namespace {

// Operators that race each other at random VMs, and faults that come and go at random.
class Run
{
public:
    explicit Run(uint64_t seed) : random_(seed), world_(seed + 1, 3, 3, optionsFor(seed))
    {
        world_.loss = 0.1;
        world_.duplication = 0.1;
        world_.maxDelay = milliseconds(200);
        world_.log.replyLoss = 0.2;
        world_.onStep = [this] { disturb(); };
    }

    void operator()()
    {
        world_.startAll();
        world_.run(seconds(40));
        heal();
        world_.run(seconds(6));
        checkInForceTime();
        checkReports();
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

    size_t anyVm() { return random_.below(world_.vms.size()); }

    void disturb()
    {
        if (chance(3))
            operate();
        if (isHealed_)
            return;
        if (chance(0.1))
            flip(world_.log.isUp);
        if (chance(0.3))
            world_.log.delay = milliseconds(1 + random_.below(400));
        if (chance(0.2)) {
            FakeVm &vm = world_.vms[anyVm()];
            flip(vm.reachesLog);
        }
        if (chance(0.2)) {
            const size_t from = random_.below(3);
            const size_t to = random_.below(3);
            world_.isCut[from][to] = from != to && !world_.isCut[from][to];
        }
        if (chance(0.2)) {
            const size_t vm = anyVm();
            if (world_.vms[vm].isUp)
                world_.stop(vm);
            else
                world_.start(vm);
        }
        if (chance(0.2))
            dropOldRecords();
    }

    static void flip(bool &value) { value = !value; }

    // Retention drops what a snapshot replaces, as the snapshot policy promises.
    void dropOldRecords()
    {
        for (const LogRecord &record : world_.log.records) {
            const auto content = parseLogRecord(record.data);
            const auto *snapshot = std::get_if<SnapshotRecord>(&content.value());
            if (snapshot != nullptr && snapshot->at > world_.log.first) {
                world_.log.dropBefore(snapshot->at + 1);
                return;
            }
        }
    }

    void operate()
    {
        const size_t index = anyVm();
        FakeVm &vm = world_.vms[index];
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
        world_.publish(index, publish);
    }

    void heal()
    {
        isHealed_ = true;
        world_.log.isUp = true;
        world_.log.delay = milliseconds(2);
        world_.log.replyLoss = 0;
        for (auto &row : world_.isCut)
            row.assign(row.size(), false);
        for (size_t i = 0; i < world_.vms.size(); ++i) {
            world_.vms[i].reachesLog = true;
            if (!world_.vms[i].isUp)
                world_.start(i);
        }
    }

    void checkInForceTime()
    {
        const uint64_t offset =
                world_.log.append(serializeLogRecord(sampleChange("last-entry", "last-request")));
        const auto taken = world_.runUntil(seconds(5), [&] { return world_.allInForce(offset); });
        BOOST_REQUIRE_MESSAGE(taken, "a change was not in force everywhere within 5 s");
        world_.onStep = nullptr;
        world_.run(seconds(10));
    }

    void checkReports()
    {
        std::set<std::string> accepted;
        for (size_t i = 0; i < world_.log.truth.size(); ++i) {
            const Catalogue &state = world_.truthAt(i + 1);
            const auto content = parseLogRecord(world_.log.truth[i].data);
            const auto *change = std::get_if<ChangeRecord>(&content.value());
            const ChangeOutcome *outcome = change ? state.findOutcome(change->requestId) : nullptr;
            if (outcome != nullptr && outcome->accepted)
                accepted.insert(change->requestId);
        }
        for (const PublishCase &publish : cases_) {
            if (!publish.finished)
                continue; // its VM stopped
            const bool isAccepted = accepted.contains(publish.change.requestId);
            const auto &error = publish.finished->error;
            if (!error) {
                ++accepted_;
                BOOST_REQUIRE_MESSAGE(isAccepted,
                                      "accepted was reported for " << publish.change.requestId
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
        const uint64_t end = world_.log.truth.size();
        for (const FakeVm &vm : world_.vms) {
            BOOST_REQUIRE_MESSAGE(vm.inForce && *vm.inForce == world_.truthAt(end),
                                  vm.name << " did not converge to the fold of the log");
            BOOST_REQUIRE_MESSAGE(!vm.wasBehind && vm.divergences == 0,
                                  vm.name << " raised an alarm about an intact log");
        }
    }

    Random random_;
    World world_;
    std::deque<PublishCase> cases_;
    bool isHealed_ = false;
    uint64_t accepted_ = 0;
};

} // namespace

// Guards against offsets that go back, VMs that differ from the fold of the log, changes that are
// lost or reported wrongly, and changes that take longer than 5 s while the log answers, under
// lost, repeated and reordered messages, lost append replies, outages, retention, cuts and
// restarts. LOVAGE_SEED replays one seed.
BOOST_AUTO_TEST_CASE(randomFaultsKeepTheCatalogueForward)
{
    const char *replay = std::getenv("LOVAGE_SEED"); // NOLINT(concurrency-mt-unsafe)
    const uint64_t first = replay != nullptr ? std::stoull(replay) : 1;
    const uint64_t count = replay != nullptr ? 1 : 60;
    uint64_t accepted = 0;
    for (uint64_t seed = first; seed < first + count; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Run run(seed);
            run();
            accepted += run.accepted();
        }
    }
    BOOST_TEST(accepted > count * 5);
}
