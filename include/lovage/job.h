// Jobs as callers submit them to a queue, and the queues of a configuration.
#pragma once

#include "lovage/core.h"

#include <string>
#include <vector>

namespace lovage {

// Tasks of one kind within a job.
struct Step
{
    uint32_t count = 0;
    Demand demand;
    Duration estimate {};           // declared run time of one task; often far off
    std::vector<uint32_t> after {}; // earlier steps that must be complete first
    std::string requiredLabel {};   // label that the backend server must have; empty for any
    std::string dataRack {};        // tasks run slower on any other rack; empty for none
    uint32_t maxPerServer = 0;      // tasks of this step on one backend server at a time; 0 for any
    bool sameRack = false;          // tasks run slower when they are spread over racks
    bool isGang = false;            // the tasks work only together and end together
    bool isEndless = false;         // the tasks run until the job is cancelled
    // The tasks get the cores that others leave unused; their demand does not count as occupied.
    bool usesSpareCores = false;
    // The tasks answer users of their own, whose response times others must not disturb.
    bool isServing = false;

    auto operator<=>(const Step &) const = default;
};

// A job as its caller submits it.
struct JobSpec
{
    std::string id;      // chosen by the caller
    std::string payload; // handed to every task
    std::vector<Step> steps;
    // Stored jobs outlive the caller's connection; others are answered on it and kept nowhere else.
    bool isStored = false;
    uint32_t repeatCount = 0;   // of a stored job: how often the steps run; 0: once, at once
    int64_t firstDueMs = 0;     // Unix time of the first repetition
    Duration repeatInterval {}; // between the times at which two repetitions are due

    auto operator<=>(const JobSpec &) const = default;
};

// Upper bounds of a job; a larger one is refused.
constexpr size_t maxStepsPerJob = 64;
constexpr size_t maxTasksPerJob = 1900;

size_t taskCount(const JobSpec &job);
// Checks counts and the order of the steps.
Result<void> validate(const JobSpec &job);
// Sum of the estimates along the longest chain of dependent steps.
Duration criticalPath(const JobSpec &job);
// Declared processor time of all tasks, in core-seconds.
double coreSeconds(const JobSpec &job);

// Names one task of a job. Text form: job.occurrence.step.index.
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

// How the jobs of one queue are run. Chosen by a host name and the longest path prefix.
struct Queue
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;      // backend servers that run the tasks
    uint32_t priority = 0;    // 0 comes first
    uint32_t attempts = 1;    // runs of a task that may fail before the job fails
    double stretchFactor = 1; // latency objective: this times the longest chain, plus
    Duration objectiveSlack {};
    Duration timeout {};     // longest time to an answer; 0 for none
    bool hasAdvisor = false; // a service of the platform decides where its tasks may run

    auto operator<=>(const Queue &) const = default;
};

// One version of the operator's configuration, in force as a whole.
struct Configuration
{
    uint64_t version = 0;
    std::vector<Queue> queues;

    auto operator<=>(const Configuration &) const = default;
};

// A path that a queue serves, split into the queue and what follows its prefix.
struct QueueMatch
{
    const Queue *queue = nullptr;
    std::string_view rest;
};

// The queue for a host (without port) and a path; no queue if none matches.
std::optional<QueueMatch> findQueue(const Configuration &configuration, std::string_view host,
                                    std::string_view path);

} // namespace lovage
