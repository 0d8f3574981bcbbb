#pragma once

#include "lovage/core.h"

#include <vector>

namespace lovage::placement {

// Learns run times from results. The expected run time of a task is the mean run time of its class
// on the average server times the relative run time of the server (1 is average, larger is slower).
// Times are in microseconds.
class Estimates
{
public:
    // Adds servers up to the given number, with the relative run time of an average server.
    void resize(size_t backends);
    // Adds the class unless it exists. The declared run time is the prior mean; it weighs as much
    // as one sample at first and less with each sample.
    void ensureClass(uint32_t workClass, Duration declared);

    void observe(uint32_t backend, uint32_t workClass, Duration runTime, Time now);

    double classMean(uint32_t workClass) const { return classes_[workClass].mean(); }
    double relativeRunTime(uint32_t backend, uint32_t workClass) const;
    double relativeRunTime(uint32_t backend) const { return servers_[backend].relativeRunTime; }
    double expected(uint32_t backend, uint32_t workClass) const
    {
        return classMean(workClass) * relativeRunTime(backend, workClass);
    }
    // Ratio of the lower confidence bound (one standard error) of the run time on a server to its
    // estimate. Ranking by the lower bound tries servers with few samples instead of avoiding them.
    double lowerBoundFactor(uint32_t backend) const;
    // Mean absolute deviation of the run times on a server from the expected ones, as a ratio.
    double variability(uint32_t backend) const { return servers_[backend].variability; }
    Time lastObserved(uint32_t backend) const { return servers_[backend].lastObserved; }
    uint64_t observations() const { return observations_; }
    size_t classCount() const { return classes_.size(); }
    // Mean run time of recent tasks on the average server; 0 before the first observation.
    double recentMean() const { return recentMean_; }
    // Ratio of learned to declared run time on the average server; 0 until some class is learned.
    double runTimeScale() const;

private:
    // Mean of samples with exponentially decaying weights.
    struct DecayingMean
    {
        double sum = 0;
        double weight = 0;
        void add(double sample, double decay)
        {
            sum = sum * decay + sample;
            weight = weight * decay + 1;
        }
    };
    struct Server
    {
        DecayingMean longTerm;
        DecayingMean shortTerm;
        uint64_t samples = 0;
        double relativeRunTime = 1;
        double variability = 0.5;
        Time lastObserved {};
    };
    struct Class
    {
        double declaredMean = 0;
        double priorMean = 0; // declaredMean, rescaled by normalise()
        DecayingMean samples;
        std::vector<DecayingMean> byServer;
        double mean() const;
    };

    static double relativeRunTimeOf(const Server &server);
    void updateServer(Server &server, double sample);
    void normalise();

    std::vector<Server> servers_;
    std::vector<Class> classes_;
    uint64_t observations_ = 0;
    double recentMean_ = 0;
};

} // namespace lovage::placement
