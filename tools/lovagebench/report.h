// The JSON report of an experiment.
#pragma once

#include "lovagebench/operators.h"

#include <map>

namespace lovage::bench {

// What the ledgers of the lovagefake processes counted.
struct LedgerTotals
{
    uint64_t starts = 0;
    uint64_t startedTwice = 0;
    uint64_t startedOnLeaving = 0;
    std::map<std::string, double> messages;
    std::set<std::string> retriedSubmissions;
    std::set<std::string> startedSubmissions;
};

LedgerTotals readLedgers(const Rig &rig);

struct WorstControl
{
    double cpuShare = 0;
    double rssMb = 0;
    double bytesPerSecond = 0;
};

WorstControl controlSince(const ControlUse &before, const ControlUse &after);

struct ReportInput
{
    uint64_t seed = 0;
    std::string profile;
    double load = 0;
    std::string policy;
    std::string faults;
    std::vector<std::string> classNames;
    std::vector<Duration> ideal;
    std::vector<double> addedLatency; // us
    std::vector<double> inForce;      // ms
    uint64_t reverts = 0;
    WorstControl control;
};

struct Report
{
    std::string json;
    std::string ratiosByClass; // JSON: class to distribution of the response ratio
    bool isClean = false;      // every count that must be zero is zero
};

Report makeReport(const ReportInput &input, const std::vector<Planned> &work,
                  const std::vector<Record> &records, const LedgerTotals &ledger);

} // namespace lovage::bench
