// Jobs that callers submit to a queue, and the configuration of the queues.
#pragma once

#include "lovage/core.h"

#include <string>
#include <vector>

namespace lovage {

// A set of identical tasks within a job. The dependencies between the steps of a job form a
// directed acyclic graph.
struct Step
{
    uint32_t count = 0;
    Demand demand;
    Duration estimate {};           // declared run time of one task; often inaccurate
    std::vector<uint32_t> after {}; // indices of earlier steps that must complete first
    std::string requiredLabel {};   // label that the backend server must have; empty for any server
    std::string dataRack {}; // rack of the input data, if any; tasks run slower on other racks
    // Maximum number of concurrent tasks of the step on one backend server; 0 for no limit.
    uint32_t maxPerServer = 0;
    bool sameRack = false;  // tasks run slower if they are spread over several racks
    bool isGang = false;    // the tasks must run at the same time and end together
    bool isEndless = false; // the tasks run until the job is cancelled
    // The tasks use cores that other tasks leave idle, so their demand does not count as occupied.
    bool usesSpareCores = false;
    // The tasks serve users directly, so other tasks must not affect their response times.
    bool isServing = false;

    auto operator<=>(const Step &) const = default;
};

// A job as submitted by its caller.
struct JobSpec
{
    std::string id;      // chosen by the caller
    std::string payload; // passed to every task
    std::vector<Step> steps;
    // A stored job is kept in the journal and continues without the caller's connection. Any other
    // job is answered on that connection and not persisted.
    bool isStored = false;
    // Number of occurrences of a stored job, each of which runs all steps. With 0 the job runs once
    // and immediately.
    uint32_t repeatCount = 0;
    int64_t firstDueMs = 0;     // Unix time at which the first occurrence is due
    Duration repeatInterval {}; // time between the due times of two successive occurrences

    auto operator<=>(const JobSpec &) const = default;
};

// Limits on the size of a job. Larger jobs are rejected.
constexpr size_t maxStepsPerJob = 64;
constexpr size_t maxTasksPerJob = 1900;

size_t taskCount(const JobSpec &job);
// Checks the numbers of steps and tasks and that steps depend on earlier steps only.
Result<void> validate(const JobSpec &job);
// Returns the length of the critical path, which is the largest sum of estimates along any chain of
// dependent steps.
Duration criticalPath(const JobSpec &job);
// Returns the declared CPU time of all tasks in core-seconds.
double coreSeconds(const JobSpec &job);

// Identifies one task of a job. Its text form is job.occurrence.step.index.
struct TaskName
{
    std::string job;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;

    auto operator<=>(const TaskName &) const = default;
};

std::string toString(const TaskName &name);
std::optional<TaskName> parseTaskName(std::string_view text);

// Configuration of a queue. A request belongs to the queue that matches its host and has the
// longest matching path prefix.
struct Queue
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;   // name of the service whose backend servers run the tasks
    uint32_t priority = 0; // 0 is the highest priority
    uint32_t attempts = 1; // number of failed runs of one task after which the job fails
    // The latency objective of a job is stretchFactor * criticalPath(job) + objectiveSlack.
    double stretchFactor = 1;
    Duration objectiveSlack {};
    Duration timeout {};     // time limit for the answer; 0 for no limit
    bool hasAdvisor = false; // a platform service decides where the tasks may run

    auto operator<=>(const Queue &) const = default;
};

// A version of the operator's configuration. A version is always applied as a whole.
struct Configuration
{
    uint64_t version = 0;
    std::vector<Queue> queues;

    auto operator<=>(const Configuration &) const = default;
};

// The queue that a path belongs to, and the part of the path after the queue's prefix.
struct QueueMatch
{
    const Queue *queue = nullptr;
    std::string_view rest;
};

// Finds the queue for a host name (without port) and a path.
std::optional<QueueMatch> findQueue(const Configuration &configuration, std::string_view host,
                                    std::string_view path);

} // namespace lovage
