#include "Relay.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace lentiljunction::standins {

namespace {

    constexpr std::size_t bufferSize = 64 << 10;
    constexpr std::chrono::milliseconds retransmissionDelay { 200 };
    const std::string zonePrefix = "zone=";

    std::string findZone(const char* bytes, std::size_t size)
    {
        std::string text(bytes, size);
        std::size_t begin = text.find(zonePrefix);
        if (begin == std::string::npos)
            return {};
        begin += zonePrefix.size();
        std::size_t end = begin;
        while (end < text.size() && (std::isalnum(static_cast<unsigned char>(text[end])) != 0 || text[end] == '-'))
            end++;
        return text.substr(begin, end - begin);
    }

} // namespace

/// One forwarded connection.
class Relay::Pipe : public std::enable_shared_from_this<Pipe> {
public:
    Pipe(Relay& relay, asio::ip::tcp::socket client, std::string targetZone)
        : relay(relay)
        , client(std::move(client))
        , target(relay.context)
        , targetZone(std::move(targetZone))
        , generation(relay.silenceGeneration)
        , toTarget(*this, this->target)
        , toClient(*this, this->client)
    {
    }

    void start(std::uint16_t targetPort)
    {
        asio::ip::tcp::endpoint endpoint(asio::ip::make_address(this->relay.address), targetPort);
        this->target.async_connect(endpoint, [self = this->shared_from_this()](const asio::error_code& error) {
            if (error) {
                self->close();
                return;
            }
            self->client.set_option(asio::ip::tcp::no_delay(true));
            self->target.set_option(asio::ip::tcp::no_delay(true));
            self->read(self->client, self->toTarget);
            self->read(self->target, self->toClient);
        });
    }

private:
    /// Bytes in transit in one direction, delivered in order at their delivery time.
    struct Direction {
        Direction(Pipe& pipe, asio::ip::tcp::socket& receiver)
            : receiver(receiver)
            , timer(pipe.relay.context)
        {
        }

        struct Chunk {
            std::chrono::steady_clock::time_point deliveryTime;
            std::string bytes;
        };

        asio::ip::tcp::socket& receiver;
        asio::steady_timer timer;
        std::deque<Chunk> chunks;
        std::vector<char> buffer = std::vector<char>(bufferSize);
        std::chrono::steady_clock::time_point lastDeliveryTime;
        bool isDelivering = false;
    };

    void read(asio::ip::tcp::socket& sender, Direction& direction)
    {
        sender.async_read_some(asio::buffer(direction.buffer), [self = this->shared_from_this(), &sender, &direction](const asio::error_code& error, std::size_t size) {
            if (error) {
                self->close();
                return;
            }
            self->onBytes(direction, size);
            self->read(sender, direction);
        });
    }

    void onBytes(Direction& direction, std::size_t size)
    {
        if (this->clientZone.empty())
            this->clientZone = findZone(direction.buffer.data(), size);
        bool isDropped = this->generation != this->relay.silenceGeneration || this->relay.isCut(this->clientZone, this->targetZone);
        if (isDropped)
            return;

        std::chrono::steady_clock::time_point deliveryTime = std::chrono::steady_clock::now() + this->relay.sampleDelay(this->clientZone, this->targetZone);
        direction.lastDeliveryTime = std::max(direction.lastDeliveryTime, deliveryTime);
        direction.chunks.push_back({ direction.lastDeliveryTime, std::string(direction.buffer.data(), size) });
        if (!direction.isDelivering)
            this->deliver(direction);
    }

    void deliver(Direction& direction)
    {
        direction.isDelivering = !direction.chunks.empty();
        if (!direction.isDelivering)
            return;

        direction.timer.expires_at(direction.chunks.front().deliveryTime);
        direction.timer.async_wait([self = this->shared_from_this(), &direction](const asio::error_code& error) {
            if (error)
                return;
            std::shared_ptr<std::string> bytes = std::make_shared<std::string>(std::move(direction.chunks.front().bytes));
            direction.chunks.pop_front();
            asio::async_write(direction.receiver, asio::buffer(*bytes), [self, bytes, &direction](const asio::error_code& writeError, std::size_t) {
                if (writeError)
                    self->close();
                else
                    self->deliver(direction);
            });
        });
    }

    void close()
    {
        asio::error_code ignored;
        this->client.close(ignored);
        this->target.close(ignored);
        this->toTarget.timer.cancel();
        this->toClient.timer.cancel();
    }

    Relay& relay;
    asio::ip::tcp::socket client;
    asio::ip::tcp::socket target;
    std::string clientZone;
    std::string targetZone;
    std::uint64_t generation;
    Direction toTarget;
    Direction toClient;
};

Relay::Relay(asio::io_context& context, std::string address)
    : context(context)
    , address(std::move(address))
{
}

void Relay::addPort(const ForwardedPort& port)
{
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address(this->address), port.listenPort);
    this->accept(std::make_shared<asio::ip::tcp::acceptor>(this->context, endpoint), port);
}

void Relay::apply(const nlohmann::json& change)
{
    if (change.contains("delay_ms"))
        this->delay = std::chrono::microseconds(static_cast<std::int64_t>(change.at("delay_ms").get<double>() * 1000));
    if (change.contains("jitter_ms"))
        this->jitter = std::chrono::microseconds(static_cast<std::int64_t>(change.at("jitter_ms").get<double>() * 1000));
    this->lossPercent = change.value("loss_percent", this->lossPercent);
    this->cutZones = change.value("cut_zones", this->cutZones);
    if (change.contains("cut")) {
        this->cuts.clear();
        for (const nlohmann::json& pair : change.at("cut"))
            this->cuts.insert({ pair.at(0).get<std::string>(), pair.at(1).get<std::string>() });
    }
    if (change.value("silence_connections", false))
        this->silenceGeneration++;
}

void Relay::accept(const std::shared_ptr<asio::ip::tcp::acceptor>& acceptor, const ForwardedPort& port)
{
    acceptor->async_accept([this, acceptor, port](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (!error)
            std::make_shared<Pipe>(*this, std::move(socket), port.zone)->start(port.targetPort);
        this->accept(acceptor, port);
    });
}

bool Relay::isCut(const std::string& left, const std::string& right) const
{
    if (left != right && (this->cutZones.count(left) > 0 || this->cutZones.count(right) > 0))
        return true;
    return this->cuts.count({ left, right }) > 0 || this->cuts.count({ right, left }) > 0;
}

std::chrono::microseconds Relay::sampleDelay(const std::string& left, const std::string& right)
{
    if (left == right)
        return std::chrono::microseconds(0);

    std::uniform_real_distribution<double> unit(0.0, 1.0);
    std::chrono::microseconds total = this->delay + std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(this->jitter.count()) * unit(this->random)));
    if (unit(this->random) * 100 < this->lossPercent)
        total += retransmissionDelay;
    return total;
}

} // namespace lentiljunction::standins
