#define BOOST_TEST_MODULE dispatch_random
#include "support/dispatch_world.h"

#include <cstdlib>

using namespace lovage;
using namespace lovage::test;

namespace {

// Maximum time from the deadline to the answer: a forwarded submission waits 2 s for the issuer,
// and the interval between ticks is 250 ms.
constexpr Duration answerMargin = 2500ms;

constexpr Duration activeTime = 12s;
constexpr Duration settleTime = 30s;

// Simulation of VMs and backend servers with random requests and faults that are derived from one
// seed.
class RandomRun
{
public:
    explicit RandomRun(uint64_t seed) : world_(seed), random_(seed * 7919 + 1)
    {
        dropProbability_ = random_.unit() * 0.08;
        delayProbability_ = random_.unit() * 0.08;
        duplicationProbability_ = random_.unit() * 0.08;
        world_.options.inquiryTimeout = 400ms;
        world_.options.drainDeadline = 8s;
    }

    std::vector<std::string> run()
    {
        setUp();
        for (size_t i = 0; i < 60; ++i)
            world_.after(randomDuration(activeTime), [this] { submitOne(); });
        scheduleFaults();
        world_.run(activeTime);
        world_.heal();
        world_.chooseDelivery = nullptr;
        for (size_t vm = 0; vm < world_.vms.size(); ++vm) {
            if (world_.vms[vm].isPaused)
                resume(vm);
        }
        world_.run(settleTime);
        std::vector<std::string> errors = world_.violations();
        checkReplies(errors);
        return errors;
    }

    size_t starts() const { return world_.starts.size(); }
    size_t answers() const { return world_.replies.size(); }
    const std::map<std::string, size_t> &verdicts() const { return verdicts_; }

private:
    struct Request
    {
        size_t vm = 0;
        uint64_t incarnation = 0;
        Time dueAt;
    };

    Duration randomDuration(Duration max) { return Duration(random_.below(uint64_t(max.count()))); }
    bool chance(double probability) { return random_.unit() < probability; }
    size_t randomVm() { return random_.below(world_.vms.size()); }

    void setUp()
    {
        for (const std::string centre : {"dc1", "dc2"}) {
            for (int i = 0; i < 2; ++i)
                world_.addServer(fmt::format("{}-e{}", centre, i), centre, BackendKind::Executor,
                                 3);
            world_.addServer(centre + "-w0", centre, BackendKind::Worker, 4);
            for (int i = 0; i < 2; ++i)
                world_.addVm(fmt::format("{}-vm{}", centre, i), centre);
        }
        for (FakeServer &server : world_.servers) {
            server.runTime = 5ms + randomDuration(200ms);
            server.failureProbability = chance(0.3) ? 0.2 : 0.0;
        }
        for (size_t vm = 0; vm < world_.vms.size(); ++vm)
            world_.startVm(vm);
        world_.run(300ms);
        world_.chooseDelivery = [this](MessageKind, const std::string &, const std::string &) {
            return drawDelivery();
        };
    }

    Delivery drawDelivery()
    {
        Delivery chosen;
        chosen.isDropped = chance(dropProbability_);
        chosen.delay = 200us + randomDuration(3ms);
        if (chance(delayProbability_))
            chosen.delay = randomDuration(1800ms);
        if (chance(duplicationProbability_))
            chosen.copyDelay = randomDuration(1500ms);
        return chosen;
    }

    bool isServing(size_t vm) const
    {
        return world_.vms[vm].dispatcher && !world_.vms[vm].isFinished;
    }

    void submitOne()
    {
        const size_t opener = randomVm();
        if (!isServing(opener) || world_.vms[opener].isPaused)
            return;
        const SubmissionId id = world_.open(opener);
        if (id.sequence == 0)
            return;
        std::vector<std::string> inputs;
        const size_t tasks = chance(0.5) ? 1 : 1 + random_.below(12);
        for (size_t i = 0; i < tasks; ++i)
            inputs.push_back(fmt::format("{}/{}", toString(id), i));
        const bool isRepeatable = chance(0.5);
        const std::string entry = chance(0.5) ? "screen" : "vet";
        const Duration deadline = 300ms + randomDuration(5s);
        const size_t copies = 1 + random_.below(3);
        for (size_t i = 0; i < copies; ++i) {
            const Duration wait = i == 0 ? randomDuration(50ms) : randomDuration(3s);
            world_.after(wait, [=, this] {
                submitAt(randomVm(), id, inputs, isRepeatable, deadline, entry);
            });
        }
        if (chance(0.2))
            world_.after(randomDuration(1s), [=, this] { cancelAt(randomVm(), id); });
    }

    void submitAt(size_t vm, const SubmissionId &id, const std::vector<std::string> &inputs,
                  bool isRepeatable, Duration deadline, const std::string &entry)
    {
        if (!isServing(vm))
            return;
        // Some requests have another body under the same id. The body that arrives first is
        // accepted.
        const uint64_t digest = chance(0.03) ? 8 : 7;
        const std::vector<std::string> sent = digest == 7 ? inputs : std::vector<std::string> {"x"};
        const uint64_t incarnation = world_.vms[vm].self.incarnation;
        const Time dueAt = world_.now + deadline + answerMargin;
        const uint64_t request = world_.submit(vm, id, sent, isRepeatable, deadline, digest, entry);
        requests_[request] = {vm, incarnation, dueAt};
    }

    void cancelAt(size_t vm, const SubmissionId &id)
    {
        if (!isServing(vm))
            return;
        const uint64_t incarnation = world_.vms[vm].self.incarnation;
        const uint64_t request = world_.cancel(vm, id);
        requests_[request] = {vm, incarnation, world_.now + 5s + answerMargin};
    }

    void scheduleFaults()
    {
        for (int i = 0; i < 3; ++i)
            world_.after(randomDuration(activeTime), [this] { pause(randomVm()); });
        for (int i = 0; i < 3; ++i)
            world_.after(randomDuration(activeTime), [this] { partitionRandomPair(); });
        for (int i = 0; i < 2; ++i)
            world_.after(randomDuration(activeTime), [this] { crashSomeServer(); });
        if (chance(0.6))
            world_.after(randomDuration(activeTime), [this] { crashVm(randomVm()); });
        if (chance(0.6))
            world_.after(randomDuration(activeTime), [this] { drain(randomVm()); });
        if (chance(0.5))
            world_.after(randomDuration(activeTime),
                         [this] { world_.markLeaving(random_.below(world_.servers.size())); });
        if (chance(0.2))
            world_.after(randomDuration(activeTime), [this] { fence(randomVm()); });
    }

    void pause(size_t vm)
    {
        if (!isServing(vm) || world_.vms[vm].isPaused)
            return;
        world_.pauseVm(vm);
        const uint64_t incarnation = world_.vms[vm].self.incarnation;
        const Duration length = 100ms + randomDuration(9s);
        pausedFor_[incarnation] += length;
        world_.after(length, [=, this] {
            if (world_.vms[vm].self.incarnation == incarnation && world_.vms[vm].isPaused)
                resume(vm);
        });
    }

    void resume(size_t vm)
    {
        if (isServing(vm))
            world_.resumeVm(vm);
    }

    void partitionRandomPair()
    {
        const std::string left = world_.vms[randomVm()].name;
        const bool isServer = chance(0.5);
        const std::string right = isServer
                ? world_.servers[random_.below(world_.servers.size())].info.name
                : world_.vms[randomVm()].name;
        world_.partition(left, right);
        world_.after(randomDuration(7s), [=, this] {
            world_.partitionedPairs.erase({left, right});
            world_.partitionedPairs.erase({right, left});
        });
    }

    void crashSomeServer()
    {
        const size_t server = random_.below(world_.servers.size());
        if (!world_.servers[server].isUp)
            return;
        world_.crashServer(server);
        world_.after(randomDuration(3s), [=, this] { world_.restartServer(server); });
    }

    void crashVm(size_t vm)
    {
        if (!isServing(vm))
            return;
        crashed_.insert(world_.vms[vm].self.incarnation);
        world_.crashVm(vm);
        world_.after(1s + randomDuration(3s), [=, this] {
            if (!world_.vms[vm].dispatcher)
                world_.startVm(vm);
        });
    }

    void drain(size_t vm)
    {
        if (!isServing(vm))
            return;
        const size_t successor = vm ^ 1U;
        world_.drain(vm, isServing(successor) ? world_.vms[successor].name : std::string());
        if (chance(0.3))
            world_.after(randomDuration(1s), [=, this] {
                if (isServing(vm))
                    world_.drain(vm, "");
            });
    }

    void fence(size_t vm)
    {
        if (isServing(vm))
            world_.deliver(vm, world_.vms[vm].self.incarnation, FenceRequested {});
    }

    // Every request must be answered in time, unless its VM crashed. A pause delays the answer by
    // its length and by the time for which starts are held back afterwards.
    void checkReplies(std::vector<std::string> &errors)
    {
        for (const auto &[number, request] : requests_) {
            const auto reply = world_.replies.find(number);
            if (reply == world_.replies.end()) {
                if (!crashed_.contains(request.incarnation))
                    errors.push_back(fmt::format("request {} was never answered", number));
                continue;
            }
            const auto paused = pausedFor_.find(request.incarnation);
            const Duration allowance = paused == pausedFor_.end() ? 0s : paused->second + 1s;
            if (reply->second.at > request.dueAt + allowance)
                errors.push_back(fmt::format("request {} was answered late", number));
            const Error *error = errorOf(*reply->second.outcome);
            ++verdicts_[error ? std::string(toString(error->verdict)) : "complete"];
        }
    }

    World world_;
    Random random_;
    double dropProbability_ = 0;
    double delayProbability_ = 0;
    double duplicationProbability_ = 0;
    std::map<uint64_t, Request> requests_;
    std::set<uint64_t> crashed_;             // incarnations
    std::map<uint64_t, Duration> pausedFor_; // by incarnation
    std::map<std::string, size_t> verdicts_;
};

uint64_t environmentNumber(const char *name, uint64_t defaultValue)
{
    const char *text = std::getenv(name); // NOLINT(concurrency-mt-unsafe): one thread
    return text ? std::strtoull(text, nullptr, 10) : defaultValue;
}

} // namespace

// Guards against violations of the invariants under random combinations of faults.
// LOVAGE_SEED=<seed> replays one seed, and LOVAGE_SEEDS sets the number of seeds.
BOOST_AUTO_TEST_CASE(invariantsHoldUnderRandomFaults)
{
    const uint64_t single = environmentNumber("LOVAGE_SEED", 0);
    const uint64_t first = single != 0 ? single : 1;
    // Seeds 528 and 1040 have revealed faults that no lower seed reveals.
    const uint64_t last = single != 0 ? single : environmentNumber("LOVAGE_SEEDS", 1200);
    size_t starts = 0;
    std::map<std::string, size_t> verdicts;
    for (uint64_t seed = first; seed <= last; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            RandomRun run(seed);
            for (const std::string &error : run.run())
                BOOST_ERROR("seed " << seed << ": " << error);
            starts += run.starts();
            for (const auto &[verdict, count] : run.verdicts())
                verdicts[verdict] += count;
        }
    }
    std::string summary = fmt::format("seeds {}-{}, {} starts", first, last, starts);
    for (const auto &[verdict, count] : verdicts)
        summary += fmt::format(", {} {}", count, verdict);
    BOOST_TEST_MESSAGE(summary);
    // A run in which no submission completes would test nothing.
    BOOST_TEST(verdicts["complete"] > 0u);
}
