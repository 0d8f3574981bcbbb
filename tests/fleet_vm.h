// An entry VM of a fleet in virtual time: the decisions of a node, and the process that runs them.
#pragma once

#include "fleet_servers.h"
#include "fleet_store.h"
#include "virtual_network.h"

#include "lovage/node.h"

#include <deque>
#include <memory>

namespace lovage::test {

// What the VMs of a fleet share.
struct FleetEnvironment
{
    VirtualTime &time;
    VirtualNetwork &network;
    FleetServers &servers;
    std::map<std::string, FleetGroup> &holders; // by data centre
    bool &isStoreDown;
    FleetOperators &operators;
};

// Handles one event at a time. Events that arrive while the process is paused wait until it wakes
// up.
class FleetVm : public NetworkProcess, public PeerPort
{
public:
    FleetVm(FleetEnvironment environment, NodeSettings settings, const SkewedClock &clock)
        : environment_(environment), settings_(std::move(settings)), clock_(clock),
          host_(environment.network.addHost(settings_.dataCentre, false)), serverPort_(*this),
          groupPort_(*this)
    { }

    const std::string &name() const { return settings_.name; }
    const std::string &dataCentre() const { return settings_.dataCentre; }
    HostId host() const { return host_; }
    bool isUp() const { return node_ != nullptr; }
    bool isPaused() const { return isPaused_; }
    // Returns whether the process has handled its events without delay since this time.
    bool isPromptSince(Time time) const
    {
        return isUp() && !isPaused_ && sliceInterval_ == Duration::zero() && delayedUntil_ <= time;
    }
    // Cuts this VM off from the operators' records.
    void setStoreCut(bool isCut) { isStoreCut_ = isCut; }
    // Returns whether the VM has been in touch with the platform since this time.
    bool isInTouchSince(Time time) const
    {
        return isPromptSince(time) && startedAt_ <= time && !isStoreCut_
                && !environment_.isStoreDown && storeLostAt_ <= time;
    }
    uint64_t generation() const { return generation_; }
    NodeLogic &node() { return *node_; }

    void start(const Configuration &configuration)
    {
        ++generation_;
        environment_.network.startProcess(host_, settings_.peer, *this);
        node_ = std::make_unique<NodeLogic>(
                settings_, NodePorts {serverPort_, groupPort_, groupPort_, journalPort_}, *this,
                clock_, metrics_);
        node_->setConfiguration(configuration);
        node_->start();
        startedAt_ = environment_.time.now();
        scheduleTick();
        scheduleServerList();
        if (settings_.evacuationLimit)
            scheduleOperatorRecords();
    }
    void kill(bool losesPower)
    {
        environment_.network.endProcess(host_, losesPower);
        ++generation_;
        node_.reset();
        inbox_.clear();
        isPaused_ = false;
        sliceInterval_ = {};
    }
    void pause() { isPaused_ = true; }
    void resume()
    {
        isPaused_ = false;
        delayedUntil_ = environment_.time.now();
        if (std::exchange(isTickMissed_, false))
            postTick();
        schedulePump();
    }
    // Lets the process run only once in each interval. It then handles everything that has arrived.
    // With an interval of zero it always runs.
    void setSliceInterval(Duration interval)
    {
        sliceInterval_ = interval;
        delayedUntil_ = environment_.time.now();
    }

    // Runs the function as an event of the current process.
    void post(std::function<void()> function) override
    {
        if (!isUp())
            return;
        inbox_.push_back({environment_.time.now(), std::move(function)});
        schedulePump();
    }
    // Wraps a callback so that it runs as an event of the process that exists now, if it still
    // does.
    template<class... Arguments>
    std::function<void(Arguments...)> asEvent(std::function<void(Arguments...)> callback)
    {
        return [this, generation = generation_, callback](Arguments... arguments) {
            if (generation == generation_)
                post([callback, arguments...] { callback(arguments...); });
        };
    }

    void onBytes(std::string bytes) override
    {
        post([this, bytes = std::move(bytes)] {
            updateHandledThrough();
            node_->onPeerBytes(bytes);
        });
    }
    void onFramesLost(const FrameClient::Lost &lost) override { node_->onFramesLost(lost); }
    void sendDatagram(const Endpoint &to, const std::string &bytes) override
    {
        environment_.network.sendDatagram(host_, to, bytes);
    }
    void sendFrame(const Endpoint &to, std::string frame) override
    {
        environment_.network.sendFrame(host_, to, std::move(frame));
    }

private:
    class VmServerPort : public ServerPort
    {
    public:
        explicit VmServerPort(FleetVm &vm) : vm_(vm) { }
        void start(const OrderStart &order, OrderCallback done) override
        {
            servers().start(vm_.host_, vm_.name(), order, vm_.asEvent(std::move(done)));
        }
        void stop(const OrderStop &order, OrderCallback done) override
        {
            servers().stop(vm_.host_, order, vm_.asEvent(std::move(done)));
        }
        void poll(const OrderPoll &order, PollCallback done) override
        {
            servers().poll(vm_.host_, order, vm_.asEvent(std::move(done)));
        }

    private:
        FleetServers &servers() { return vm_.environment_.servers; }

        FleetVm &vm_;
    };

    // The group of holders. No VM joins the group of keepers, because there are no stored jobs.
    class VmGroupPort : public GroupPort
    {
    public:
        explicit VmGroupPort(FleetVm &vm) : vm_(vm) { }
        void join(const JoinGroup &request,
                  std::function<void(Result<GroupMembership>)> done) override
        {
            call<GroupMembership>(
                    [this, request] {
                        return group().join(vm_.name(), request, vm_.environment_.time.now());
                    },
                    std::move(done));
        }
        void leave(std::function<void(Result<void>)> done) override
        {
            call<void>([this] { group().leave(vm_.name()); }, std::move(done));
        }

    private:
        FleetGroup &group() { return vm_.environment_.holders.at(vm_.dataCentre()); }

        template<class Value>
        void call(std::function<Value()> execute, std::function<void(Result<Value>)> done)
        {
            const auto answer = vm_.asEvent(std::move(done));
            VirtualTime &time = vm_.environment_.time;
            if (vm_.environment_.isStoreDown) {
                time.scheduleAfter(storeTimeout, [answer] {
                    answer(mayHaveRun(ErrorCode::Timeout, "store is down"));
                });
                return;
            }
            time.scheduleAfter(storeDelay, [&time, execute, answer] {
                if constexpr (std::is_void_v<Value>) {
                    execute();
                    time.scheduleAfter(storeDelay,
                                       [answer] { answer(boost::outcome_v2::success()); });
                } else {
                    time.scheduleAfter(storeDelay, [answer, value = execute()] { answer(value); });
                }
            });
        }

        static constexpr Duration storeDelay = std::chrono::milliseconds(1);
        static constexpr Duration storeTimeout = std::chrono::milliseconds(500);

        FleetVm &vm_;
    };

    // A journal that is not used, because there are no stored jobs.
    class UnusedJournal : public JournalPort
    {
    public:
        void open(uint32_t, uint64_t, std::function<void(Result<uint64_t>)>) override { }
        void read(uint32_t, uint64_t, std::function<void(Result<JournalPage>)>) override { }
        void append(const AppendRecords &, std::function<void(Result<uint64_t>)>) override { }
        void trim(uint32_t, uint64_t) override { }
        void announce() override { }
    };

    struct Event
    {
        Time arrivedAt;
        std::function<void()> action;
    };

    // Processor time of one event.
    static constexpr Duration eventTime = std::chrono::microseconds(20);
    static constexpr Duration serverListInterval = std::chrono::milliseconds(100);
    static constexpr Duration recordsInterval = std::chrono::milliseconds(100);

    Time nextSlice(Time time) const
    {
        if (sliceInterval_ <= Duration::zero())
            return time;
        return time + sliceInterval_ - time.time_since_epoch() % sliceInterval_;
    }

    void schedulePump()
    {
        if (isPumpScheduled_ || isPaused_ || inbox_.empty())
            return;
        isPumpScheduled_ = true;
        const Time at = std::max(nextSlice(inbox_.front().arrivedAt), busyUntil_);
        environment_.time.schedule(at, [this] {
            isPumpScheduled_ = false;
            if (isPaused_ || inbox_.empty())
                return;
            const auto action = std::move(inbox_.front().action);
            inbox_.pop_front();
            busyUntil_ = environment_.time.now() + eventTime;
            action();
            schedulePump();
        });
    }

    void scheduleTick()
    {
        environment_.time.scheduleAfter(node_->tickInterval(), [this, generation = generation_] {
            if (generation != generation_)
                return;
            if (isPaused_)
                isTickMissed_ = true;
            else
                postTick();
        });
    }
    void postTick()
    {
        post([this] {
            updateHandledThrough();
            node_->tick();
            scheduleTick();
        });
    }

    void updateHandledThrough()
    {
        const Time now = environment_.time.now();
        const Duration lag = inbox_.empty() ? Duration::zero() : now - inbox_.front().arrivedAt;
        node_->setInputHandledThrough(clock_.now() - lag);
    }

    // The list of servers changes only in the data centres of VMs that need it.
    void scheduleServerList()
    {
        post([this] {
            if (node_->needsServerList())
                node_->setServers(environment_.servers.infos());
        });
        environment_.time.scheduleAfter(serverListInterval, [this, generation = generation_] {
            if (generation == generation_)
                scheduleServerList();
        });
    }

    // A read of the operators' records is answered when the store has new ones, or fails.
    void scheduleOperatorRecords()
    {
        if (environment_.isStoreDown || isStoreCut_)
            storeLostAt_ = environment_.time.now();
        else
            post([this, evacuations = environment_.operators.evacuations] {
                node_->setEvacuations(evacuations);
            });
        environment_.time.scheduleAfter(recordsInterval, [this, generation = generation_] {
            if (generation == generation_)
                scheduleOperatorRecords();
        });
    }

    FleetEnvironment environment_;
    NodeSettings settings_;
    SkewedClock clock_;
    HostId host_;
    VmServerPort serverPort_;
    VmGroupPort groupPort_;
    UnusedJournal journalPort_;
    Metrics metrics_;
    std::unique_ptr<NodeLogic> node_;
    uint64_t generation_ = 0; // changes whenever the process starts or ends
    std::deque<Event> inbox_;
    Time busyUntil_ {};
    bool isPumpScheduled_ = false;
    bool isPaused_ = false;
    bool isTickMissed_ = false;
    Duration sliceInterval_ {};
    Time delayedUntil_ {}; // end of the last pause or starvation
    Time startedAt_ {};
    bool isStoreCut_ = false;
    Time storeLostAt_ {}; // latest time at which the operators' records could not be read
};

} // namespace lovage::test
