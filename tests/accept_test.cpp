/** @file accept_test.cpp Acceptance of new connections on an event loop that is busy with other work. */

#include "network/http_server.h"
#include "network/peer_link.h"

#include "raw_socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <doctest/doctest.h>

using namespace Filbertlanding;

namespace {

namespace asio = boost::asio;

constexpr int Callers = 200; ///< Callers that connect at the same moment.
constexpr int MaxTurns = 10; ///< With turns of up to 100 ms, callers that wait a second for an answer are accepted in time.

std::vector<RawSocket> connectAll(std::uint16_t port)
{
    std::vector<RawSocket> sockets;
    for (int i = 0; i < Callers; ++i) {
        sockets.push_back(RawSocket::connectTo(port));
        REQUIRE(sockets.back().isOpen());
    }
    return sockets;
}

/** Counts the turns of a loop with a handler that is always queued. The handler may outlive the count. */
struct TurnCounter : std::enable_shared_from_this<TurnCounter> {
    explicit TurnCounter(asio::io_context &countedLoop)
        : loop(countedLoop)
    {
    }

    void postNext()
    {
        asio::post(this->loop, [self = this->shared_from_this()] {
            if (!self->isStopped) {
                ++self->turns;
                self->postNext();
            }
        });
    }

    asio::io_context &loop;
    int turns = 0;
    bool isStopped = false;
};

/** Runs a loop until a condition holds. Returns the number of its turns, up to a limit. */
int turnsUntil(asio::io_context &loop, const std::function<bool()> &condition)
{
    constexpr int TurnLimit = 1'000;
    const auto counter = std::make_shared<TurnCounter>(loop);
    counter->postNext();
    while (counter->turns < TurnLimit && !condition()) {
        loop.run_one();
    }
    counter->isStopped = true;
    return counter->turns;
}

} // namespace

TEST_CASE("A listener on a busy event loop accepts all connections that wait, not one in each turn of the loop")
{
    // Guards against callers that give up and connect again faster than the listener accepts, so that it only ever serves callers that have gone.
    asio::io_context loop{1};
    NetworkCounters counters;

    SUBCASE("callers of the HTTP server")
    {
        HttpServerSettings settings;
        settings.loop = &loop;
        HttpServer server(
            settings,
            [](HttpRequest &&, const HttpRespond &respond) {
                respond({200, {}, "ok"});
            },
            counters);
        REQUIRE_FALSE(server.start());

        SUBCASE("that wait for an answer")
        {
            const auto sockets = connectAll(server.port());
            CHECK(turnsUntil(loop,
                             [&counters] {
                                 return counters.httpConnectionsAccepted == Callers;
                             })
                  <= MaxTurns);
        }
        SUBCASE("of which most have gone: a new caller is served behind them")
        {
            {
                auto gone = connectAll(server.port());
                for (RawSocket &socket : gone) {
                    socket.reset();
                }
            }
            const RawSocket socket = RawSocket::connectTo(server.port());
            REQUIRE(socket.sendAll("GET /config HTTP/1.1\r\nHost: a\r\n\r\n"));
            CHECK(turnsUntil(loop,
                             [&counters] {
                                 return counters.httpResponses == 1;
                             })
                  <= MaxTurns);
        }
        server.stop();
        loop.run();
    }

    SUBCASE("peers of a daemon")
    {
        PeerLinkSettings settings;
        settings.self = "daemon-1";
        settings.address = "127.0.0.1";
        settings.key = "key";
        settings.loop = &loop;

        SUBCASE("are accepted")
        {
            settings.maxHandshakes = 0; // Every connection is refused when it is accepted, which counts it.
            PeerLinks links(settings, {}, counters);
            REQUIRE_FALSE(links.start());
            const auto sockets = connectAll(links.port());
            CHECK(turnsUntil(loop,
                             [&counters] {
                                 return counters.peerLinksRefused == Callers;
                             })
                  <= MaxTurns);
            links.stop();
            loop.run();
        }
        SUBCASE("are not refused because many shake hands at once")
        {
            PeerLinks links(settings, {}, counters);
            REQUIRE_FALSE(links.start());
            const auto sockets = connectAll(links.port());
            turnsUntil(loop, [handlers = 0]() mutable {
                return ++handlers > 4 * Callers;
            });
            CHECK(counters.peerLinksRefused == 0);
            links.stop();
            loop.run();
        }
    }
}
