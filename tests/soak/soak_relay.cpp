/** @file soak_relay.cpp TCP relay in front of daemons and workers. */

#include "soak/soak_relay.h"

#include <boost/asio.hpp>

#include <array>
#include <map>
#include <set>
#include <vector>

namespace Filbertlanding {

namespace {

    namespace asio = boost::asio;
    using Tcp = asio::ip::tcp;
    using Error = boost::system::error_code;

    constexpr std::size_t BufferBytes = 16'384;
    constexpr std::chrono::milliseconds BlockedRetryInterval{20}; ///< Interval at which blocked data is retried.

    /** Faults injected into the traffic between addresses. */
    struct TrafficRules {
        std::set<std::pair<std::string, std::string>> blocked; ///< Blocked directions, as pairs of sender and receiver.
        std::map<std::string, Duration> delays; ///< Delays by receiver.
    };

    /** A connection through the relay, with one socket to each side. */
    class RelayedConnection : public std::enable_shared_from_this<RelayedConnection>
    {
    public:
        RelayedConnection(Tcp::socket accepted, const Tcp::endpoint &targetEndpoint, const TrafficRules &trafficRules)
            : target(targetEndpoint)
            , rules(trafficRules)
            , sockets{std::move(accepted), Tcp::socket(accepted.get_executor())}
            , timers{asio::steady_timer(this->sockets[0].get_executor()), asio::steady_timer(this->sockets[0].get_executor())}
        {
            Error ignored;
            this->addresses = {this->sockets[0].remote_endpoint(ignored).address().to_string(), this->target.address().to_string()};
        }

        void start()
        {
            this->sockets[1].async_connect(this->target, [self = this->shared_from_this()](const Error &error) {
                if (error) {
                    self->close();
                    return;
                }
                for (Tcp::socket &socket : self->sockets) {
                    Error ignored;
                    socket.set_option(Tcp::no_delay(true), ignored);
                }
                self->read(0);
                self->read(1);
            });
        }

        void close()
        {
            for (std::size_t i = 0; i < 2; ++i) {
                Error ignored;
                this->sockets[i].close(ignored);
                this->timers[i].cancel();
            }
        }

        bool involves(const std::string &address) const
        {
            return this->addresses[0] == address || this->addresses[1] == address;
        }

        bool matches(const std::string &address, std::uint16_t port) const
        {
            return port == 0 ? this->involves(address) : this->addresses[1] == address && this->target.port() == port;
        }

        bool isBlackholed = false;

    private:
        void read(std::size_t from)
        {
            this->sockets[from].async_read_some(asio::buffer(this->buffers[from]),
                                                [self = this->shared_from_this(), from](const Error &error, std::size_t size) {
                                                    if (error) {
                                                        // A blackholed connection must not reveal that the other side has closed it.
                                                        if (!self->isBlackholed) {
                                                            self->close();
                                                        }
                                                        return;
                                                    }
                                                    const auto delay = self->rules.delays.find(self->addresses[1 - from]);
                                                    self->forwardAfter(from, size, delay == self->rules.delays.end() ? Duration{0} : delay->second);
                                                });
        }

        void forwardAfter(std::size_t from, std::size_t size, Duration wait)
        {
            if (wait.ms == 0 && !this->isBlocked(from)) {
                this->forward(from, size);
                return;
            }
            this->timers[from].expires_after(wait.ms == 0 ? BlockedRetryInterval : std::chrono::milliseconds(wait.ms));
            this->timers[from].async_wait([self = this->shared_from_this(), from, size](const Error &error) {
                if (!error) {
                    self->forwardAfter(from, size, Duration{0});
                }
            });
        }

        bool isBlocked(std::size_t from) const
        {
            return this->isBlackholed || this->rules.blocked.contains({this->addresses[from], this->addresses[1 - from]});
        }

        void forward(std::size_t from, std::size_t size)
        {
            asio::async_write(
                this->sockets[1 - from], asio::buffer(this->buffers[from], size), [self = this->shared_from_this(), from](const Error &error, std::size_t) {
                    if (error) {
                        self->close();
                        return;
                    }
                    self->read(from);
                });
        }

        Tcp::endpoint target;
        const TrafficRules &rules;
        std::array<Tcp::socket, 2> sockets; ///< The accepted socket and the socket to the target.
        std::array<asio::steady_timer, 2> timers;
        std::array<std::string, 2> addresses;
        std::array<std::array<char, BufferBytes>, 2> buffers{};
    };

} // namespace

struct SoakRelay::Impl {
    explicit Impl(asio::io_context &loop)
        : io(loop)
    {
    }

    asio::io_context &io;
    TrafficRules rules;
    std::vector<std::unique_ptr<Tcp::acceptor>> acceptors;
    std::vector<std::weak_ptr<RelayedConnection>> connections;

    void accept(Tcp::acceptor &acceptor, const Tcp::endpoint &target)
    {
        acceptor.async_accept([this, &acceptor, target](const Error &error, Tcp::socket socket) {
            if (!error) {
                std::erase_if(this->connections, [](const auto &connection) {
                    return connection.expired();
                });
                const auto connection = std::make_shared<RelayedConnection>(std::move(socket), target, this->rules);
                this->connections.push_back(connection);
                connection->start();
            }
            if (acceptor.is_open()) {
                this->accept(acceptor, target);
            }
        });
    }

    template<class Function>
    void forEach(Function function)
    {
        for (const auto &entry : this->connections) {
            if (const auto connection = entry.lock()) {
                function(*connection);
            }
        }
    }
};

SoakRelay::SoakRelay(asio::io_context &loop)
    : impl(std::make_unique<Impl>(loop))
{
}

SoakRelay::~SoakRelay() = default;

void SoakRelay::listen(const std::string &address, std::uint16_t port, std::uint16_t targetPort)
{
    const auto ip = asio::ip::make_address(address);
    this->impl->acceptors.push_back(std::make_unique<Tcp::acceptor>(this->impl->io, Tcp::endpoint(ip, port)));
    this->impl->accept(*this->impl->acceptors.back(), {ip, targetPort});
}

void SoakRelay::setBlocked(const std::string &from, const std::string &to, bool isBlocked)
{
    if (isBlocked) {
        this->impl->rules.blocked.emplace(from, to);
    } else {
        this->impl->rules.blocked.erase({from, to});
    }
}

void SoakRelay::setDelay(const std::string &to, Duration latency)
{
    this->impl->rules.delays[to] = latency;
}

void SoakRelay::resetConnections(const std::string &address, std::uint16_t port)
{
    this->impl->forEach([&address, port](RelayedConnection &connection) {
        if (connection.matches(address, port)) {
            connection.close();
        }
    });
}

void SoakRelay::blackhole(const std::string &address, std::uint16_t port)
{
    this->impl->forEach([&address, port](RelayedConnection &connection) {
        connection.isBlackholed = connection.isBlackholed || connection.matches(address, port);
    });
}

} // namespace Filbertlanding
