// Open-loop load over the entry VMs and the check of every answer.
#pragma once

#include "lovagebench/workload.h"

#include "lovage/backend.h"
#include "lovage/net.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <set>

namespace lovage::bench {

struct EntryVm
{
    std::string name;
    Endpoint http;
    int pid = 0;
    bool mayBreak = false; // a fault of the experiment may break its connections
};

struct RunOptions
{
    std::vector<EntryVm> vms;
    std::string ownerToken;
    Duration deadline = std::chrono::seconds(20);
};

enum class Outcome { None, Complete, Failed };

struct Record
{
    std::set<std::string> ids; // of the submission; more than one if an id was given up as not run
    Outcome outcome = Outcome::None;
    Error error;
    Duration response {};
    bool isPartial = false;
    bool isMismatched = false;
    size_t inflightCut = 0; // broken connections to VMs that no fault breaks
};

// The input of a task, which the backend server echoes as its output.
std::string inputOf(size_t submission, size_t index, Duration runTime);

// Compares an answer with what was submitted and sets the flags of the record.
void checkAnswer(const backend::SubmissionAnswer &answer, size_t submission, const Planned &planned,
                 Record &record);

// Sends the work at its planned times, whether or not earlier answers have arrived.
class Runner
{
public:
    Runner(IoThreads &threads, const Profile &profile, const std::vector<Planned> &work,
           RunOptions options);

    // Returns when every submission is answered or its deadline has passed.
    void run();
    const std::vector<Record> &records() const { return records_; }

private:
    void begin(size_t submission);
    void open(size_t submission, size_t vm, size_t tries);
    void put(size_t submission, const std::string &id, size_t vm, size_t tries);
    void answered(size_t submission, const std::string &id, size_t vm, size_t tries,
                  const Result<HttpResponse> &response);
    void cancel(const std::string &id, size_t vm);
    void finish(size_t submission, Outcome outcome, Error error);
    void send(size_t vm, std::string method, std::string target, std::string body,
              HttpClient::Callback callback);
    std::string takeSpareId(size_t vm);
    bool isDone(size_t submission);

    IoThreads &threads_;
    const Profile &profile_;
    const std::vector<Planned> &work_;
    RunOptions options_;
    std::vector<std::unique_ptr<HttpClient>> clients_;
    std::mutex mutex_;
    std::vector<Record> records_;
    std::vector<Time> startedAt_;
    std::vector<Time> deadlines_;
    std::vector<std::deque<std::string>> spareIds_; // by VM
    std::atomic<size_t> open_ = 0;
    std::atomic<size_t> nextVm_ = 0;
};

} // namespace lovage::bench
