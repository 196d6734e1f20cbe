/** @file leader_finder_test.cpp Tests of the search for a leader by a core whose replica names none, without a network. */

#include "fleetd/leader_finder.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <map>
#include <new>
#include <thread>

using namespace Filbertlanding;

namespace {

const DaemonName Leader = "10.0.0.2";
const DaemonName Follower = "10.0.0.3";

/** A core's finder, with the answers that other daemons would give. */
struct FinderScene {
    FinderScene()
    {
        LeaderFinderHooks hooks;
        hooks.query = [this](const DaemonName &daemon, const LeaderInfoHandler &answered) {
            ++this->queries;
            if (this->throws) {
                throw std::bad_alloc();
            }
            const auto answer = this->answers.find(daemon);
            answered(answer == this->answers.end() ? std::nullopt : std::optional(answer->second));
        };
        hooks.peers = [this] {
            return this->peers;
        };
        hooks.namesChanged = [this] {
            this->peers.insert(this->finder.namedDaemons().begin(), this->finder.namedDaemons().end());
        };
        hooks.isNeeded = [this] {
            return this->isNeeded;
        };
        this->finder.leaderFound = [this] {
            ++this->found;
        };
        this->finder.start(std::move(hooks));
    }

    void runFor(std::chrono::milliseconds time)
    {
        this->loop.restart();
        this->loop.run_for(time);
    }

    boost::asio::io_context loop;
    LeaderFinder finder{this->loop, 7'700};
    std::set<DaemonName> peers{Leader, Follower};
    std::map<DaemonName, LeaderInfo> answers;
    bool isNeeded = true;
    bool throws = false; ///< Whether each query fails for want of memory.
    int queries = 0;
    int found = 0;
};

} // namespace

TEST_CASE("A core sends calls only to a daemon that has just confirmed that it leads")
{
    // Guards against redirects in a circle, and to a daemon that has ended.
    FinderScene scene;
    scene.answers[Follower] = {Leader, false, {}};
    scene.runFor(std::chrono::milliseconds(400));
    CHECK(scene.finder.confirmedLeader().empty());

    scene.answers[Leader] = {Leader, true, {Leader, Follower}};
    scene.runFor(std::chrono::milliseconds(400));
    CHECK(scene.finder.confirmedLeader() == Leader);
    CHECK(scene.found == 1);

    SUBCASE("it stops leading")
    {
        scene.answers[Leader].isSelf = false;
        scene.runFor(std::chrono::milliseconds(700));
        CHECK(scene.finder.confirmedLeader().empty());
    }
    SUBCASE("its last confirmation is too old")
    {
        // The event loop stands still, so nobody asks it again.
        std::this_thread::sleep_for(std::chrono::milliseconds(1'600));
        CHECK(scene.finder.confirmedLeader().empty());
    }
    SUBCASE("the replica names a leader again")
    {
        scene.isNeeded = false;
        scene.runFor(std::chrono::milliseconds(700));
        CHECK(scene.finder.confirmedLeader().empty());
        const int queriesBefore = scene.queries;
        scene.runFor(std::chrono::milliseconds(700));
        CHECK(scene.queries == queriesBefore);
    }
}

TEST_CASE("A core finds a leader that only another daemon names")
{
    // Guards against a newcomer whose contacts are all replaced hosts or followers.
    FinderScene scene;
    scene.peers = {Follower};
    scene.answers[Follower] = {Leader, false, {}};
    scene.answers[Leader] = {Leader, true, {Leader, Follower}};
    scene.runFor(std::chrono::milliseconds(700));
    CHECK(scene.finder.confirmedLeader() == Leader);
}

TEST_CASE("The search for a leader goes on after an error in one round")
{
    // Guards against an entry that never finds a leader again.
    FinderScene scene;
    scene.answers[Leader] = {Leader, true, {Leader, Follower}};
    scene.throws = true;
    CHECK_THROWS(scene.runFor(std::chrono::milliseconds(400)));
    scene.throws = false;
    scene.runFor(std::chrono::milliseconds(400));
    CHECK(scene.finder.confirmedLeader() == Leader);
}
