#pragma once

#include "lovage/core.h"

#include <vector>

namespace lovage::placement {

// Learned run times: duration of a class on the average server, times the relative run time of a
// server (1 is average, larger is slower). Times are in microseconds.
class Estimates
{
public:
    // Makes room; new servers start as average ones.
    void resize(size_t backends);
    // The declared duration starts with the weight of one sample and loses it with each sample.
    void ensureClass(uint32_t workClass, Duration declared);

    void observe(uint32_t backend, uint32_t workClass, Duration ran, Time now);

    double classMean(uint32_t workClass) const { return classes_[workClass].mean(); }
    double relative(uint32_t backend, uint32_t workClass) const;
    double relative(uint32_t backend) const { return servers_[backend].relative; }
    double expected(uint32_t backend, uint32_t workClass) const
    {
        return classMean(workClass) * relative(backend, workClass);
    }
    // Factor on the run time of a server that gives its lower bound of one standard error. Choices
    // by it try a server with few samples rather than avoid it.
    double optimism(uint32_t backend) const;
    // Mean absolute deviation of the run times of a server from their expectation, as a ratio.
    double variability(uint32_t backend) const { return servers_[backend].variability; }
    Time lastObserved(uint32_t backend) const { return servers_[backend].lastObserved; }
    uint64_t observations() const { return observations_; }
    size_t classCount() const { return classes_.size(); }
    // Duration of recent tasks on the average server; 0 before the first observation.
    double recentMean() const { return recentMean_; }
    // Learned over declared run time on the average server; 0 before a class is learned.
    double runTimeScale() const;

private:
    // Mean over a window of samples with exponential weights.
    struct Window
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
        Window slow;
        Window fast;
        uint64_t samples = 0;
        double relative = 1;
        double variability = 0.5;
        Time lastObserved {};
    };
    struct Class
    {
        double published = 0; // as declared, never adjusted
        double declared = 0;
        Window samples;
        std::vector<Window> byServer;
        double mean() const;
    };

    static double relativeOf(const Server &server);
    void updateServer(Server &server, double sample);
    void normalise();

    std::vector<Server> servers_;
    std::vector<Class> classes_;
    uint64_t observations_ = 0;
    double recentMean_ = 0;
};

} // namespace lovage::placement
