/** @file peer_relay.cpp A relay for TCP and UDP on loopback. */

#include "peer_relay.h"

#include <boost/asio.hpp>

#include <array>
#include <deque>
#include <future>
#include <thread>
#include <vector>

namespace Filbertlanding {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;
    using asio::ip::udp;
    using boost::system::error_code;

    constexpr std::size_t PieceBytes = 65536; ///< Most bytes that are read at once; holds any datagram.

    /** State of a link. */
    struct Link {
        Link(asio::io_context &context, std::uint16_t tcpPort, std::uint16_t udpPort, std::uint16_t targetTcpPort, std::uint16_t targetUdpPort)
            : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), tcpPort))
            , datagrams(context, udp::endpoint(asio::ip::address_v4::loopback(), udpPort))
            , tcpTarget(asio::ip::address_v4::loopback(), targetTcpPort)
            , udpTarget(asio::ip::address_v4::loopback(), targetUdpPort)
        {
        }

        tcp::acceptor acceptor;
        udp::socket datagrams;
        tcp::endpoint tcpTarget;
        udp::endpoint udpTarget;
        LinkMode mode = LinkMode::Open;
        Duration delay{0};
        std::array<char, PieceBytes> datagram{};
        udp::endpoint sender;
        std::vector<std::weak_ptr<struct Stream>> streams;
    };

    /** A connection through the relay. */
    struct Stream : std::enable_shared_from_this<Stream> {
        /** One direction. */
        struct Way {
            std::array<char, PieceBytes> piece{};
            std::deque<std::string> waiting;
            bool writing = false;
        };

        Stream(tcp::socket accepted, Link &itsLink)
            : link(itsLink)
            , ends{std::move(accepted), tcp::socket(itsLink.acceptor.get_executor())}
        {
        }

        void start()
        {
            if (this->link.mode == LinkMode::Silent) {
                this->silent = true;
                this->read(0);
                return;
            }
            this->ends[1].async_connect(this->link.tcpTarget, [self = this->shared_from_this()](const error_code &error) {
                if (error) {
                    self->close();
                    return;
                }
                for (tcp::socket &end : self->ends) {
                    error_code ignored;
                    end.set_option(tcp::no_delay(true), ignored);
                }
                self->read(0);
                self->read(1);
            });
        }

        void read(std::size_t from)
        {
            this->ends[from].async_read_some(asio::buffer(this->ways[from].piece),
                                             [self = this->shared_from_this(), from](const error_code &error, std::size_t size) {
                                                 if (error) {
                                                     self->onReadEnd();
                                                     return;
                                                 }
                                                 self->pass(from, std::string(self->ways[from].piece.data(), size));
                                                 self->read(from);
                                             });
        }

        /** A silent connection does not even show that the other side has gone. */
        void onReadEnd()
        {
            if (!this->silent) {
                this->close();
            }
        }

        void pass(std::size_t from, std::string bytes)
        {
            if (this->silent) {
                return;
            }
            if (this->link.delay.ms == 0) {
                this->queue(from, std::move(bytes));
                return;
            }
            auto timer = std::make_shared<asio::steady_timer>(this->ends[from].get_executor(), std::chrono::milliseconds(this->link.delay.ms));
            timer->async_wait([self = this->shared_from_this(), timer, from, bytes = std::move(bytes)](const error_code &) mutable {
                if (!self->silent) {
                    self->queue(from, std::move(bytes));
                }
            });
        }

        void queue(std::size_t from, std::string bytes)
        {
            this->ways[from].waiting.push_back(std::move(bytes));
            this->write(from);
        }

        void write(std::size_t from)
        {
            Way &way = this->ways[from];
            if (way.writing || way.waiting.empty()) {
                return;
            }
            way.writing = true;
            asio::async_write(
                this->ends[1 - from], asio::buffer(way.waiting.front()), [self = this->shared_from_this(), from](const error_code &error, std::size_t) {
                    Way &done = self->ways[from];
                    done.writing = false;
                    done.waiting.pop_front();
                    if (error) {
                        self->close();
                        return;
                    }
                    self->write(from);
                });
        }

        void close()
        {
            for (tcp::socket &end : this->ends) {
                error_code ignored;
                end.close(ignored);
            }
        }

        Link &link;
        std::array<tcp::socket, 2> ends; ///< The side that connected, and the target.
        std::array<Way, 2> ways; ///< By the end that is read.
        bool silent = false;
    };

    void acceptNext(Link &link)
    {
        link.acceptor.async_accept([&link](const error_code &error, tcp::socket socket) {
            if (error) {
                return;
            }
            if (link.mode != LinkMode::Cut) {
                const auto stream = std::make_shared<Stream>(std::move(socket), link);
                link.streams.push_back(stream);
                stream->start();
            }
            acceptNext(link);
        });
    }

    void receiveNext(Link &link)
    {
        link.datagrams.async_receive_from(asio::buffer(link.datagram), link.sender, [&link](const error_code &error, std::size_t size) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error && link.mode == LinkMode::Open) {
                const auto bytes = std::make_shared<std::string>(link.datagram.data(), size);
                auto timer = std::make_shared<asio::steady_timer>(link.datagrams.get_executor(), std::chrono::milliseconds(link.delay.ms));
                timer->async_wait([&link, bytes, timer](const error_code &) {
                    error_code ignored;
                    link.datagrams.send_to(asio::buffer(*bytes), link.udpTarget, 0, ignored);
                });
            }
            receiveNext(link);
        });
    }

    void changeMode(Link &link, LinkMode mode)
    {
        link.mode = mode;
        if (mode == LinkMode::Open) {
            return;
        }
        for (const auto &entry : link.streams) {
            const auto stream = entry.lock();
            if (stream == nullptr) {
                continue;
            }
            if (mode == LinkMode::Cut) {
                stream->close();
            } else {
                stream->silent = true;
            }
        }
    }

} // namespace

struct PeerRelay::Core {
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{asio::make_work_guard(context)};
    std::vector<std::unique_ptr<Link>> links;
    std::thread thread;

    /** Runs a function on the relay's thread and waits for it. */
    template<class Function>
    void runThere(Function function)
    {
        std::packaged_task<void()> task(std::move(function));
        auto done = task.get_future();
        asio::post(this->context, [&task] {
            task();
        });
        done.get();
    }
};

PeerRelay::PeerRelay()
    : core(std::make_unique<Core>())
{
    this->core->thread = std::thread([this] {
        this->core->context.run();
    });
}

PeerRelay::~PeerRelay()
{
    this->core->context.stop();
    this->core->thread.join();
}

std::size_t PeerRelay::addLink(std::uint16_t tcpPort, std::uint16_t udpPort, std::uint16_t targetTcpPort, std::uint16_t targetUdpPort)
{
    std::size_t number = 0;
    this->core->runThere([&] {
        number = this->core->links.size();
        this->core->links.push_back(std::make_unique<Link>(this->core->context, tcpPort, udpPort, targetTcpPort, targetUdpPort));
        acceptNext(*this->core->links.back());
        receiveNext(*this->core->links.back());
    });
    return number;
}

void PeerRelay::setMode(std::size_t link, LinkMode mode)
{
    this->core->runThere([&] {
        changeMode(*this->core->links[link], mode);
    });
}

void PeerRelay::setDelay(std::size_t link, Duration delay)
{
    this->core->runThere([&] {
        this->core->links[link]->delay = delay;
    });
}

} // namespace Filbertlanding
