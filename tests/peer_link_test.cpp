/** @file peer_link_test.cpp Tests of the links between daemons on loopback, with a relay that can go silent. */

#include "core/random.h"
#include "network/peer_link.h"
#include "network/peer_request.h"
#include "network/udp_heartbeat.h"
#include "raw_socket.h"
#include "test_seed.h"

#include <doctest/doctest.h>

#include <future>

using namespace Filbertlanding;

namespace {

/** What one daemon received, and its links. */
struct TestDaemon {
    explicit TestDaemon(const DaemonName &name, const std::string &key = "the key of this test", PeerLinkSettings settings = {})
        : links(
            named(std::move(settings), name, key),
            [this](const DaemonName &peer, std::uint8_t kind, const std::string &payload, const PeerReply &reply) {
                const std::lock_guard lock(this->mutex);
                this->received.push_back(peer + "/" + std::to_string(kind) + "/" + payload);
                if (reply && payload != "never") {
                    reply("answer to " + payload);
                }
                if (payload == "block") {
                    this->blocked = true;
                    this->unblock.get_future().wait();
                }
            },
            counters)
    {
        this->links.setRefusalHook([this](const DaemonName &, ResultCode code) {
            const std::lock_guard lock(this->mutex);
            this->refusals.push_back(code);
        });
        REQUIRE_FALSE(this->links.start());
    }

    static PeerLinkSettings named(PeerLinkSettings settings, const DaemonName &name, const std::string &key)
    {
        settings.self = name;
        settings.key = key;
        settings.backoffMin = Duration{5};
        settings.backoffMax = Duration{40};
        return settings;
    }

    std::size_t count()
    {
        const std::lock_guard lock(this->mutex);
        return this->received.size();
    }

    std::vector<ResultCode> refused()
    {
        const std::lock_guard lock(this->mutex);
        return this->refusals;
    }

    PeerAddress address(const DaemonName &name) const
    {
        return {name, "127.0.0.1", this->links.port()};
    }

    PeerAnswer ask(const DaemonName &peer, const std::string &payload, Duration timeout = Duration{20'000})
    {
        const auto promise = std::make_shared<std::promise<PeerAnswer>>();
        this->links.sendRequest(peer, 7, payload, timeout, [promise](PeerAnswer answer) {
            promise->set_value(std::move(answer));
        });
        return promise->get_future().get();
    }

    NetworkCounters counters;
    std::mutex mutex;
    std::vector<std::string> received;
    std::vector<ResultCode> refusals;
    std::promise<void> unblock;
    std::atomic<bool> blocked{false};
    PeerLinks links;
};

/** Passes bytes between callers and one port until it is told to go silent; connections stay open then. */
class Relay
{
public:
    explicit Relay(std::uint16_t targetPort)
        : server([this, targetPort](RawSocket &from, int number) {
            const RawSocket to = RawSocket::connectTo(targetPort);
            std::thread back([this, &from, &to, number] {
                this->pass(to, from, number);
            });
            this->pass(from, to, number);
            to.shutdownBoth();
            back.join();
        })
    {
    }

    void silence()
    {
        this->silentBelow = this->server.accepted.load();
    }

    std::uint16_t port() const
    {
        return this->server.port;
    }

private:
    void pass(const RawSocket &from, const RawSocket &to, int number)
    {
        for (std::string bytes = from.readSome(); !bytes.empty(); bytes = from.readSome()) {
            if (number >= this->silentBelow) {
                to.sendAll(bytes);
            }
        }
        // A silent path does not carry the end of a connection either.
        if (number >= this->silentBelow) {
            to.shutdownBoth();
        }
    }

    std::atomic<int> silentBelow{0};
    ScriptedServer server;
};

bool waitOpen(TestDaemon &daemon, const DaemonName &peer)
{
    return waitUntil([&] {
        return daemon.links.isOpen(peer);
    });
}

} // namespace

TEST_CASE("Links between daemons")
{
    TestDaemon bole("bole");

    SUBCASE("messages arrive whole and in order, and requests get their own answers")
    {
        TestDaemon piassa("piassa");
        bole.links.setPeers({piassa.address("piassa")});
        piassa.links.setPeers({bole.address("bole")});
        REQUIRE(waitOpen(bole, "piassa"));
        REQUIRE(waitOpen(piassa, "bole"));
        const std::string large(3 * 1024 * 1024, 'x');
        constexpr int Messages = 2000;
        for (int i = 0; i < Messages; ++i) {
            REQUIRE(bole.links.sendOneWay("piassa", 3, std::to_string(i)) == ResultCode::Ok);
        }
        CHECK(bole.links.sendOneWay("piassa", 4, large) == ResultCode::Ok);
        CHECK(bole.links.sendOneWay("piassa", 4, std::string(5 * 1024 * 1024, 'x')) == ResultCode::FrameTooLarge);
        REQUIRE(waitUntil([&] {
            return piassa.count() == Messages + 1;
        }));
        for (int i = 0; i < Messages; ++i) {
            CHECK(piassa.received[static_cast<std::size_t>(i)] == "bole/3/" + std::to_string(i));
        }
        CHECK(piassa.received.back() == "bole/4/" + large);
        CHECK(bole.ask("piassa", "one").payload == "answer to one");
        CHECK(piassa.ask("bole", "two").payload == "answer to two");
        CHECK(bole.counters.peerBytesSent > large.size());

        const PeerAnswer late = bole.ask("piassa", "never", Duration{2000});
        CHECK(late.code == ResultCode::Timeout);
        CHECK(late.bytesSent);
        // The link itself is in order, so it stays.
        CHECK(bole.ask("piassa", "three").payload == "answer to three");
        CHECK(bole.counters.peerLinksOpened == 1);

        // Guards against a request whose sender waits for ever when the peer has gone.
        piassa.links.stop();
        REQUIRE(waitUntil([&] {
            return !bole.links.isOpen("piassa");
        }));
        const PeerAnswer gone = bole.ask("piassa", "four");
        CHECK(gone.code == ResultCode::ConnectionClosed);
        CHECK_FALSE(gone.bytesSent);
        CHECK(bole.ask("nobody", "five").code == ResultCode::UnknownPeer);
    }

    SUBCASE("a daemon with another key is refused")
    {
        TestDaemon stranger("piassa", "another key");
        bole.links.setPeers({{"piassa", "127.0.0.1", 1}});
        stranger.links.setPeers({bole.address("bole")});
        REQUIRE(waitUntil([&] {
            return bole.refused().size() >= 3;
        }));
        CHECK(bole.refused().front() == ResultCode::BadPeerKey);
        CHECK_FALSE(stranger.links.isOpen("bole"));
        CHECK(stranger.links.sendOneWay("bole", 1, "x") == ResultCode::ConnectionClosed);
        CHECK(bole.counters.peerLinksAccepted == 0);
    }

    SUBCASE("a daemon that is not configured is refused although it has the key")
    {
        TestDaemon stranger("mercato");
        bole.links.setPeers({{"piassa", "127.0.0.1", 1}});
        stranger.links.setPeers({bole.address("bole")});
        REQUIRE(waitUntil([&] {
            return !bole.refused().empty();
        }));
        CHECK(bole.refused().front() == ResultCode::UnknownPeer);
        CHECK_FALSE(stranger.links.isOpen("bole"));

        // Once it is configured its next try succeeds, and it is cut off when it is removed.
        bole.links.setPeers({stranger.address("mercato")});
        CHECK(waitOpen(stranger, "bole"));
        bole.links.setPeers({});
        CHECK(waitUntil([&] {
            return !stranger.links.isOpen("bole");
        }));
    }

    SUBCASE("a recorded conversation cannot be replayed")
    {
        // Guards against an intruder without the key who repeats what a daemon once sent.
        std::mutex mutex;
        std::string recorded;
        TestDaemon piassa("piassa");
        bole.links.setPeers({piassa.address("piassa")});
        {
            const ScriptedServer tap([&](const RawSocket &from, int) {
                const RawSocket to = RawSocket::connectTo(bole.links.port());
                std::thread back([&] {
                    for (std::string bytes = to.readSome(); !bytes.empty(); bytes = to.readSome()) {
                        from.sendAll(bytes);
                    }
                });
                for (std::string bytes = from.readSome(); !bytes.empty(); bytes = from.readSome()) {
                    const std::lock_guard lock(mutex);
                    recorded += bytes;
                    to.sendAll(bytes);
                }
                to.shutdownBoth();
                back.join();
            });
            piassa.links.setPeers({{"bole", "127.0.0.1", tap.port}});
            REQUIRE(waitOpen(piassa, "bole"));
            REQUIRE(piassa.links.sendOneWay("bole", 1, "pay once") == ResultCode::Ok);
            REQUIRE(waitUntil([&] {
                return bole.count() == 1;
            }));
            piassa.links.setPeers({});
        }
        const RawSocket intruder = RawSocket::connectTo(bole.links.port());
        REQUIRE(intruder.sendAll(recorded));
        intruder.readToEnd();
        CHECK(bole.count() == 1);
        CHECK(bole.counters.peerLinksAccepted == 1);
        // The connection is closed before the refusal is reported.
        CHECK(waitUntil([&] {
            return !bole.refused().empty();
        }));
    }

    SUBCASE("arbitrary bytes are refused and disturb no other link")
    {
        TestDaemon piassa("piassa");
        bole.links.setPeers({piassa.address("piassa")});
        piassa.links.setPeers({bole.address("bole")});
        REQUIRE(waitOpen(piassa, "bole"));
        Random random{testSeed()};
        for (int i = 0; i < 50; ++i) {
            std::string bytes(random.below(300), '\0');
            for (char &byte : bytes) {
                byte = static_cast<char>(random.next());
            }
            const RawSocket intruder = RawSocket::connectTo(bole.links.port());
            intruder.sendAll(bytes);
        }
        CHECK(piassa.ask("bole", "still here").payload == "answer to still here");
        CHECK(piassa.counters.peerLinksOpened == 1);
        CHECK(bole.counters.peerLinksAccepted == 1);
    }
}

TEST_CASE("A silent link is replaced")
{
    // Guards against open connections that never carry a byte again while new ones work.
    PeerLinkSettings quick;
    quick.heartbeatInterval = Duration{50};
    quick.silentTimeout = Duration{5000}; // Far above any pause of a busy machine.
    TestDaemon bole("bole", "key", quick);
    TestDaemon piassa("piassa", "key", quick);
    Relay relay(piassa.links.port());
    bole.links.setPeers({{"piassa", "127.0.0.1", relay.port()}});
    piassa.links.setPeers({{"bole", "127.0.0.1", 1}});
    REQUIRE(waitOpen(bole, "piassa"));
    CHECK(bole.ask("piassa", "one").code == ResultCode::Ok);

    // An idle link stays open, since heartbeats pass.
    REQUIRE(waitUntil([&] {
        return bole.counters.peerFramesReceived >= 30;
    }));
    CHECK(bole.counters.peerLinksOpened == 1);

    relay.silence();
    const PeerAnswer lost = bole.ask("piassa", "two");
    CHECK(lost.code == ResultCode::ConnectionClosed);
    CHECK(lost.bytesSent);
    REQUIRE(waitUntil([&] {
        return bole.counters.peerLinksOpened == 2 && bole.links.isOpen("piassa");
    }));
    CHECK(bole.counters.peerLinksSilent == 1);
    CHECK(bole.ask("piassa", "three").payload == "answer to three");
    CHECK(waitUntil([&] {
        return piassa.counters.peerLinksAccepted == 2;
    }));
}

TEST_CASE("The send queue of a link is bounded")
{
    // Guards against memory that grows while a peer does not read.
    PeerLinkSettings small;
    small.maxQueuedBytes = 4 * 1024 * 1024;
    small.silentTimeout = Duration{60'000};
    TestDaemon bole("bole", "key", small);
    TestDaemon piassa("piassa", "key", small);
    bole.links.setPeers({piassa.address("piassa")});
    piassa.links.setPeers({bole.address("bole")});
    REQUIRE(waitOpen(bole, "piassa"));
    REQUIRE(bole.links.sendOneWay("piassa", 1, "block") == ResultCode::Ok);
    REQUIRE(waitUntil([&] {
        return piassa.blocked.load();
    }));
    const std::string payload(1024 * 1024, 'x');
    std::size_t queued = 0;
    std::uint64_t refused = 0;
    int refusedInARow = 0;
    // The kernel goes on taking some megabytes after the first refusal; the queue is stuck once it stays full.
    while (refusedInARow < 500 && queued < 1000) {
        const ResultCode code = bole.links.sendOneWay("piassa", 2, payload);
        if (code == ResultCode::Ok) {
            ++queued;
            refusedInARow = 0;
            continue;
        }
        REQUIRE(code == ResultCode::QueueFull);
        ++refused;
        ++refusedInARow;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    CHECK(queued < 1000);
    CHECK(bole.counters.peerSendDropped == refused);

    // A request that never left the queue is told so, and is not sent afterwards.
    REQUIRE(bole.links.sendOneWay("piassa", 3, "small") == ResultCode::Ok);
    const PeerAnswer unsent = bole.ask("piassa", "too late", Duration{50});
    CHECK(unsent.code == ResultCode::Timeout);
    CHECK_FALSE(unsent.bytesSent);

    piassa.unblock.set_value();
    REQUIRE(waitUntil([&] {
        return piassa.count() == queued + 2;
    }));
    CHECK(bole.ask("piassa", "last").code == ResultCode::Ok);
    CHECK(piassa.count() == queued + 3);
    CHECK(piassa.received.back() == "bole/7/last");
}

TEST_CASE("Requests to peers end exactly once")
{
    PeerRequestTable table;
    std::vector<std::pair<ResultCode, bool>> outcomes;
    const auto note = [&](const PeerAnswer &answer) {
        outcomes.emplace_back(answer.code, answer.bytesSent);
    };
    const int link = 0;
    const int otherLink = 0;
    table.add(1, &link, TimePoint{100}, note);
    table.add(2, &link, TimePoint{50}, note);
    table.add(3, &otherLink, TimePoint{70}, note);
    CHECK(table.nextDeadline() == TimePoint{50});
    CHECK(table.markSent(1));
    CHECK(table.expire(TimePoint{50}) == 1);
    CHECK_FALSE(table.markSent(2));
    table.answer(2, &link, "late");
    table.answer(3, &link, "from a link that did not carry the request");
    CHECK(outcomes == std::vector<std::pair<ResultCode, bool>>{{ResultCode::Timeout, false}});
    table.endAllOf(&link);
    table.answer(3, &otherLink, "x");
    CHECK(outcomes.size() == 3);
    CHECK(outcomes[1] == std::pair{ResultCode::ConnectionClosed, true});
    CHECK(outcomes[2] == std::pair{ResultCode::Ok, false});
    CHECK_FALSE(table.nextDeadline());
}

TEST_CASE("Heartbeats by datagram")
{
    NetworkCounters counters;
    std::mutex mutex;
    std::vector<std::string> received;
    const auto handler = [&](const DaemonName &peer, std::uint64_t incarnation, const std::string &payload) {
        const std::lock_guard lock(mutex);
        received.push_back(peer + "/" + std::to_string(incarnation) + "/" + payload);
    };
    const auto ignore = [](const DaemonName &, std::uint64_t, const std::string &) {};
    const auto count = [&] {
        const std::lock_guard lock(mutex);
        return received.size();
    };
    NetworkCounters senderCounters;
    UdpHeartbeat bole({.self = "bole", .key = "key", .incarnation = 1}, handler, counters);
    UdpHeartbeat piassa({.self = "piassa", .key = "key", .incarnation = 5}, ignore, senderCounters);
    UdpHeartbeat earlier({.self = "piassa", .key = "key", .incarnation = 4}, ignore, senderCounters);
    UdpHeartbeat wrongKey({.self = "piassa", .key = "other", .incarnation = 9}, ignore, senderCounters);
    UdpHeartbeat unknown({.self = "mercato", .key = "key", .incarnation = 9}, ignore, senderCounters);
    REQUIRE_FALSE(bole.start());
    bole.setPeers({{"piassa", "127.0.0.1", 1}});
    for (UdpHeartbeat *sender : {&piassa, &earlier, &wrongKey, &unknown}) {
        REQUIRE_FALSE(sender->start());
        sender->setPeers({{"bole", "127.0.0.1", bole.port()}});
    }

    REQUIRE(piassa.send("bole", std::string(1200, 'x')) == ResultCode::Ok);
    CHECK(piassa.send("bole", std::string(1201, 'x')) == ResultCode::FrameTooLarge);
    CHECK(piassa.send("nobody", "x") == ResultCode::UnknownPeer);
    REQUIRE(waitUntil([&] {
        return count() == 1;
    }));
    CHECK(received.front() == "piassa/5/" + std::string(1200, 'x'));

    // Guards against load figures of a process that has ended, of a stranger or with a forged hash.
    earlier.send("bole", "old");
    wrongKey.send("bole", "forged");
    unknown.send("bole", "stranger");
    REQUIRE(waitUntil([&] {
        return counters.udpOld == 1 && counters.udpRefused == 2;
    }));
    piassa.send("bole", "next");
    REQUIRE(waitUntil([&] {
        return count() == 2;
    }));
    CHECK(received.back() == "piassa/5/next");
    for (UdpHeartbeat *socket : {&bole, &piassa, &earlier, &wrongKey, &unknown}) {
        socket->stop();
    }
}
