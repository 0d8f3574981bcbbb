#define BOOST_TEST_MODULE dispatch_random
#include "support/dispatch_world.h"

#include <cstdlib>

using namespace lovage;
using namespace lovage::test;

namespace {

// Answers come at the latest this long after the deadline: a forwarded submission waits 2 s for the
// issuer, and a tick comes every 250 ms.
constexpr Duration answerMargin = 2500ms;

constexpr Duration activeTime = 12s;
constexpr Duration settleTime = 30s;

// Servers, callers and faults drawn from one seed.
class RandomRun
{
public:
    explicit RandomRun(uint64_t seed) : world_(seed), random_(seed * 7919 + 1)
    {
        loss_ = random_.unit() * 0.08;
        slow_ = random_.unit() * 0.08;
        copies_ = random_.unit() * 0.08;
        world_.options.inquiryTimeout = 400ms;
        world_.options.drainDeadline = 8s;
    }

    std::vector<std::string> run()
    {
        setUp();
        for (size_t i = 0; i < 60; ++i)
            world_.after(randomTime(activeTime), [this] { submitOne(); });
        planFaults();
        world_.run(activeTime);
        world_.heal();
        world_.chooseDelivery = nullptr;
        for (size_t vm = 0; vm < world_.vms.size(); ++vm) {
            if (world_.vms[vm].isPaused)
                resume(vm);
        }
        world_.run(settleTime);
        std::vector<std::string> broken = world_.violations();
        checkReplies(broken);
        return broken;
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

    Duration randomTime(Duration most) { return Duration(random_.below(uint64_t(most.count()))); }
    bool chance(double share) { return random_.unit() < share; }
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
            server.runTime = 5ms + randomTime(200ms);
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
        chosen.isDropped = chance(loss_);
        chosen.delay = 200us + randomTime(3ms);
        if (chance(slow_))
            chosen.delay = randomTime(1800ms);
        if (chance(copies_))
            chosen.copyDelay = randomTime(1500ms);
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
        const Duration deadline = 300ms + randomTime(5s);
        const size_t copies = 1 + random_.below(3);
        for (size_t i = 0; i < copies; ++i) {
            const Duration wait = i == 0 ? randomTime(50ms) : randomTime(3s);
            world_.after(wait, [=, this] {
                submitAt(randomVm(), id, inputs, isRepeatable, deadline, entry);
            });
        }
        if (chance(0.2))
            world_.after(randomTime(1s), [=, this] { cancelAt(randomVm(), id); });
    }

    void submitAt(size_t vm, const SubmissionId &id, const std::vector<std::string> &inputs,
                  bool isRepeatable, Duration deadline, const std::string &entry)
    {
        if (!isServing(vm))
            return;
        // Now and then another body comes under the same id. The one that arrives first counts.
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

    void planFaults()
    {
        for (int i = 0; i < 3; ++i)
            world_.after(randomTime(activeTime), [this] { pause(randomVm()); });
        for (int i = 0; i < 3; ++i)
            world_.after(randomTime(activeTime), [this] { cutSome(); });
        for (int i = 0; i < 2; ++i)
            world_.after(randomTime(activeTime), [this] { crashSomeServer(); });
        if (chance(0.6))
            world_.after(randomTime(activeTime), [this] { crashVm(randomVm()); });
        if (chance(0.6))
            world_.after(randomTime(activeTime), [this] { drain(randomVm()); });
        if (chance(0.5))
            world_.after(randomTime(activeTime),
                         [this] { world_.markLeaving(random_.below(world_.servers.size())); });
        if (chance(0.2))
            world_.after(randomTime(activeTime), [this] { fence(randomVm()); });
    }

    void pause(size_t vm)
    {
        if (!isServing(vm) || world_.vms[vm].isPaused)
            return;
        world_.pauseVm(vm);
        const uint64_t incarnation = world_.vms[vm].self.incarnation;
        const Duration length = 100ms + randomTime(9s);
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

    void cutSome()
    {
        const std::string left = world_.vms[randomVm()].name;
        const bool isServer = chance(0.5);
        const std::string right = isServer
                ? world_.servers[random_.below(world_.servers.size())].info.name
                : world_.vms[randomVm()].name;
        world_.partition(left, right);
        world_.after(randomTime(7s), [=, this] {
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
        world_.after(randomTime(3s), [=, this] { world_.restartServer(server); });
    }

    void crashVm(size_t vm)
    {
        if (!isServing(vm))
            return;
        crashed_.insert(world_.vms[vm].self.incarnation);
        world_.crashVm(vm);
        world_.after(1s + randomTime(3s), [=, this] {
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
            world_.after(randomTime(1s), [=, this] {
                if (isServing(vm))
                    world_.drain(vm, "");
            });
    }

    void fence(size_t vm)
    {
        if (isServing(vm))
            world_.deliver(vm, world_.vms[vm].self.incarnation, FenceRequested {});
    }

    // Every request is answered in time, unless its VM crashed. A pause delays by its length and by
    // the hold that follows.
    void checkReplies(std::vector<std::string> &broken)
    {
        for (const auto &[number, request] : requests_) {
            const auto reply = world_.replies.find(number);
            if (reply == world_.replies.end()) {
                if (!crashed_.contains(request.incarnation))
                    broken.push_back(fmt::format("request {} was never answered", number));
                continue;
            }
            const auto paused = pausedFor_.find(request.incarnation);
            const Duration excuse = paused == pausedFor_.end() ? 0s : paused->second + 1s;
            if (reply->second.at > request.dueAt + excuse)
                broken.push_back(fmt::format("request {} was answered late", number));
            const Error *error = errorOf(*reply->second.outcome);
            ++verdicts_[error ? std::string(toString(error->verdict)) : "complete"];
        }
    }

    World world_;
    Random random_;
    double loss_ = 0;
    double slow_ = 0;
    double copies_ = 0;
    std::map<uint64_t, Request> requests_;
    std::set<uint64_t> crashed_;             // incarnations
    std::map<uint64_t, Duration> pausedFor_; // by incarnation
    std::map<std::string, size_t> verdicts_;
};

uint64_t environmentNumber(const char *name, uint64_t otherwise)
{
    const char *text = std::getenv(name); // NOLINT(concurrency-mt-unsafe): one thread
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

} // namespace

// Guards against every broken promise that a mix of faults can cause. Replay one seed with
// LOVAGE_SEED=<seed>; LOVAGE_SEEDS sets the number of seeds.
BOOST_AUTO_TEST_CASE(promisesHoldUnderRandomFaults)
{
    const uint64_t single = environmentNumber("LOVAGE_SEED", 0);
    const uint64_t first = single != 0 ? single : 1;
    // Seeds 528 and 1040 found faults that no seed below them shows.
    const uint64_t last = single != 0 ? single : environmentNumber("LOVAGE_SEEDS", 1200);
    size_t starts = 0;
    std::map<std::string, size_t> verdicts;
    for (uint64_t seed = first; seed <= last; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            RandomRun run(seed);
            for (const std::string &broken : run.run())
                BOOST_ERROR("seed " << seed << ": " << broken);
            starts += run.starts();
            for (const auto &[verdict, count] : run.verdicts())
                verdicts[verdict] += count;
        }
    }
    std::string summary = fmt::format("seeds {}-{}, {} starts", first, last, starts);
    for (const auto &[verdict, count] : verdicts)
        summary += fmt::format(", {} {}", count, verdict);
    BOOST_TEST_MESSAGE(summary);
    // A run in which nothing completes would prove nothing.
    BOOST_TEST(verdicts["complete"] > 0u);
}
