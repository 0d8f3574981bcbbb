// A network in virtual time with datagrams and streams of frames. The streams behave like the TCP
// connections of FrameClient and FrameServer.
#pragma once

#include "virtual_time.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lovage::test {

using HostId = size_t;

// What a cut affects.
struct Traffic
{
    bool datagrams = true;
    bool streams = true;
};

// A process on a host. Calls take place when bytes reach the host, whether or not the process runs.
class NetworkProcess
{
public:
    virtual ~NetworkProcess() = default;
    virtual void onBytes(std::string bytes) = 0;
    // Runs the function on the thread of the process.
    virtual void post(std::function<void()> function) = 0;
    virtual void onFramesLost(const FrameClient::Lost &lost) = 0;
};

class VirtualNetwork
{
public:
    VirtualNetwork(VirtualTime &time, uint64_t seed) : time_(time), random_(seed) { }

    // Replaced by a test that observes, changes or drops datagrams. Returns whether the datagram is
    // delivered.
    std::function<bool(HostId from, HostId to, std::string &bytes)> datagramFilter;

    // A host without a process is reachable if it is powered.
    HostId addHost(std::string dataCentre, bool isPowered)
    {
        hosts_.push_back({std::move(dataCentre), nullptr, isPowered});
        for (auto &row : paths_)
            row.resize(hosts_.size());
        paths_.emplace_back(hosts_.size());
        return hosts_.size() - 1;
    }

    // Starts a process on the host, which listens on `endpoint`.
    void startProcess(HostId host, const Endpoint &endpoint, NetworkProcess &process)
    {
        hosts_[host].process = &process;
        hosts_[host].isPowered = true;
        ++hosts_[host].generation;
        byEndpoint_[endpoint] = host;
        endpoints_[host] = endpoint;
    }

    // Ends the process. Its peers learn of it at once, unless the host loses power.
    void endProcess(HostId host, bool losesPower)
    {
        hosts_[host].process = nullptr;
        hosts_[host].isPowered = !losesPower;
        ++hosts_[host].generation;
        std::vector<std::shared_ptr<Stream>> lost;
        std::erase_if(streams_, [&](const auto &entry) {
            // The kernel still sends what the process has written, unless the host loses power.
            if (entry.first.first == host && !losesPower)
                orphans_.push_back(entry.second);
            if (entry.first.second == host)
                lost.push_back(entry.second);
            return entry.first.first == host;
        });
        for (const auto &stream : lost) {
            if (!losesPower)
                sendReset(stream);
        }
    }

    // Resets every connection from and to the host. Frames on the way are lost.
    void resetConnections(HostId host)
    {
        for (const auto &stream : streamsOf(host)) {
            if (stream->from == host)
                breakStream(stream);
            else
                sendReset(stream);
        }
    }
    // Resets the connection on which one host sends frames to another.
    void resetConnection(HostId from, HostId to)
    {
        const auto found = streams_.find({from, to});
        if (found != streams_.end())
            breakStream(found->second);
    }

    // Stops the traffic in one direction. Cuts of the same path add up.
    void cut(HostId from, HostId to, Traffic traffic = {})
    {
        paths_[from][to].datagramCuts += traffic.datagrams ? 1 : 0;
        paths_[from][to].streamCuts += traffic.streams ? 1 : 0;
    }
    void heal(HostId from, HostId to, Traffic traffic = {})
    {
        paths_[from][to].datagramCuts -= traffic.datagrams ? 1 : 0;
        paths_[from][to].streamCuts -= traffic.streams ? 1 : 0;
        retransmitAfterHeal();
    }
    void setExtraDelay(HostId from, HostId to, Duration delay)
    {
        paths_[from][to].extraDelay = delay;
    }

    bool isOpen(HostId from, HostId to) const
    {
        return hosts_[to].isPowered && paths_[from][to].streamCuts == 0;
    }
    Duration delay(HostId from, HostId to)
    {
        const bool isLocal = hosts_[from].dataCentre == hosts_[to].dataCentre;
        const Duration jitter(static_cast<int64_t>(random_.below(maxJitterMicros)));
        return (isLocal ? localDelay : remoteDelay) + jitter + paths_[from][to].extraDelay;
    }

    void sendDatagram(HostId from, const Endpoint &endpoint, std::string bytes)
    {
        const auto to = byEndpoint_.find(endpoint);
        if (to == byEndpoint_.end() || paths_[from][to->second].datagramCuts > 0)
            return;
        if (datagramFilter && !datagramFilter(from, to->second, bytes))
            return;
        deliver(to->second, time_.now() + delay(from, to->second), std::move(bytes));
    }

    void sendFrame(HostId from, const Endpoint &endpoint, std::string frame)
    {
        const auto to = byEndpoint_.find(endpoint);
        if (to == byEndpoint_.end())
            return;
        auto &stream = streams_[{from, to->second}];
        if (!stream) {
            stream = std::make_shared<Stream>();
            stream->from = from;
            stream->to = to->second;
            stream->senderGeneration = hosts_[from].generation;
            stream->queue.push_back(std::move(frame));
            connect(stream);
        } else if (stream->state == State::Ready) {
            transmit(stream, std::move(frame));
        } else if (stream->state == State::Broken) {
            // The write fails. The process learns of it in a later event.
            stream->state = State::Failing;
            ++stream->interrupted;
            postToSender(stream, [this, stream] { reportLost(stream); });
        } else {
            stream->queue.push_back(std::move(frame));
        }
    }

private:
    enum class State {
        Connecting,
        Ready,
        Broken,  // the process has not learned yet that the connection is gone
        Failing, // a write has failed
        Closed,
    };
    struct Segment
    {
        std::string frame;
        bool isHeld = false; // held back by a cut, retransmitted when the path heals
        bool isDelivered = false;
        bool isAckHeld = false;
        bool isAcknowledged = false;
    };
    // A connection on which one host sends frames to another.
    struct Stream
    {
        HostId from = 0;
        HostId to = 0;
        State state = State::Connecting;
        uint64_t senderGeneration = 0;
        uint64_t receiverGeneration = 0;
        std::vector<std::string> queue;                 // frames that have not been written yet
        size_t interrupted = 0;                         // frames whose write has failed
        std::vector<std::shared_ptr<Segment>> segments; // written frames, unless acknowledged
        Time lastArrival {};
    };
    struct Path
    {
        int datagramCuts = 0;
        int streamCuts = 0;
        Duration extraDelay {};
    };
    struct Host
    {
        std::string dataCentre;
        NetworkProcess *process = nullptr;
        bool isPowered = false;
        uint64_t generation = 0; // changes whenever the process starts or ends
    };
    using StreamPtr = std::shared_ptr<Stream>;
    using SegmentPtr = std::shared_ptr<Segment>;

    static constexpr Duration localDelay = std::chrono::microseconds(200);
    static constexpr Duration remoteDelay = std::chrono::milliseconds(2);
    static constexpr uint64_t maxJitterMicros = 100;
    static constexpr Duration connectTimeout = std::chrono::milliseconds(500);
    static constexpr Duration ackTimeout = std::chrono::milliseconds(1000);
    // Longest time from the end of a cut to the next retransmission.
    static constexpr uint64_t maxRetransmissionMicros = 200'000;

    void postTo(HostId host, std::function<void()> function)
    {
        if (hosts_[host].process)
            hosts_[host].process->post(std::move(function));
    }
    void postToSender(const StreamPtr &stream, std::function<void()> function)
    {
        if (hosts_[stream->from].generation == stream->senderGeneration)
            postTo(stream->from, std::move(function));
    }

    void deliver(HostId to, Time at, std::string bytes)
    {
        time_.schedule(at, [this, to, generation = hosts_[to].generation, bytes] {
            if (hosts_[to].process && hosts_[to].generation == generation)
                hosts_[to].process->onBytes(bytes);
        });
    }

    void connect(const StreamPtr &stream)
    {
        const bool isReachable =
                isOpen(stream->from, stream->to) && isOpen(stream->to, stream->from);
        const Duration roundTrip =
                delay(stream->from, stream->to) + delay(stream->to, stream->from);
        if (!isReachable || roundTrip > connectTimeout) {
            time_.scheduleAfter(connectTimeout, [this, stream] { failToConnect(stream); });
            return;
        }
        time_.scheduleAfter(roundTrip, [this, stream] {
            if (!hosts_[stream->to].process) {
                failToConnect(stream);
                return;
            }
            stream->receiverGeneration = hosts_[stream->to].generation;
            postToSender(stream, [this, stream] {
                stream->state = State::Ready;
                for (std::string &frame : std::exchange(stream->queue, {}))
                    transmit(stream, std::move(frame));
            });
        });
    }
    void failToConnect(const StreamPtr &stream)
    {
        postToSender(stream, [this, stream] { reportLost(stream); });
    }

    void transmit(const StreamPtr &stream, std::string frame)
    {
        auto segment = std::make_shared<Segment>();
        segment->frame = std::move(frame);
        stream->segments.push_back(segment);
        time_.scheduleAfter(ackTimeout, [this, stream, segment] {
            if (!segment->isAcknowledged)
                breakStream(stream);
        });
        const bool hasHeld = std::any_of(stream->segments.begin(), stream->segments.end(),
                                         [](const auto &other) { return other->isHeld; });
        if (hasHeld || paths_[stream->from][stream->to].streamCuts > 0)
            segment->isHeld = true;
        else
            scheduleArrival(stream, segment);
    }

    void scheduleArrival(const StreamPtr &stream, const SegmentPtr &segment)
    {
        stream->lastArrival = std::max(time_.now() + delay(stream->from, stream->to),
                                       stream->lastArrival + Duration(1));
        time_.schedule(stream->lastArrival, [this, stream, segment] { arrive(stream, segment); });
    }

    void arrive(const StreamPtr &stream, const SegmentPtr &segment)
    {
        const Host &host = hosts_[stream->to];
        if (isGone(*stream) || !host.isPowered)
            return;
        if (host.generation != stream->receiverGeneration) {
            sendReset(stream);
            return;
        }
        segment->isDelivered = true;
        host.process->onBytes(segment->frame);
        if (paths_[stream->to][stream->from].streamCuts > 0)
            segment->isAckHeld = true;
        else
            scheduleAck(stream, segment, delay(stream->to, stream->from));
    }
    void scheduleAck(const StreamPtr &stream, const SegmentPtr &segment, Duration delay)
    {
        segment->isAckHeld = false;
        time_.scheduleAfter(delay, [stream, segment] {
            segment->isAcknowledged = true;
            std::erase(stream->segments, segment);
        });
    }

    // Frames that are on the way when a stream breaks are lost.
    static bool isGone(const Stream &stream) { return stream.state != State::Ready; }

    // Tells the sender that the receiver does not know the connection any more.
    void sendReset(const StreamPtr &stream)
    {
        if (paths_[stream->to][stream->from].streamCuts > 0)
            return;
        time_.scheduleAfter(delay(stream->to, stream->from),
                            [this, stream] { breakStream(stream); });
    }

    void breakStream(const StreamPtr &stream)
    {
        if (stream->state != State::Ready)
            return;
        stream->state = State::Broken;
        postToSender(stream, [this, stream] { reportLost(stream); });
    }

    void reportLost(const StreamPtr &stream)
    {
        if (stream->state == State::Closed)
            return;
        const bool wasConnected = stream->state != State::Connecting;
        stream->state = State::Closed;
        streams_.erase({stream->from, stream->to});
        hosts_[stream->from].process->onFramesLost(
                {endpoints_[stream->to], stream->queue, wasConnected, stream->interrupted});
    }

    std::vector<StreamPtr> streamsOf(HostId host) const
    {
        std::vector<StreamPtr> found;
        for (const auto &[hosts, stream] : streams_) {
            if (hosts.first == host || hosts.second == host)
                found.push_back(stream);
        }
        return found;
    }

    void retransmitAfterHeal()
    {
        std::vector<StreamPtr> all = orphans_;
        for (const auto &[hosts, stream] : streams_)
            all.push_back(stream);
        for (const StreamPtr &stream : all) {
            const Duration wait(static_cast<int64_t>(random_.below(maxRetransmissionMicros)));
            time_.scheduleAfter(wait, [this, stream] { retransmit(stream); });
        }
    }
    void retransmit(const StreamPtr &stream)
    {
        if (isGone(*stream))
            return;
        for (const SegmentPtr &segment : stream->segments) {
            if (segment->isHeld && paths_[stream->from][stream->to].streamCuts == 0) {
                segment->isHeld = false;
                scheduleArrival(stream, segment);
            }
            if (segment->isAckHeld && paths_[stream->to][stream->from].streamCuts == 0)
                scheduleAck(stream, segment, delay(stream->to, stream->from));
        }
    }

    VirtualTime &time_;
    Random random_;
    std::vector<Host> hosts_;
    std::vector<std::vector<Path>> paths_; // by sender and receiver
    std::map<Endpoint, HostId> byEndpoint_;
    std::map<HostId, Endpoint> endpoints_;
    std::map<std::pair<HostId, HostId>, StreamPtr> streams_;
    std::vector<StreamPtr> orphans_; // streams whose process has ended
};

} // namespace lovage::test
