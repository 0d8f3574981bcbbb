// Entries of backend servers in the platform's store. Each server rewrites its own entry with each
// heartbeat; other writers and failures replace or remove it for a while.
#pragma once

#include "servers.h"

namespace lovage::soak {

// Thread safe.
class ServerEntries
{
public:
    // Servers and store must outlive the I/O threads.
    ServerEntries(IoThreads &threads, test::FakeStore &store, ServerLog &log, uint64_t seed)
        : threads_(threads), store_(store), log_(log), random_(seed)
    { }

    // Registers a server that is reached at the port.
    void add(Server &server, uint16_t port)
    {
        const std::lock_guard lock(mutex_);
        rows_.push_back({&server, port});
        write(rows_.size() - 1);
        scheduleHeartbeat(rows_.size() - 1);
    }
    json::object ownEntry(size_t row)
    {
        const std::lock_guard lock(mutex_);
        return rows_[row].server->storeRecord(rows_[row].port);
    }
    uint16_t port(size_t row)
    {
        const std::lock_guard lock(mutex_);
        return rows_[row].port;
    }
    // Writes the server's entry now instead of with its next heartbeat.
    void refresh(size_t row)
    {
        const std::lock_guard lock(mutex_);
        write(row);
    }
    // Another writer replaces the entry; an empty value removes it. The server does not write until
    // restore().
    void replace(size_t row, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        ++rows_[row].replacements;
        constexpr size_t loggedBytes = 400;
        log_.add(rows_[row].server->id(), "entry-replaced", value.substr(0, loggedBytes));
        store_.put(topic, rows_[row].server->id(), value);
    }
    void restore(size_t row)
    {
        const std::lock_guard lock(mutex_);
        --rows_[row].replacements;
        log_.add(rows_[row].server->id(), "entry-restored", "");
        write(row);
    }
    void setStoreDown(bool isDown)
    {
        const std::lock_guard lock(mutex_);
        isStoreDown_ = isDown;
        store_.setDown(isDown);
    }

private:
    struct Row
    {
        Server *server = nullptr;
        uint16_t port = 0;
        uint32_t replacements = 0; // in force
    };

    static constexpr const char *topic = "keyed.servers";

    void write(size_t index)
    {
        const Row &row = rows_[index];
        if (isStoreDown_ || row.replacements > 0 || !row.server->isUp())
            return;
        store_.put(topic, row.server->id(), json::serialize(row.server->storeRecord(row.port)));
    }
    void scheduleHeartbeat(size_t index)
    {
        const auto interval = std::chrono::milliseconds(1400 + random_.below(200));
        threads_.postAfter(0, interval, [this, index] {
            const std::lock_guard lock(mutex_);
            write(index);
            scheduleHeartbeat(index);
        });
    }

    IoThreads &threads_;
    test::FakeStore &store_;
    ServerLog &log_;
    std::mutex mutex_;
    Random random_;
    std::vector<Row> rows_;
    bool isStoreDown_ = false;
};

} // namespace lovage::soak
