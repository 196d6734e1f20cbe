/** @file fleet_outage_test.cpp Tests of workers that fail through no task's doing: no job may be given up for it, and none may take longer. */

#include "crash_day.h"

using namespace Filbertlanding;

namespace {

constexpr int Workers = 24; ///< As in crashSettings().

/** Returns the names of the present workers at some addresses. */
std::vector<WorkerName> workersAt(const FleetSimulation &simulation, const std::vector<int> &indices)
{
    std::vector<WorkerName> names;
    for (const int index : indices) {
        if (const auto name = simulation.workerAt(index)) {
            names.push_back(*name);
        }
    }
    return names;
}

/** Returns the addresses of a zone. */
std::vector<int> addressesOfZone(int zone)
{
    std::vector<int> indices;
    for (int index = zone; index < Workers; index += 3) {
        indices.push_back(index);
    }
    return indices;
}

/** Returns random addresses, each at most once. */
std::vector<int> randomAddresses(Random &random, std::size_t count)
{
    std::vector<int> indices;
    while (indices.size() < count) {
        const int index = static_cast<int>(random.below(Workers));
        if (std::find(indices.begin(), indices.end(), index) == indices.end()) {
            indices.push_back(index);
        }
    }
    return indices;
}

/** Cuts workers off for a time. */
void cutOff(CrashDay &day, const std::vector<WorkerName> &names, Duration length)
{
    for (const WorkerName &name : names) {
        day.simulation.setPartitioned(name, true);
    }
    day.run(length);
    for (const WorkerName &name : names) {
        day.simulation.setPartitioned(name, false);
    }
}

/** Cuts the power of workers: they fall silent, and their processes begin again. */
void losePower(CrashDay &day, const std::vector<WorkerName> &names)
{
    for (const WorkerName &name : names) {
        day.simulation.setPartitioned(name, true);
        day.simulation.crash(name, true);
    }
    day.run({3'000});
    for (const WorkerName &name : names) {
        day.simulation.setPartitioned(name, false);
    }
}

/** Plays days on which no task may count a crash. */
void playDaysWithoutCrash(const std::function<void(CrashDay &)> &scenario,
                          const std::function<FleetSimulationSettings(std::uint64_t seed)> &settingsOf = crashSettings)
{
    playDays(
        [&scenario](CrashDay &day) {
            scenario(day);
            CHECK(day.simulation.recordedCrashes.empty());
        },
        settingsOf);
}

} // namespace

TEST_CASE("No job is given up because workers crash at random")
{
    SUBCASE("15 % of the workers at once, three times")
    {
        playDays([](CrashDay &day) {
            for (int round = 0; round < 3; ++round) {
                for (const WorkerName &name : workersAt(day.simulation, randomAddresses(day.simulation.random, 4))) {
                    day.simulation.crash(name, true);
                }
                day.run({6'000});
            }
        });
    }

    SUBCASE("15 % of the workers at once, three times at short intervals")
    {
        playDays([](CrashDay &day) {
            for (int round = 0; round < 3; ++round) {
                for (const WorkerName &name : workersAt(day.simulation, randomAddresses(day.simulation.random, 4))) {
                    day.simulation.crash(name, true);
                }
                day.run({1'500});
            }
        });
    }

    SUBCASE("one worker again and again")
    {
        playDays([](CrashDay &day) {
            for (int round = 0; round < 8; ++round) {
                if (const auto name = day.simulation.workerAt(5)) {
                    day.simulation.crash(*name, true);
                }
                day.run({3'000 + static_cast<std::int64_t>(day.simulation.random.below(2'500))});
            }
        });
    }

    SUBCASE("a random worker every second")
    {
        playDays([](CrashDay &day) {
            for (int round = 0; round < 20; ++round) {
                if (const auto name = day.simulation.workerAt(static_cast<int>(day.simulation.random.below(Workers)))) {
                    day.simulation.crash(*name, true);
                }
                day.run({1'000});
            }
        });
    }
}

TEST_CASE("A worker that does not crash counts against no task")
{
    SUBCASE("some workers are cut off for less than a lease")
    {
        playDaysWithoutCrash([](CrashDay &day) {
            for (int round = 0; round < 3; ++round) {
                cutOff(day, workersAt(day.simulation, randomAddresses(day.simulation.random, 4)), {2'000});
                day.run({1'000});
            }
        });
    }

    SUBCASE("their leases lapse while they are cut off")
    {
        playDaysWithoutCrash([](CrashDay &day) {
            for (int round = 0; round < 3; ++round) {
                cutOff(day, workersAt(day.simulation, randomAddresses(day.simulation.random, 4)), {8'000});
                day.run({1'000});
            }
        });
    }

    SUBCASE("they are paused")
    {
        playDaysWithoutCrash([](CrashDay &day) {
            for (int round = 0; round < 3; ++round) {
                const auto names = workersAt(day.simulation, randomAddresses(day.simulation.random, 4));
                for (const WorkerName &name : names) {
                    day.simulation.workers.at(name)->isHanging = true;
                }
                cutOff(day, names, {6'000});
                for (const WorkerName &name : names) {
                    day.simulation.workers.at(name)->isHanging = false;
                }
                day.run({1'000});
            }
        });
    }

    SUBCASE("they drain, exit and are replaced")
    {
        playDaysWithoutCrash([](CrashDay &day) {
            for (int round = 0; round < 3; ++round) {
                const auto names = workersAt(day.simulation, randomAddresses(day.simulation.random, 3));
                for (const WorkerName &name : names) {
                    day.simulation.drain(name, {2'000});
                }
                day.run({2'000});
                for (const WorkerName &name : names) {
                    day.simulation.crash(name, true);
                }
                day.run({4'500});
            }
        });
    }

    SUBCASE("they are reclaimed and announce their shutdown")
    {
        playDaysWithoutCrash([](CrashDay &day) {
            for (int round = 0; round < 3; ++round) {
                for (const WorkerName &name : workersAt(day.simulation, randomAddresses(day.simulation.random, 3))) {
                    day.simulation.sayGoodbye(name);
                    day.simulation.crash(name, true);
                }
                day.run({5'000});
            }
        });
    }

    SUBCASE("they exit and do not come back")
    {
        playDaysWithoutCrash([](CrashDay &day) {
            for (const WorkerName &name : workersAt(day.simulation, randomAddresses(day.simulation.random, 4))) {
                day.simulation.crash(name, false);
                day.run({1'000});
            }
        });
    }

    SUBCASE("a whole zone loses power, three times")
    {
        playDaysWithoutCrash([](CrashDay &day) {
            for (int round = 0; round < 3; ++round) {
                losePower(day, workersAt(day.simulation, addressesOfZone(1)));
                day.run({4'000});
            }
        });
    }

    SUBCASE("a zone of four workers loses power")
    {
        const auto scenario = [](CrashDay &day) {
            for (int round = 0; round < 3; ++round) {
                losePower(day, workersAt(day.simulation, addressesOfZone(round)));
                day.run({5'000});
            }
        };
        playDaysWithoutCrash(scenario, [](std::uint64_t seed) {
            FleetSimulationSettings settings = crashSettings(seed);
            settings.workers = 12;
            return settings;
        });
    }

    SUBCASE("a whole zone loses power, and its workers come back one after the other")
    {
        const auto scenario = [](CrashDay &day) {
            for (int round = 0; round < 2; ++round) {
                losePower(day, workersAt(day.simulation, addressesOfZone(1)));
                day.run({8'000});
            }
        };
        playDaysWithoutCrash(scenario, [](std::uint64_t seed) {
            FleetSimulationSettings settings = crashSettings(seed);
            settings.restartJitter = {6'000};
            return settings;
        });
    }

    SUBCASE("a whole zone loses power and the leader changes")
    {
        playDaysWithoutCrash([](CrashDay &day) {
            for (int round = 0; round < 3; ++round) {
                losePower(day, workersAt(day.simulation, addressesOfZone(round)));
                day.simulation.changeLeader({700});
                day.run({5'000});
            }
        });
    }
}

TEST_CASE("A task whose start order never arrived counts no crash")
{
    playDays([](CrashDay &day) {
        // Orders go out to workers that are down until the leader notices.
        for (int round = 0; round < 6; ++round) {
            if (const auto name = day.simulation.workerAt(round)) {
                day.simulation.crash(*name, true);
            }
            day.simulation.submit("many" + std::to_string(round), oneStepJob(200, SmallTask, {500}));
            day.run({4'500});
        }
    });
}

namespace {

/** Total times of the short jobs over all seeds. */
struct JobTimes {
    Duration withSuspicion;
    Duration withoutSuspicion;
};

/** How much of a scenario is played. */
struct PlayedDays {
    std::uint64_t runs = 10; ///< Number of seeds.
    Duration jobInterval{240}; ///< Time between two sound jobs.
};

/** Plays the same days with and without suspicion. A scenario draws from a generator of its own, so that both have the same faults. */
JobTimes compareJobTimes(const std::function<void(CrashDay &, Random &)> &scenario, const PlayedDays &played = {})
{
    JobTimes times;
    for (std::uint64_t seed = 1; seed <= testRuns(played.runs); ++seed) {
        for (const bool ignoresCrashes : {false, true}) {
            FleetSimulationSettings settings = crashSettings(seed);
            settings.ignoresCrashes = ignoresCrashes;
            CrashDay day(settings, played.jobInterval);
            Random random{seed};
            scenario(day, random);
            day.finish();
            Duration &total = ignoresCrashes ? times.withoutSuspicion : times.withSuspicion;
            total = total + day.totalJobTime();
        }
    }
    return times;
}

/** Checks that jobs take no longer with suspicion, but for the chance by which the same faults hit other runs. */
void checkJobTimes(const JobTimes &times)
{
    constexpr std::int64_t TolerancePercent = 1;
    MESSAGE("total time of jobs: " << times.withSuspicion.ms << " ms with suspicion, " << times.withoutSuspicion.ms << " ms without");
    CHECK(times.withSuspicion.ms * 100 <= times.withoutSuspicion.ms * (100 + TolerancePercent));
}

} // namespace

TEST_CASE("Suspicion does not delay jobs when workers fail through no task's doing")
{
    // Guards against reservations and suspects on separate workers that cost sound jobs more than they are worth.
    SUBCASE("15 % of the workers crash at once, three times")
    {
        const auto scenario = [](CrashDay &day, Random &random) {
            for (int round = 0; round < 3; ++round) {
                for (const WorkerName &name : workersAt(day.simulation, randomAddresses(random, 4))) {
                    day.simulation.crash(name, true);
                }
                day.run({6'000});
            }
        };
        // With 10 seeds, chance alone makes a difference of more than the tolerance.
        checkJobTimes(compareJobTimes(scenario, {.runs = 40}));
    }

    SUBCASE("30 % of the workers of a busy fleet crash at once, five times")
    {
        const auto scenario = [](CrashDay &day, Random &random) {
            for (int round = 0; round < 5; ++round) {
                for (const WorkerName &name : workersAt(day.simulation, randomAddresses(random, 7))) {
                    day.simulation.crash(name, true);
                }
                day.run({5'000});
            }
        };
        checkJobTimes(compareJobTimes(scenario, {.jobInterval = Duration{80}}));
    }

    SUBCASE("one worker crashes again and again")
    {
        checkJobTimes(compareJobTimes([](CrashDay &day, Random &random) {
            for (int round = 0; round < 8; ++round) {
                if (const auto name = day.simulation.workerAt(5)) {
                    day.simulation.crash(*name, true);
                }
                day.run({3'000 + static_cast<std::int64_t>(random.below(2'500))});
            }
        }));
    }

    SUBCASE("a zone loses power, three times")
    {
        checkJobTimes(compareJobTimes([](CrashDay &day, Random &) {
            for (int round = 0; round < 3; ++round) {
                losePower(day, workersAt(day.simulation, addressesOfZone(1)));
                day.run({4'000});
            }
        }));
    }

    SUBCASE("some workers are cut off")
    {
        checkJobTimes(compareJobTimes([](CrashDay &day, Random &random) {
            for (int round = 0; round < 3; ++round) {
                cutOff(day, workersAt(day.simulation, randomAddresses(random, 4)), {6'000});
                day.run({1'000});
            }
        }));
    }
}
