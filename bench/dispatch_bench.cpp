// Measures the dispatcher without sockets: processor time per task, memory per submission and the
// cost of a wave of cancellations. Prints one line per measurement.
#include "lovage/dispatch.h"

#include <fmt/format.h>

#include <malloc.h>

#include <cmath>
#include <ctime>

using namespace lovage;
using namespace std::chrono_literals;

namespace {

const Time begin = fromUnixMillis(1'700'000'000'000);
constexpr uint64_t instance = 1;
constexpr size_t inputBytes = 64;
constexpr size_t serverCount = 50;

double processorSeconds()
{
    timespec value {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return double(value.tv_sec) + 1e-9 * double(value.tv_nsec);
}

size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

Catalogue benchCatalogue()
{
    Entry quick;
    quick.name = quick.workClass = "screen";
    quick.owner = "team";
    quick.demand = {.milliCores = 1, .memoryMb = 0, .accelerators = 0};
    quick.limits = {.startsPerSecond = 100'000'000,
                    .concurrent = 10'000'000,
                    .queued = 10'000'000,
                    .deadline = 1h,
                    .maxTasks = 10'000,
                    .retryPercent = 10};
    Entry heavy = quick;
    heavy.name = heavy.workClass = "vet";
    heavy.backendKind = BackendKind::Worker;
    SnapshotRecord snapshot;
    snapshot.at = 2;
    snapshot.entries = {quick, heavy};
    return CatalogueFold(snapshot, 1).build();
}

// A dispatcher with servers that answer at once and successfully.
class Bench
{
public:
    Bench(uint32_t slots, bool hasShare, size_t ledgerBytes = size_t(48) << 20)
        : dispatcher_(make(ledgerBytes))
    {
        dispatcher_.handle(CatalogueChanged {benchCatalogue()}, now_);
        BackendsChanged view;
        view.asOf = now_;
        for (size_t i = 0; i < 2 * serverCount; ++i) {
            BackendInfo info;
            info.name = fmt::format("server-{}", i);
            info.dataCentre = "dc1";
            info.kind = i % 2 == 0 ? BackendKind::Executor : BackendKind::Worker;
            info.slots = slots;
            info.capacity = {slots, slots, 0};
            view.backends.push_back(info);
            if (hasShare)
                view.ownShare.insert(info.name);
        }
        dispatcher_.handle(std::move(view), now_);
        std::vector<Action> contacts = take();
        for (Event &event : replies(contacts, 0))
            handle(std::move(event));
    }

    std::vector<SubmissionId> open(uint32_t count)
    {
        dispatcher_.handle(OpenRequested {LocalCaller {0}, count}, now_);
        std::vector<Action> actions = dispatcher_.takeActions(now_);
        return std::get<ReplyOpened>(actions.front()).ids.value();
    }

    SubmitRequested request(const SubmissionId &id, size_t tasks, const std::string &entry)
    {
        SubmitRequested event;
        event.origin = LocalCaller {++lastRequest_};
        event.id = id;
        event.owner = "team";
        event.entry = entry;
        event.bodyDigest = 7;
        event.deadline = now_ + 10min;
        event.tasks.resize(tasks);
        for (TaskInput &task : event.tasks)
            task.input.assign(inputBytes, 'x');
        return event;
    }

    void handle(Event event) { dispatcher_.handle(std::move(event), now_); }
    void advance(Duration step) { now_ += step; }
    std::vector<Action> take() { return dispatcher_.takeActions(now_); }
    const Dispatcher &dispatcher() const { return dispatcher_; }

    // The replies of the servers to all start messages among the actions.
    std::vector<Event> replies(std::vector<Action> &actions, size_t outputBytes)
    {
        std::vector<Event> events;
        for (Action &action : actions) {
            if (auto *starts = std::get_if<SendStarts>(&action))
                addReplies(*starts, outputBytes, events);
            else if (const auto *inquiry = std::get_if<SendInquiry>(&action))
                events.push_back(
                        InquiryReplied {inquiry->backend, inquiry->exchange, instance, {}});
        }
        return events;
    }

    // Completes jobs until the servers have proved themselves; placement limits what it gives to
    // servers without successes.
    void warmUp(const std::string &entry)
    {
        constexpr size_t rounds = 60;
        constexpr size_t tasks = 1900;
        for (size_t i = 0; i < rounds; ++i) {
            std::vector<Event> events;
            events.push_back(request(open(1).front(), tasks, entry));
            while (!events.empty()) {
                advance(10ms);
                for (Event &event : events)
                    handle(std::move(event));
                std::vector<Action> actions = take();
                events = replies(actions, inputBytes);
            }
        }
        advance(1h); // the records of the jobs expire
        handle(BackendsUnchanged {now_});
        take();
        started_ = dispatcher_.counters().starts;
    }

    uint64_t started() const { return dispatcher_.counters().starts - started_; }

private:
    Dispatcher make(size_t ledgerBytes) const
    {
        const Issuer self {"dc1", "vm0", 5};
        DispatcherOptions options;
        options.self = self;
        AdmissionOptions admission;
        admission.queue.capacity = 1'000'000;
        admission.quota.vm = "vm0";
        admission.quota.incarnation = 5;
        admission.quota.configuredVms = {"vm0"};
        // The shares of a new incarnation are reduced until old loans have expired.
        const Time started = begin - 1h;
        return {options, Ledger({.self = self, .ledgerBytes = ledgerBytes}, started),
                Placement({}, 1), Admission(admission, started), begin};
    }

    static void addReplies(const SendStarts &starts, size_t outputBytes, std::vector<Event> &events)
    {
        StartReplied reply;
        reply.backend = starts.backend;
        reply.exchange = starts.exchange;
        reply.instance = instance;
        for (const TaskStart &task : starts.tasks) {
            TaskReply result {task.id, TaskStatus::Done};
            result.output.assign(outputBytes, 'y');
            result.runTime = 1ms;
            if (starts.wait) {
                reply.results.push_back(std::move(result));
                continue;
            }
            reply.results.push_back({task.id, TaskStatus::Accepted});
            events.push_back(TaskFinished {starts.backend, instance, std::move(result), {}});
        }
        events.insert(events.begin(), std::move(reply));
    }

    Time now_ = begin;
    uint64_t lastRequest_ = 0;
    uint64_t started_ = 0;
    Dispatcher dispatcher_;
};

// Time of the dispatcher alone: events are built and actions are consumed outside the clock.
void measureThroughput(const std::string &entry, size_t tasks, size_t eventsPerTake)
{
    constexpr size_t totalTasks = 200'000;
    constexpr size_t warmUpTasks = 20'000;
    Bench bench(1000, true);
    double seconds = 0;
    size_t done = 0;
    const size_t jobs = std::max<size_t>(1, eventsPerTake);
    while (done < totalTasks + warmUpTasks) {
        std::vector<Event> events;
        for (SubmissionId &id : bench.open(uint32_t(jobs)))
            events.push_back(bench.request(id, tasks, entry));
        while (!events.empty()) {
            bench.advance(200us);
            const double before = processorSeconds();
            for (Event &event : events)
                bench.handle(std::move(event));
            std::vector<Action> actions = bench.take();
            if (done >= warmUpTasks)
                seconds += processorSeconds() - before;
            events = bench.replies(actions, inputBytes);
        }
        done += jobs * tasks;
    }
    const DispatchCounters &counters = bench.dispatcher().counters();
    fmt::print("throughput entry={} tasks_per_job={} us_per_task={:.2f} messages_per_task={:.3f} "
               "completed={}\n",
               entry, tasks, 1e6 * seconds / double(done - warmUpTasks),
               double(counters.startMessages) / double(counters.starts), counters.completed);
}

struct Point
{
    double count = 0;
    double bytes = 0;
};

// Least squares line through the points; the error is the largest distance from the line, relative
// to the last point.
void printSlope(const std::string &what, const std::vector<Point> &points)
{
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (const Point &point : points) {
        sumX += point.count;
        sumY += point.bytes;
        sumXx += point.count * point.count;
        sumXy += point.count * point.bytes;
    }
    const auto n = double(points.size());
    const double slope = (n * sumXy - sumX * sumY) / (n * sumXx - sumX * sumX);
    const double offset = (sumY - slope * sumX) / n;
    double error = 0;
    std::string list;
    for (const Point &point : points) {
        error = std::max(error, std::abs(offset + slope * point.count - point.bytes));
        list += fmt::format(" {:.0f}:{:.0f}", point.count, point.bytes);
    }
    fmt::print("memory of={} bytes_each={:.0f} fit_error={:.1f}% points(count:bytes)={}\n", what,
               slope, 100 * error / points.back().bytes, list);
}

// Submissions whose tasks are started and unanswered.
void measureRunning(const std::string &what, size_t tasks, bool hasShare)
{
    std::vector<Point> points;
    uint64_t started = 0;
    for (size_t count = 10'000; count <= 50'000; count += 10'000) {
        Bench bench(100'000, hasShare);
        if (hasShare)
            bench.warmUp("vet");
        const size_t before = heapBytes();
        const size_t jobs = count / tasks;
        for (SubmissionId &id : bench.open(uint32_t(jobs))) {
            bench.advance(10us); // refills the quota
            bench.handle(bench.request(id, tasks, "vet"));
            bench.take();
        }
        points.push_back({double(jobs), double(heapBytes() - before)});
        started += bench.started();
    }
    fmt::print("started_tasks={} ", started);
    printSlope(what, points);
}

void measureFinished()
{
    std::vector<Point> points;
    std::vector<Point> counted;
    for (size_t count = 10'000; count <= 50'000; count += 10'000) {
        Bench bench(1000, true, size_t(1) << 30);
        const size_t before = heapBytes();
        for (SubmissionId &id : bench.open(uint32_t(count))) {
            bench.handle(bench.request(id, 1, "screen"));
            std::vector<Action> actions = bench.take();
            for (Event &event : bench.replies(actions, inputBytes))
                bench.handle(std::move(event));
            bench.take();
            bench.advance(10us);
        }
        points.push_back({double(count), double(heapBytes() - before)});
        counted.push_back({double(count), double(bench.dispatcher().ledger().bytes())});
    }
    printSlope("finished-record", points);
    printSlope("finished-record-as-counted", counted);
}

void measureCancellation(size_t tasks)
{
    constexpr size_t queuedTasks = 50'000;
    Bench bench(10, false);
    std::vector<SubmissionId> ids = bench.open(queuedTasks / uint32_t(tasks));
    const double before = processorSeconds();
    for (const SubmissionId &id : ids)
        bench.handle(bench.request(id, tasks, "vet"));
    bench.take();
    const double queued = processorSeconds();
    for (size_t i = 0; i < ids.size() / 2; ++i)
        bench.handle(CancelRequested {LocalCaller {i}, ids[2 * i], "team"});
    const size_t replies = bench.take().size();
    const double cancelled = processorSeconds();
    fmt::print("cancellation queued={} tasks_per_job={} submit_ms={:.1f} cancel_half_ms={:.1f} "
               "replies={} cancelled_tasks={}\n",
               queuedTasks, tasks, 1e3 * (queued - before), 1e3 * (cancelled - queued), replies,
               bench.dispatcher().counters().cancelledTasks);
}

} // namespace

int main()
{
    for (const std::string entry : {"vet", "screen"}) {
        measureThroughput(entry, 1, 32);
        measureThroughput(entry, 10, 4);
        measureThroughput(entry, 100, 1);
        measureThroughput(entry, 1900, 1);
    }
    measureRunning("running-submission-of-1-task", 1, true);
    measureRunning("running-submission-of-100-tasks", 100, true);
    measureRunning("queued-submission-of-1-task", 1, false);
    measureFinished();
    measureCancellation(1);
    measureCancellation(100);
    measureCancellation(1000);
    return 0;
}
