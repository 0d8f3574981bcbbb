// Measures the processor time of a pool per offer and per placement pass, by the number of waiting
// tasks and of servers. Prints one line per combination.
#include "lovage/pool.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <ctime>

ABSL_FLAG(int, iterations, 200, "measured offers of each kind, per combination");

using namespace lovage;
using namespace std::chrono_literals;

namespace {

constexpr Duration taskTime = 760ms;
constexpr uint32_t tasksPerJob = 4;

double processorMicros()
{
    timespec value {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return 1e6 * double(value.tv_sec) + 1e-3 * double(value.tv_nsec);
}

// A pool whose servers are full, with jobs that wait. Tasks request 32 cores with a spread of a
// fifth, servers have 64 cores and one in three 96. Nothing ends while the measurement lasts.
class Bench
{
public:
    Bench(size_t serverCount, size_t waitingTasks) : random_(1)
    {
        pool_.expectStoredJobs(false);
        std::vector<ServerInfo> servers;
        for (size_t i = 0; i < serverCount; ++i) {
            ServerInfo info;
            info.id = fmt::format("server-{:04}", i);
            info.service = "work";
            info.dataCentre = "dc1";
            info.address = fmt::format("10.0.0.1:{}", i + 1);
            info.capacity = {i % 3 == 2 ? 96000U : 64000U, 1U << 20, 0};
            info.incarnation = 1;
            servers.push_back(info);
            ids_.push_back(info.id);
        }
        pool_.setServers(servers, now_);
        ShardGrants grants;
        for (uint32_t shard = 0; shard < PoolOptions {}.shardCount; ++shard)
            grants[shard] = {1, false};
        pool_.setGrants(grants, now_);
        takeActions();
        for (const std::string &id : ids_)
            answerPoll(id);
        // The first jobs fill the servers, and the later ones wait.
        for (size_t waiting = 0; waiting < waitingTasks;) {
            const size_t before = starts_;
            pool_.offer(makeOffer(60s), now_);
            takeActions();
            waiting += tasksPerJob - (starts_ - before);
        }
    }

    struct Micros
    {
        double refusedOffer = 0;
        double acceptedOffer = 0;
        double placement = 0;
        double load = 0; // report of the load, which each answer to another VM carries
    };

    Micros measure(int iterations)
    {
        double refused = 0;
        double accepted = 0;
        double placement = 0;
        double load = 0;
        for (int i = 0; i < iterations; ++i) {
            now_ += 1ms;
            answerPoll(ids_[static_cast<size_t>(i) % ids_.size()]);
            placement += timeOf([&] { takeActions(); });
            load += timeOf([&] { pool_.load(now_); });
            refused += timeOf([&] { pool_.offer(makeOffer(1500ms), now_); });
            JobOffer offer = makeOffer(60s);
            const JobTicket ticket = offer.ticket;
            accepted += timeOf([&] { pool_.offer(std::move(offer), now_); });
            pool_.withdraw(ticket, now_);
            takeActions();
        }
        return {refused / iterations, accepted / iterations, placement / iterations,
                load / iterations};
    }

private:
    template<class Function>
    static double timeOf(const Function &function)
    {
        const double begin = processorMicros();
        function();
        return processorMicros() - begin;
    }

    JobOffer makeOffer(Duration deadline)
    {
        JobOffer offer;
        offer.ticket = {"vm1", 1, ++jobs_};
        offer.job.id = fmt::format("7f3c9d2e-{:08}", jobs_);
        Step step;
        step.count = tasksPerJob;
        step.demand = {static_cast<uint32_t>(25000 + random_.unit() * 14000), 0, 0};
        step.estimate = taskTime;
        offer.job.steps.push_back(step);
        offer.queue = "queue";
        offer.service = "work";
        offer.attempts = 3;
        offer.stretchFactor = std::chrono::duration<double>(deadline) / taskTime;
        offer.deadline = deadline;
        return offer;
    }

    void answerPoll(const std::string &id)
    {
        PollReply reply;
        reply.server = id;
        reply.result = OrderResult::Done;
        reply.clock = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - begin_).count();
        reply.incarnation = 1;
        for (const RunRef &ref : runs_[id])
            reply.running.push_back({ref.task, ref.run, 1, {}});
        pool_.onPollAnswered(reply, now_);
    }

    void takeActions()
    {
        for (const PoolAction &action : pool_.takeActions(now_)) {
            const auto *start = std::get_if<OrderStart>(&action);
            if (!start)
                continue;
            ++starts_;
            runs_[start->ref.server].push_back(start->ref);
            pool_.onStartAnswered(start->ref, OrderResult::Done, {}, now_);
        }
        pool_.takeLogEntries();
    }

    const Time begin_ = fromUnixMillis(1'700'000'000'000);
    Time now_ = begin_ + 1s;
    Pool pool_ {PoolOptions {}};
    Random random_;
    std::vector<std::string> ids_;
    std::map<std::string, std::vector<RunRef>> runs_; // by server
    uint64_t jobs_ = 0;
    size_t starts_ = 0;
};

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    for (const size_t servers : {32, 64, 120}) {
        for (const size_t waiting : {10, 100, 1000}) {
            Bench bench(servers, waiting);
            const auto micros = bench.measure(absl::GetFlag(FLAGS_iterations));
            fmt::print("servers={} waiting={} refused_offer_us={:.1f} accepted_offer_us={:.1f} "
                       "placement_us={:.1f} load_us={:.1f}\n",
                       servers, waiting, micros.refusedOffer, micros.acceptedOffer,
                       micros.placement, micros.load);
        }
    }
}
