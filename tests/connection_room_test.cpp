/** @file connection_room_test.cpp Which connections are closed when connections or descriptors run short. */

#include "core/clock_func.h"
#include "network/descriptor_pool.h"
#include "network/http_client.h"
#include "network/http_server.h"
#include "network/listen_socket.h"

#include "raw_socket.h"

#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>

#include <fcntl.h>
#include <sys/resource.h>

using namespace Filbertlanding;

namespace {

namespace asio = boost::asio;

constexpr std::string_view WholeRequest = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view HalfRequest = "GET /a HTTP/1.1\r\nHo";

RemoteAddress addressOf(unsigned char last)
{
    return {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 10, 0, 0, last};
}

/** Connection of a table test. */
struct FakeConnection : TrackedConnection {
    bool hasUnreadInput() const override
    {
        return this->hasInput;
    }

    bool hasInput = false;
};

/** Runs a loop until a condition holds. Returns whether it did within the limit. */
bool runUntil(asio::io_context &loop, const std::function<bool()> &condition, Duration limit = Duration{5'000})
{
    const TimePoint end = steadyNow() + limit;
    while (!condition()) {
        if (steadyNow() >= end) {
            return false;
        }
        loop.restart();
        loop.run_for(std::chrono::milliseconds(1));
    }
    return true;
}

/** A server on the loop of the test that keeps the requests unanswered until told. */
struct HoldingServer {
    explicit HoldingServer(std::size_t maxConnections, DescriptorPool *descriptors = nullptr)
        : server(
            this->settingsFor(maxConnections, descriptors),
            [this](HttpRequest &&, HttpRespond respond) {
                this->held.push_back(std::move(respond));
            },
            this->counters)
    {
        REQUIRE_FALSE(this->server.start());
    }
    HoldingServer(const HoldingServer &) = delete;
    HoldingServer &operator=(const HoldingServer &) = delete;
    ~HoldingServer()
    {
        this->server.stop();
        runUntil(this->loop, [this] {
            return this->counters.httpConnectionsOpen == 0;
        });
    }

    HttpServerSettings settingsFor(std::size_t maxConnections, DescriptorPool *descriptors)
    {
        HttpServerSettings settings;
        settings.loop = &this->loop;
        settings.maxConnections = maxConnections;
        settings.descriptors = descriptors;
        settings.onShortage = [this](ShortageEvent event) {
            this->events.push_back(event);
        };
        return settings;
    }

    /** Connects, sends a text and waits until the server has accepted the connection and, if there is a text, has seen it. */
    RawSocket connect(std::string_view text = {})
    {
        const auto accepted = this->counters.httpConnectionsAccepted + this->counters.httpConnectionsRefused;
        RawSocket socket = RawSocket::connectTo(this->server.port());
        socket.sendAll(text);
        CHECK(runUntil(this->loop, [this, accepted] {
            return this->counters.httpConnectionsAccepted + this->counters.httpConnectionsRefused > accepted;
        }));
        const TimePoint seen = steadyNow() + Duration{20};
        runUntil(this->loop, [seen] {
            return steadyNow() >= seen;
        });
        return socket;
    }

    void answerAll()
    {
        for (const HttpRespond &respond : std::exchange(this->held, {})) {
            respond({200, {}, "ok"});
        }
        const TimePoint written = steadyNow() + Duration{20};
        runUntil(this->loop, [written] {
            return steadyNow() >= written;
        });
    }

    asio::io_context loop{1};
    NetworkCounters counters;
    std::vector<HttpRespond> held;
    std::vector<ShortageEvent> events;
    HttpServer server;
};

/** Leaves this process no descriptor until it goes out of scope. */
class NoDescriptors
{
public:
    NoDescriptors()
    {
        ::getrlimit(RLIMIT_NOFILE, &this->before);
        rlimit none = this->before;
        const int lowestFree = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
        ::close(lowestFree);
        none.rlim_cur = static_cast<rlim_t>(lowestFree);
        ::setrlimit(RLIMIT_NOFILE, &none);
    }
    NoDescriptors(const NoDescriptors &) = delete;
    NoDescriptors &operator=(const NoDescriptors &) = delete;
    ~NoDescriptors()
    {
        ::setrlimit(RLIMIT_NOFILE, &this->before);
    }

private:
    rlimit before{};
};

} // namespace

TEST_CASE("The connection table names the connection that is least worth keeping")
{
    // Guards against silent connections that shut out others, and against one host that shuts out all hosts.
    ConnectionTable table;
    std::array<FakeConnection, 5> connections;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        table.add(connections[i], addressOf(static_cast<unsigned char>(i)));
    }

    SUBCASE("the oldest silent one")
    {
        CHECK(table.leastValuable() == &connections[0]);
    }
    SUBCASE("of the address with the most connections")
    {
        FakeConnection second;
        table.add(second, addressOf(3));
        CHECK(table.leastValuable() == &connections[3]);
        CHECK(table.busiestAddress().address == "10.0.0.3");
        CHECK(table.busiestAddress().connections == 2);
        table.remove(second);
    }
    SUBCASE("not an idle one, if one is silent, whatever the address")
    {
        FakeConnection second;
        table.add(second, addressOf(0));
        table.setPhase(connections[0], ConnectionPhase::Idle);
        table.setPhase(second, ConnectionPhase::Idle);
        CHECK(table.leastValuable() == &connections[1]);
        table.remove(second);
    }
    SUBCASE("not one whose bytes have arrived")
    {
        connections[0].hasInput = true;
        CHECK(table.leastValuable() == &connections[1]);
        CHECK(table.countOf(ConnectionPhase::Receiving) == 1);
    }
    SUBCASE("then one that is idle, then the oldest that receives, never one that is busy")
    {
        table.setPhase(connections[4], ConnectionPhase::Receiving);
        table.setPhase(connections[3], ConnectionPhase::Receiving);
        table.setPhase(connections[2], ConnectionPhase::Idle);
        table.setPhase(connections[1], ConnectionPhase::Busy);
        table.setPhase(connections[0], ConnectionPhase::Closing);
        CHECK(table.leastValuable() == &connections[2]);
        table.setPhase(connections[2], ConnectionPhase::Busy);
        CHECK(table.leastValuable() == &connections[4]);
        table.setPhase(connections[4], ConnectionPhase::Busy);
        table.setPhase(connections[3], ConnectionPhase::Busy);
        CHECK(table.leastValuable() == nullptr);
    }
    SUBCASE("behind many busy addresses")
    {
        std::array<FakeConnection, 40> busy;
        for (std::size_t i = 0; i < busy.size(); ++i) {
            table.add(busy[i], addressOf(static_cast<unsigned char>(100 + i / 2)));
            table.setPhase(busy[i], ConnectionPhase::Busy);
        }
        CHECK(table.leastValuable() == &connections[0]);
        for (FakeConnection &connection : busy) {
            table.remove(connection);
        }
    }
    for (FakeConnection &connection : connections) {
        table.remove(connection);
    }
    CHECK(table.size() == 0);
}

TEST_CASE("An HTTP server at its limit makes room for a new connection")
{
    HoldingServer holding(2);

    SUBCASE("by closing a silent one; a whole request is answered")
    {
        // Guards against a request that was read whole and gets no answer.
        const RawSocket busy = holding.connect(WholeRequest);
        const RawSocket silent = holding.connect();
        const RawSocket caller = holding.connect(WholeRequest);
        CHECK(silent.hasEnded());
        CHECK(holding.held.size() == 2);
        holding.answerAll();
        CHECK(busy.readSome().starts_with("HTTP/1.1 200"));
        CHECK(caller.readSome().starts_with("HTTP/1.1 200"));
        CHECK(holding.counters.httpConnectionsDisplaced == 1);
        CHECK(holding.events == std::vector<ShortageEvent>{ShortageEvent::Displaced});
    }
    SUBCASE("by closing the one that has been idle longest, in an orderly way")
    {
        const RawSocket first = holding.connect(WholeRequest);
        holding.answerAll();
        const RawSocket second = holding.connect(WholeRequest);
        holding.answerAll();
        const RawSocket caller = holding.connect(WholeRequest);
        CHECK(first.readToEnd().starts_with("HTTP/1.1 200"));
        CHECK(second.readSome().starts_with("HTTP/1.1 200"));
        CHECK_FALSE(second.hasEnded());
        CHECK(holding.held.size() == 1);
    }
    SUBCASE("by answering the oldest incomplete request, which was not run")
    {
        const RawSocket first = holding.connect(HalfRequest);
        const RawSocket second = holding.connect(HalfRequest);
        const RawSocket caller = holding.connect(WholeRequest);
        CHECK(first.readToEnd().starts_with("HTTP/1.1 503"));
        CHECK_FALSE(second.hasEnded());
        CHECK(holding.held.size() == 1);
    }
    SUBCASE("but not by closing one that is busy: the new one is refused, and the listener still accepts")
    {
        const RawSocket first = holding.connect(WholeRequest);
        const RawSocket second = holding.connect(WholeRequest);
        const RawSocket refused = holding.connect();
        CHECK(refused.readSome().empty());
        CHECK(holding.counters.httpConnectionsRefused == 1);
        CHECK(holding.server.isAccepting());
        CHECK(holding.server.connectionSummary().busy == 2);
        holding.answerAll();
        CHECK(first.readSome().starts_with("HTTP/1.1 200"));
        CHECK(second.readSome().starts_with("HTTP/1.1 200"));
    }
    SUBCASE("and closes connections that wait for the other side to close when there are too many")
    {
        constexpr int SilentConnections = 10;
        std::vector<RawSocket> silent;
        silent.reserve(SilentConnections);
        for (int i = 0; i < SilentConnections; ++i) {
            silent.push_back(holding.connect());
        }
        CHECK(holding.counters.httpConnectionsOpen <= 3);
        const RawSocket caller = holding.connect(WholeRequest);
        CHECK(holding.held.size() == 1);
    }
}

TEST_CASE("A process without descriptors still accepts connections")
{
    SUBCASE("by closing a silent one of any listener")
    {
        // Guards against a listener that is shut out by the connections of another one.
        DescriptorPool descriptors(1'000);
        HoldingServer holding(100, &descriptors);
        const RawSocket silent = holding.connect();
        const RawSocket waiting = RawSocket::connectTo(holding.server.port());
        CHECK(waiting.sendAll(WholeRequest));
        {
            const NoDescriptors none;
            CHECK(runUntil(holding.loop, [&holding] {
                return holding.held.size() == 1;
            }));
        }
        CHECK(silent.hasEnded());
        CHECK(holding.counters.httpAcceptsFailed == 0);
        CHECK(descriptors.open() == 1);
    }
    SUBCASE("or says after a while that it does not, and comes back by itself")
    {
        DescriptorPool descriptors(1'000);
        HoldingServer holding(100, &descriptors);
        const RawSocket busy = holding.connect(WholeRequest);
        const RawSocket waiting = RawSocket::connectTo(holding.server.port());
        CHECK(waiting.sendAll(WholeRequest));
        {
            const NoDescriptors none;
            CHECK(holding.server.isAccepting());
            const TimePoint begin = steadyNow();
            CHECK(runUntil(holding.loop, [&holding] {
                return !holding.server.isAccepting();
            }));
            CHECK(steadyNow() - begin >= MaxAcceptFailureTime);
            CHECK(holding.counters.httpAcceptsFailed > 0);
        }
        CHECK(runUntil(holding.loop, [&holding] {
            return holding.held.size() == 2;
        }));
        CHECK(holding.server.isAccepting());
    }
    SUBCASE("and keeps some for its files when all connections are busy")
    {
        // Guards against a data folder that cannot be written because connections have taken all descriptors.
        DescriptorPool descriptors(64);
        const std::size_t most = descriptors.shares().connections;
        HoldingServer holding(100, &descriptors);
        std::vector<RawSocket> busy;
        busy.reserve(most);
        for (std::size_t i = 0; i < most; ++i) {
            busy.push_back(holding.connect(WholeRequest));
        }
        const RawSocket refused = holding.connect(WholeRequest);
        CHECK(holding.held.size() == most);
        CHECK(descriptors.open() == most);
        CHECK(holding.counters.httpConnectionsRefused == 1);

        HttpClientSettings settings;
        settings.loop = &holding.loop;
        settings.descriptors = &descriptors;
        NetworkCounters counters;
        HttpClient client(settings, counters);
        ResultCode code = ResultCode::Ok;
        client.send({"127.0.0.1", holding.server.port()}, {"GET", "/a", {}, {}, {}}, {.timeout = {500}}, [&code](const HttpExchange &exchange) {
            code = exchange.code;
        });
        CHECK(runUntil(holding.loop, [&code] {
            return code != ResultCode::Ok;
        }));
        CHECK(code == ResultCode::ConnectFailed);
        client.stop();
    }
    SUBCASE("and its client gives up the connection that has been idle longest")
    {
        // Guards against a leader whose connections to workers shut out callers.
        DescriptorPool descriptors(1'000);
        HoldingServer target(100);
        NetworkCounters counters;
        HttpClientSettings settings;
        settings.loop = &target.loop;
        settings.descriptors = &descriptors;
        HttpClient client(settings, counters);
        int answered = 0;
        client.send({"127.0.0.1", target.server.port()}, {"GET", "/a", {}, {}, {}}, {}, [&answered](const HttpExchange &exchange) {
            answered += exchange.code == ResultCode::Ok ? 1 : 0;
        });
        REQUIRE(runUntil(target.loop, [&target] {
            return target.held.size() == 1;
        }));
        CHECK_FALSE(descriptors.releaseOne());
        target.answerAll();
        REQUIRE(answered == 1);
        CHECK(descriptors.open() == 1);
        CHECK(descriptors.releaseOne());
        CHECK(descriptors.open() == 0);
        CHECK(counters.clientIdleDisplaced == 1);
        client.stop();
    }
}

TEST_CASE("The shares of the descriptors follow the limit of the process")
{
    // Guards against a listener that may take more descriptors than there are.
    for (const std::size_t limit : {std::size_t{64}, std::size_t{300}, std::size_t{1'024}, std::size_t{4'100}, std::size_t{1'000'000}}) {
        CAPTURE(limit);
        const DescriptorShares shares = descriptorShares(limit);
        CHECK(shares.connections < limit);
        CHECK(shares.main < shares.connections + 1);
        CHECK(shares.main <= 3'500);
        CHECK(shares.auxiliary <= shares.main);
        CHECK(shares.handshakes <= 512);
        if (limit >= 300 && limit < 10'000) {
            CHECK(shares.main > limit / 2);
            CHECK(shares.main + shares.handshakes + 2 * shares.auxiliary <= shares.connections);
        }
    }
    CHECK(descriptorShares(1'000'000).main == 3'500);
    CHECK(descriptorShares(1'000'000).handshakes == 512);
}
