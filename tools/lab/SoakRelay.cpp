#include "SoakRelay.h"

#include <utility>

namespace lentiljunction::lab {

namespace {

    /// Much longer than a round trip on loopback, much shorter than the statement timeout.
    constexpr std::chrono::milliseconds forwardingDelay { 60 };

} // namespace

/// A connection from an instance and one to the upstream, with bytes forwarded in both directions.
class SoakRelay::Pipe : public std::enable_shared_from_this<SoakRelay::Pipe> {
public:
    Pipe(SoakRelay& relay, std::unique_ptr<TcpConnection> accepted)
        : relay(relay)
        , caller(*this, Mode::DropRequests)
        , upstream(*this, Mode::DropResponses)
    {
        this->caller.socket = std::move(accepted);
        this->upstream.socket = TcpConnection::connect(relay.loop, relay.target, this->upstream);
    }

    TcpConnection::Listener& getCallerListener() { return this->caller; }

    void close()
    {
        this->caller.socket->close();
        this->upstream.socket->close();
        std::shared_ptr<Pipe> keptAlive = std::move(this->relay.pipes[this]);
        this->relay.pipes.erase(this);
        this->relay.loop.post([keptAlive] {});
    }

private:
    struct End : public TcpConnection::Listener {
        End(Pipe& pipe, Mode droppingMode)
            : pipe(pipe)
            , droppingMode(droppingMode)
        {
        }

        void onSocketOpened() override { }
        void onSocketBytes(std::string& bytes) override { this->pipe.forward(*this, std::exchange(bytes, "")); }
        void onSocketClosed(const std::string&, bool) override { this->pipe.close(); }

        Pipe& pipe;
        Mode droppingMode;
        std::unique_ptr<TcpConnection> socket;
    };

    void forward(End& from, std::string bytes)
    {
        End& to = &from == &this->caller ? this->upstream : this->caller;
        if (this->relay.mode == from.droppingMode || this->relay.mode == Mode::DropAll)
            return;
        bool isDelayed = this->relay.mode == Mode::Delayed || this->numDelayed > 0;
        if (!isDelayed)
            return to.socket->send(bytes);
        // Bytes that follow delayed ones are delayed too, so that they stay in order.
        this->numDelayed++;
        std::weak_ptr<Pipe> alive = this->weak_from_this();
        this->relay.loop.schedule(forwardingDelay, [alive, &to, bytes = std::move(bytes)] {
            std::shared_ptr<Pipe> self = alive.lock();
            if (self == nullptr)
                return;
            self->numDelayed--;
            to.socket->send(bytes);
        });
    }

    SoakRelay& relay;
    End caller;
    End upstream;
    int numDelayed = 0;
};

SoakRelay::SoakRelay(EventLoop& loop, Endpoint target)
    : loop(loop)
    , target(std::move(target))
    , port(loop)
{
}

SoakRelay::~SoakRelay() = default;

bool SoakRelay::listen(const Endpoint& endpoint, Failure& failure)
{
    return this->port.listen(
        endpoint, [this](std::unique_ptr<TcpConnection> accepted) -> TcpConnection::Listener& {
            std::shared_ptr<Pipe> pipe = std::make_shared<Pipe>(*this, std::move(accepted));
            this->pipes.emplace(pipe.get(), pipe);
            return pipe->getCallerListener();
        },
        failure);
}

void SoakRelay::setMode(Mode newMode)
{
    this->loop.post([this, newMode] { this->mode = newMode; });
}

void SoakRelay::reset()
{
    this->loop.post([this] {
        std::map<Pipe*, std::shared_ptr<Pipe>> open = this->pipes;
        for (const std::pair<Pipe* const, std::shared_ptr<Pipe>>& pipe : open)
            pipe.second->close();
    });
}

} // namespace lentiljunction::lab
