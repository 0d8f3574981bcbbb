#include "iothreads.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <fmt/format.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace lovage {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Every frame is preceded by its length in bytes, 32 bits, big endian.
using FrameHeader = std::array<uint8_t, 4>;

FrameHeader encodeLength(size_t length)
{
    return {static_cast<uint8_t>(length >> 24), static_cast<uint8_t>(length >> 16),
            static_cast<uint8_t>(length >> 8), static_cast<uint8_t>(length)};
}

size_t decodeLength(const FrameHeader &header)
{
    return (size_t {header[0]} << 24) | (size_t {header[1]} << 16) | (size_t {header[2]} << 8)
            | size_t {header[3]};
}

} // namespace

// The connection to one endpoint and its queue of outgoing frames. Connects on demand.
class FrameSender : public std::enable_shared_from_this<FrameSender>
{
public:
    FrameSender(asio::io_context &context, Endpoint to, FrameOptions options,
                std::shared_ptr<std::atomic<uint64_t>> dropped,
                std::shared_ptr<size_t> totalQueuedBytes, FrameClient::LostHandler onLost)
        : stream_(context), to_(std::move(to)), options_(std::move(options)),
          dropped_(std::move(dropped)), totalQueuedBytes_(std::move(totalQueuedBytes)),
          onLost_(std::move(onLost))
    { }

    void send(std::string frame)
    {
        if (frame.size() > options_.maxFrameBytes
            || queuedBytes_ + frame.size() > options_.maxQueuedBytes
            || *totalQueuedBytes_ + frame.size() > options_.maxTotalQueuedBytes) {
            dropped_->fetch_add(1, std::memory_order_relaxed);
            return;
        }
        queuedBytes_ += frame.size();
        *totalQueuedBytes_ += frame.size();
        queue_.push_back(std::move(frame));
        if (state_ == State::Closed)
            connect();
        else if (state_ == State::Ready)
            writeQueued();
    }

    void close()
    {
        stream_.close();
        state_ = State::Closed;
    }

private:
    enum class State { Closed, Connecting, Ready, Writing };

    void connect()
    {
        const auto to = toTcpEndpoint(to_);
        if (!to || openOutgoing(stream_.socket(), to.value(), options_.localAddress)) {
            reset();
            return;
        }
        state_ = State::Connecting;
        stream_.expires_after(options_.connectTimeout);
        stream_.async_connect(to.value(), [self = shared_from_this()](error_code error) {
            if (error) {
                self->reset();
                return;
            }
            self->stream_.expires_never();
            self->state_ = State::Ready;
            self->setAckTimeout();
            self->watchForClose();
            self->writeQueued();
        });
    }

    // Without this timeout, a write to a peer that lost power or network access fails only after
    // minutes.
    void setAckTimeout()
    {
        if (options_.ackTimeout <= Duration::zero())
            return;
        const auto millis = static_cast<unsigned>(
                std::chrono::duration_cast<std::chrono::milliseconds>(options_.ackTimeout).count());
        setsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &millis,
                   sizeof(millis));
    }

    // The receiver never sends data, so the socket becomes readable only when the connection is
    // closed. Without this wait, the next frame would be lost on a connection that the receiver has
    // closed.
    void watchForClose()
    {
        stream_.socket().async_wait(
                tcp::socket::wait_read,
                [self = shared_from_this(), generation = generation_](error_code error) {
                    if (error || generation != self->generation_)
                        return;
                    if (self->state_ == State::Ready || self->state_ == State::Writing)
                        self->reset();
                });
    }

    void writeQueued()
    {
        if (queue_.empty())
            return;
        state_ = State::Writing;
        writing_.clear();
        headers_.clear();
        headers_.reserve(queue_.size());
        for (std::string &frame : queue_) {
            headers_.push_back(encodeLength(frame.size()));
            writing_.push_back(std::move(frame));
        }
        queue_.clear();
        std::vector<asio::const_buffer> buffers;
        buffers.reserve(2 * writing_.size());
        for (size_t i = 0; i < writing_.size(); ++i) {
            buffers.emplace_back(headers_[i].data(), headers_[i].size());
            buffers.emplace_back(writing_[i].data(), writing_[i].size());
        }
        asio::async_write(
                stream_, buffers,
                [self = shared_from_this(), generation = generation_](error_code error, size_t) {
                    if (generation != self->generation_)
                        return;
                    for (const std::string &frame : self->writing_) {
                        self->queuedBytes_ -= frame.size();
                        *self->totalQueuedBytes_ -= frame.size();
                    }
                    if (error) {
                        self->reset();
                        return;
                    }
                    self->writing_.clear();
                    self->state_ = State::Ready;
                    self->writeQueued();
                });
    }

    // Drops the queued frames: their senders will have timed out by the time the connection is
    // re-established.
    void reset()
    {
        dropped_->fetch_add(queue_.size() + writing_.size(), std::memory_order_relaxed);
        FrameClient::Lost lost {
                to_,
                {std::make_move_iterator(queue_.begin()), std::make_move_iterator(queue_.end())},
                state_ != State::Connecting && state_ != State::Closed,
                writing_.size()};
        queue_.clear();
        writing_.clear();
        *totalQueuedBytes_ -= queuedBytes_;
        queuedBytes_ = 0;
        ++generation_;
        stream_.close();
        state_ = State::Closed;
        if (onLost_)
            onLost_(std::move(lost));
    }

    boost::beast::tcp_stream stream_;
    Endpoint to_;
    FrameOptions options_;
    std::shared_ptr<std::atomic<uint64_t>> dropped_;
    std::shared_ptr<size_t> totalQueuedBytes_; // of all endpoints
    FrameClient::LostHandler onLost_;
    State state_ = State::Closed;
    uint64_t generation_ = 0;
    std::deque<std::string> queue_;
    std::vector<std::string> writing_;
    std::vector<FrameHeader> headers_;
    size_t queuedBytes_ = 0;
};

class FrameClient::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(asio::io_context &context, FrameOptions options, LostHandler onLost)
        : context_(context), options_(std::move(options)), onLost_(std::move(onLost)),
          dropped_(std::make_shared<std::atomic<uint64_t>>(0))
    { }

    void send(const Endpoint &to, std::string frame)
    {
        asio::post(context_, [self = shared_from_this(), to, frame = std::move(frame)]() mutable {
            auto &sender = self->senders_[to];
            if (!sender)
                sender = std::make_shared<FrameSender>(self->context_, to, self->options_,
                                                       self->dropped_, self->totalQueuedBytes_,
                                                       self->onLost_);
            sender->send(std::move(frame));
        });
    }

    void close()
    {
        asio::post(context_, [self = shared_from_this()] {
            for (const auto &[endpoint, sender] : self->senders_)
                sender->close();
        });
    }

    uint64_t dropped() const { return dropped_->load(std::memory_order_relaxed); }

private:
    asio::io_context &context_;
    FrameOptions options_;
    LostHandler onLost_;
    std::shared_ptr<std::atomic<uint64_t>> dropped_;
    std::shared_ptr<size_t> totalQueuedBytes_ = std::make_shared<size_t>(0);
    std::map<Endpoint, std::shared_ptr<FrameSender>> senders_;
};

FrameClient::FrameClient(IoThreads &threads, size_t thread, FrameOptions options,
                         LostHandler onLost)
    : implementation_(std::make_shared<Implementation>(contextOf(threads, thread),
                                                       std::move(options), std::move(onLost)))
{ }

FrameClient::~FrameClient()
{
    implementation_->close();
}

void FrameClient::send(const Endpoint &to, std::string frame)
{
    implementation_->send(to, std::move(frame));
}

uint64_t FrameClient::droppedFrames() const
{
    return implementation_->dropped();
}

// One accepted connection; reads frames until the connection ends, a frame is too long or does not
// arrive in time, or its bytes are more than the budget has room for.
class FrameReceiver : public std::enable_shared_from_this<FrameReceiver>
{
public:
    FrameReceiver(tcp::socket socket, std::shared_ptr<const FrameOptions> options,
                  FrameServer::Handler handler, std::shared_ptr<FrameServerStats> stats)
        : socket_(std::move(socket)), timer_(socket_.get_executor()), options_(std::move(options)),
          handler_(std::move(handler)), stats_(std::move(stats))
    {
        stats_->connections.fetch_add(1, std::memory_order_relaxed);
    }
    ~FrameReceiver()
    {
        releaseHeld();
        stats_->connections.fetch_sub(1, std::memory_order_relaxed);
    }

    // The first frame must arrive within the read timeout. Later, the connection may be idle.
    void start()
    {
        startTimer();
        readHeader();
    }
    // Closes the connection if no frame has arrived on it yet.
    void closeIfUnused()
    {
        if (!hasReceived_)
            refuse();
    }

private:
    void readHeader()
    {
        asio::async_read(socket_, asio::buffer(header_),
                         [self = shared_from_this()](error_code error, size_t) {
                             if (error)
                                 self->close();
                             else
                                 self->readBody(decodeLength(self->header_));
                         });
    }

    void readBody(size_t length)
    {
        if (length > options_->maxFrameBytes) {
            refuse();
            return;
        }
        frame_.clear();
        startTimer();
        readChunk(length);
    }

    // Grows the buffer as bytes arrive, so that a large length field alone does not allocate
    // memory.
    void readChunk(size_t remaining)
    {
        const size_t chunk = std::min(remaining, maxChunkBytes);
        const size_t offset = frame_.size();
        frame_.resize(offset + chunk);
        if (remaining > chunk || offset > 0)
            hold(frame_.capacity());
        asio::async_read(
                socket_, asio::buffer(frame_.data() + offset, chunk),
                [self = shared_from_this(), left = remaining - chunk](error_code error, size_t) {
                    if (error) {
                        self->close();
                        return;
                    }
                    if (left > 0) {
                        self->readChunk(left);
                        return;
                    }
                    self->finishFrame();
                });
    }

    void finishFrame()
    {
        timer_.cancel();
        releaseHeld();
        hasReceived_ = true;
        ++frames_;
        const ScopeGuard readNext([this] { readHeader(); });
        handler_(std::exchange(frame_, {}));
    }

    void startTimer()
    {
        timer_.expires_after(options_->readTimeout);
        timer_.async_wait([self = shared_from_this(), frame = frames_](error_code error) {
            if (!error)
                self->refuseFrame(frame);
        });
    }

    void hold(size_t bytes)
    {
        if (!heldAs_)
            heldAs_ = options_->budget->open([weak = weak_from_this(), frame = frames_] {
                if (const auto self = weak.lock())
                    asio::post(self->socket_.get_executor(),
                               [self, frame] { self->refuseFrame(frame); });
            });
        options_->budget->hold(*heldAs_, bytes);
    }

    void releaseHeld()
    {
        if (heldAs_)
            options_->budget->close(*heldAs_);
        heldAs_.reset();
    }

    // A timeout or a refusal by the budget may be queued already when the frame is complete.
    void refuseFrame(uint64_t frame)
    {
        if (frame == frames_)
            refuse();
    }

    void refuse()
    {
        if (socket_.is_open())
            stats_->refused.fetch_add(1, std::memory_order_relaxed);
        close();
    }

    void close()
    {
        timer_.cancel();
        error_code ignored;
        socket_.close(ignored);
    }

    static constexpr size_t maxChunkBytes = 256U << 10;

    tcp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<const FrameOptions> options_;
    FrameServer::Handler handler_;
    std::shared_ptr<FrameServerStats> stats_;
    FrameHeader header_ {};
    uint64_t frames_ = 0; // number of complete frames
    std::string frame_;
    std::optional<uint64_t> heldAs_; // in the budget
    bool hasReceived_ = false;
};

class FrameServer::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(IoThreads &threads, tcp::acceptor acceptor, FrameOptions options,
                   Handler handler)
        : threads_(threads), acceptor_(std::move(acceptor)),
          port_(acceptor_.local_endpoint().port()), pauseTimer_(acceptor_.get_executor()),
          options_(std::make_shared<FrameOptions>(std::move(options))),
          handler_(std::move(handler)), stats_(std::make_shared<FrameServerStats>())
    {
        if (!options_->budget)
            options_->budget = std::make_shared<ConnectionBudget>(ByteBudget::Limits {});
    }

    void accept()
    {
        if (stats_->connections.load(std::memory_order_relaxed) >= options_->maxConnections) {
            pause();
            return;
        }
        auto &context = contextOf(threads_, nextThread_++);
        acceptor_.async_accept(context,
                               [self = shared_from_this()](error_code error, tcp::socket socket) {
                                   if (error == asio::error::operation_aborted)
                                       return;
                                   if (isShortage(error)) {
                                       self->pause();
                                       return;
                                   }
                                   if (!error)
                                       self->openConnection(std::move(socket));
                                   self->accept();
                               });
    }

    void close()
    {
        asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
            error_code ignored;
            self->acceptor_.close(ignored);
            self->pauseTimer_.cancel();
        });
    }

    uint16_t port() const { return port_; }
    const FrameServerStats &stats() const { return *stats_; }

private:
    // Delay after which accepting is tried again when there was no room.
    static constexpr Duration acceptPause = std::chrono::milliseconds(100);

    struct Opened
    {
        std::weak_ptr<FrameReceiver> receiver;
        tcp::socket::executor_type executor;
    };

    void openConnection(tcp::socket socket)
    {
        const auto executor = socket.get_executor();
        const auto receiver =
                std::make_shared<FrameReceiver>(std::move(socket), options_, handler_, stats_);
        opened_.push_back({receiver, executor});
        if (opened_.size() > options_->maxConnections)
            opened_.pop_front();
        asio::post(executor, [receiver] { receiver->start(); });
    }

    // New connections wait in the queue of the kernel meanwhile. The connections on which nothing
    // has arrived since the last pause are closed to make room.
    void pause()
    {
        stats_->acceptPauses.fetch_add(1, std::memory_order_relaxed);
        const std::deque<Opened> opened = std::exchange(opened_, {});
        pauseTimer_.expires_after(acceptPause);
        pauseTimer_.async_wait([self = shared_from_this(), opened](error_code error) {
            if (error)
                return;
            for (const Opened &entry : opened) {
                if (const auto receiver = entry.receiver.lock())
                    asio::post(entry.executor, [receiver] { receiver->closeIfUnused(); });
            }
            self->accept();
        });
    }

    IoThreads &threads_;
    tcp::acceptor acceptor_;
    uint16_t port_;
    asio::steady_timer pauseTimer_;
    std::shared_ptr<FrameOptions> options_;
    Handler handler_;
    std::shared_ptr<FrameServerStats> stats_;
    std::deque<Opened> opened_; // the last connections; they may have ended
    size_t nextThread_ = 0;
};

FrameServer::FrameServer(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{ }

FrameServer::~FrameServer()
{
    implementation_->close();
}

Result<std::unique_ptr<FrameServer>> FrameServer::listen(IoThreads &threads,
                                                         const Endpoint &endpoint,
                                                         FrameOptions options, Handler handler)
{
    auto acceptor = openAcceptor(contextOf(threads, 0), endpoint);
    if (!acceptor)
        return acceptor.error();
    auto implementation = std::make_shared<Implementation>(threads, std::move(acceptor.value()),
                                                           std::move(options), std::move(handler));
    implementation->accept();
    return std::unique_ptr<FrameServer>(new FrameServer(std::move(implementation)));
}

uint16_t FrameServer::port() const
{
    return implementation_->port();
}

const FrameServerStats &FrameServer::stats() const
{
    return implementation_->stats();
}

} // namespace lovage
