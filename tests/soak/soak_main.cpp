/**
 * @file soak_main.cpp Randomized fault soak: runs the fleet daemons as processes with simulated workers and callers, injects faults from
 * outside, and checks the guarantees of the user documentation. Exits with 1 and keeps the log folder if a guarantee was violated.
 */

#include "core/clock_func.h"
#include "soak/soak_account_checks.h"
#include "soak/soak_accounts.h"
#include "soak/soak_callers.h"
#include "soak/soak_capacity.h"
#include "soak/soak_connections.h"
#include "soak/soak_disk_faults.h"
#include "soak/soak_faults.h"
#include "soak/soak_odd_reports.h"
#include "soak/soak_operators.h"
#include "soak/soak_process_faults.h"
#include "soak/soak_reach.h"
#include "soak/soak_reach_faults.h"
#include "soak/soak_replacements.h"
#include "soak/soak_replica_checks.h"
#include "soak/soak_services.h"
#include "soak/soak_silences.h"
#include "soak/soak_starvation.h"
#include "soak/soak_takeovers.h"
#include "soak/soak_unauthorized.h"

#include <CLI/CLI.hpp>
#include <boost/asio.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <iostream>

using namespace Filbertlanding;

namespace {

constexpr Duration FaultFreeStart{2'500}; ///< Time for the cluster to form and accept its first jobs before faults are injected.
constexpr std::chrono::milliseconds PollInterval{100};

/** Returns a loopback address prefix derived from the process id, so that concurrent runs use different addresses. */
std::string loopbackNetwork()
{
    const auto id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(10 + id % 240) + "." + std::to_string(id / 240 % 250) + ".";
}

/** One soak run, including its result. */
class Soak
{
public:
    explicit Soak(const SoakSettings &soakSettings)
        : settings(soakSettings)
        , networkPrefix(loopbackNetwork())
        , relay(this->io)
        , watch(this->io)
        , checks(SoakLimits{})
        , daemons(this->settings, this->networkPrefix, this->relay)
        , workers(this->io, this->settings, this->networkPrefix + "200", this->relay, this->checks)
        , callers(this->io, this->settings, this->daemons.callerAddresses(), this->daemons.controlAddresses(), this->manifests, this->checks)
        , faults(this->io, this->settings, this->daemons, this->relay, this->workers)
        , capacityChanges(this->io, this->settings, this->workers)
        , oddReports(this->io, this->settings, this->workers, this->checks)
        , processFaults(this->io, this->settings, this->daemons)
        , operators(this->io, this->settings, this->manifests, this->checks)
        , connections(this->io, this->settings.seed, this->daemons, this->manifests, this->watch, this->checks)
        , reach(this->io, this->daemons, this->checks)
        , reachFaults(this->io, this->settings, this->daemons, this->reach)
        , replacements(this->io, this->settings, this->daemons, this->reach, this->checks)
        , diskFaults(this->io, this->settings, this->daemons)
        , replicaChecks(this->io, this->daemons, this->watch, this->checks)
        , services(this->io, this->settings.seed, this->daemons, this->manifests, this->checks)
        , silences(this->io, this->settings, this->daemons, this->workers, this->relay)
        , takeovers(this->io, this->settings, this->daemons, this->workers, this->reach)
        , starvation(this->io, this->daemons, this->workers, this->manifests, this->checks)
        , accounts(this->io, this->settings.seed, this->manifests, this->checks)
        , accountChecks(this->accounts, this->workers, this->checks)
        , unauthorizedCallers(this->io, this->settings.seed, this->daemons.callerAddresses(), this->accountChecks, this->checks)
        , pollTimer(this->io)
        , phaseTimer(this->io)
    {
    }

    bool run()
    {
        this->workers.onStarted = [this](const ServiceName &service, const TaskName &task) {
            this->services.onStarted(service, task);
        };
        if (this->settings.hasAccounts) {
            this->startAccounts();
        }
        this->startedAt = steadyNow();
        this->watch.start();
        this->daemons.startAll();
        this->workers.start(this->daemons.controlAddresses());
        this->callers.start();
        this->poll();
        this->phaseTimer.expires_after(std::chrono::milliseconds(FaultFreeStart.ms));
        this->phaseTimer.async_wait([this](const boost::system::error_code &) {
            this->startFaults();
        });
        this->io.run();
        if (this->settings.hasAccounts) {
            this->accountChecks.searchLogs(this->settings.folder);
        }
        this->printSummary();
        return this->checks.violations.empty();
    }

private:
    void startAccounts()
    {
        this->workers.onAnyStarted = [this](const TaskName &task, bool isDelayed) {
            this->accountChecks.onStarted(task, isDelayed);
        };
        this->starvation.mayBeHeld = [this](const SoakJob &job, Duration calmTime) {
            return this->accountChecks.mayBeHeld(job, calmTime);
        };
        this->callers.accountChecks = &this->accountChecks;
        this->accounts.start();
        this->unauthorizedCallers.start();
    }

    void startFaults()
    {
        if (this->settings.hasMovingQueue) {
            this->services.start();
        }
        if (this->settings.hasReachFaults) {
            this->reach.start();
            this->reachFaults.start();
        } else if (this->settings.hasReplacements) {
            this->reach.start();
            this->replacements.start();
        } else if (this->settings.hasDiskFaults) {
            this->reach.start();
            this->replicaChecks.start();
            this->diskFaults.start();
        } else if (this->settings.hasSilentLinks) {
            this->reach.start();
            this->startSilences();
        } else if (this->settings.hasTakeovers) {
            this->reach.start();
            this->takeovers.start();
        } else if (this->settings.hasFaults) {
            this->faults.start();
            this->processFaults.start();
        }
        if (this->settings.hasFaults) {
            this->capacityChanges.start();
            this->oddReports.start(this->daemons.controlAddresses());
            this->operators.start(this->daemons.controlAddresses());
            this->connections.start();
        }
        this->phaseTimer.expires_after(std::chrono::milliseconds(this->settings.faultTime.ms));
        this->phaseTimer.async_wait([this](const boost::system::error_code &) {
            this->processFaults.stop();
            this->faults.revertAll();
            this->reachFaults.stop();
            this->replacements.stop();
            this->diskFaults.stop();
            this->reach.stop();
            this->silences.stop();
            this->takeovers.stop();
            this->capacityChanges.stop();
            this->oddReports.stop();
            this->operators.stop();
            this->connections.stop();
            this->startCalmPhase();
        });
    }

    void startSilences()
    {
        this->silences.onInjected = [this] {
            this->reach.onLinksDisturbed();
            this->starvation.onDisturbance();
        };
        this->starvation.start();
        this->silences.start();
    }

    void startCalmPhase()
    {
        if (!this->settings.hasSilentLinks) {
            this->starvation.start();
        }
        this->phaseTimer.expires_after(std::chrono::milliseconds(this->settings.calmTime.ms));
        this->phaseTimer.async_wait([this](const boost::system::error_code &) {
            this->services.stop();
            this->accounts.stop();
            this->callers.stopSubmitting();
            this->unauthorizedCallers.stop();
            this->settleDeadline = steadyNow() + this->settings.settleTime;
        });
    }

    /** Restarts exited daemons, and ends the run once all accepted jobs have ended or the time limit is reached. */
    void poll()
    {
        for (const std::string &ended : this->daemons.restartExited()) {
            this->checks.addViolation("a daemon has exited unexpectedly: " + ended);
        }
        const bool isOver = this->settleDeadline && steadyNow() >= *this->settleDeadline;
        if (this->settleDeadline && (isOver || (this->callers.haveAllJobsEnded() && this->callers.hasReadManifest()))) {
            this->checks.checkAllJobsEnded();
            if (!this->callers.hasReadManifest()) {
                this->checks.addViolation("the manifest could not be read after the faults were reverted");
            }
            this->replicaChecks.stop();
            this->io.stop();
            return;
        }
        this->pollTimer.expires_after(PollInterval);
        this->pollTimer.async_wait([this](const boost::system::error_code &) {
            this->poll();
        });
    }

    void printSummary()
    {
        std::vector<std::int64_t> times = this->callers.acceptTimes;
        std::sort(times.begin(), times.end());
        int faultCount = 0;
        for (const auto &[fault, count] : this->faults.injected) {
            faultCount += count;
        }
        int processFaultCount = 0;
        for (const auto &[fault, count] : this->processFaults.injected) {
            processFaultCount += count;
        }
        std::cout << "seed " << this->settings.seed << ": " << faultCount << " and " << processFaultCount << " process faults, " << this->checks.jobs.size()
                  << " jobs, " << this->callers.accepted << " accepted, " << this->callers.refused << " refused, " << this->callers.unanswered
                  << " without an answer, " << this->checks.starts << " starts, " << this->checks.crashes << " workers crashed by tasks, "
                  << this->checks.jobsGivenUp << " jobs given up, " << this->capacityChanges.shrunk << " capacities shrunk, " << this->oddReports.refused
                  << " of " << this->oddReports.sent << " odd reports refused, " << this->checks.doneEnds << " done, " << this->operators.acknowledged << " of "
                  << this->operators.sent << " changes acknowledged and " << this->operators.refused << " refused, " << this->operators.read
                  << " manifests read, " << this->connections.answered << " answers on open connections and " << this->connections.excused
                  << " requests lost by faults, accepted within " << (times.empty() ? 0 : times[times.size() / 2]) << " ms (half), "
                  << (times.empty() ? 0 : times[times.size() * 99 / 100]) << " ms (99 of 100), " << this->checks.violations.size() << " violations"
                  << std::endl;
        std::cout << "seed " << this->settings.seed << ": longest wait with room in calm phases " << this->starvation.longestWait.ms << " ms, "
                  << this->services.moves << " changes of a service with " << this->services.checkedStarts << " starts checked; "
                  << this->watch.describeSince(this->startedAt) << std::endl;
        if (this->settings.hasAccounts) {
            this->printAccounts();
        }
        if (this->settings.hasReachFaults || this->settings.hasReplacements || this->settings.hasSilentLinks || this->settings.hasDiskFaults) {
            this->printReach();
        }
        if (this->settings.hasTakeovers) {
            std::cout << "seed " << this->settings.seed << ": " << this->takeovers.rounds << " takeovers" << std::endl;
        }
        if (this->settings.hasDiskFaults) {
            this->printRecoveries();
        }
    }

    void printAccounts() const
    {
        const SoakAccountChecks &counts = this->accountChecks;
        std::cout << "seed " << this->settings.seed << ": " << this->accounts.changes << " changes of accounts, " << counts.calls << " calls, "
                  << counts.refusedCalls << " refused for their key, " << counts.foreignRefused << " for the account of the job, " << counts.refusedForLimit
                  << " for a limit, " << counts.refusedForLoad << " with status 429, " << counts.acceptedRemoved
                  << " accepted with a key that was just removed, " << counts.checkedStarts << " limits checked at starts" << std::endl;
    }

    void printRecoveries() const
    {
        int faultCount = 0;
        for (const auto &[fault, count] : this->diskFaults.injected) {
            faultCount += count;
        }
        std::cout << "seed " << this->settings.seed << ": " << faultCount << " disk faults, " << this->replicaChecks.recoveries << " recoveries, the longest "
                  << this->replicaChecks.longestRecovery.ms << " ms, longest time without a read with at most one core impaired "
                  << this->replicaChecks.longestUnread.ms << " ms" << std::endl;
    }

    void printReach() const
    {
        int faultCount = 0;
        for (const auto &[fault, count] : this->reachFaults.injected) {
            faultCount += count;
        }
        int lossCount = 0;
        for (const auto &[loss, count] : this->replacements.injected) {
            lossCount += count;
        }
        const SoakStopCosts &costs = this->reach.costs;
        std::cout << "seed " << this->settings.seed << ": " << faultCount << " reach faults, " << lossCount << " losses of cores, " << this->silences.injected
                  << " silences, " << this->reach.reads << " reads, longest time without one " << this->reach.longestUnread.ms << " ms, " << costs.stops
                  << " planned stops of the leader with " << costs.unavailable << " answers 503 to callers, " << costs.unavailableAtCores << " to others, "
                  << costs.timedOut << " answers 504, " << costs.cut << " calls cut, " << costs.cutEarly << " more at once" << std::endl;
    }

    SoakSettings settings;
    std::string networkPrefix;
    boost::asio::io_context io;
    SoakRelay relay;
    SoakLoopWatch watch;
    SoakChecks checks;
    SoakManifests manifests;
    SoakDaemons daemons;
    SoakWorkers workers;
    SoakCallers callers;
    SoakFaults faults;
    SoakCapacityChanges capacityChanges;
    SoakOddReports oddReports;
    SoakProcessFaults processFaults;
    SoakOperators operators;
    SoakConnections connections;
    SoakReach reach;
    SoakReachFaults reachFaults;
    SoakReplacements replacements;
    SoakDiskFaults diskFaults;
    SoakReplicaChecks replicaChecks;
    SoakServices services;
    SoakSilences silences;
    SoakTakeovers takeovers;
    SoakStarvation starvation;
    SoakAccounts accounts;
    SoakAccountChecks accountChecks;
    SoakUnauthorizedCallers unauthorizedCallers;
    boost::asio::steady_timer pollTimer;
    boost::asio::steady_timer phaseTimer;
    std::optional<TimePoint> settleDeadline;
    TimePoint startedAt;
};

} // namespace

int main(int argc, char **argv)
{
    SoakSettings settings;
    settings.program = FILBERTLANDING_PLATFORM;
    settings.diskFaultShim = FILBERTLANDING_DISK_FAULT_SHIM;
    std::int64_t seconds = settings.faultTime.ms / 1000;
    std::int64_t calmSeconds = 0;
    int runs = 1;
    bool isFaultFree = false;
    std::string folder;
    CLI::App app{"Randomized fault soak of the fleet daemons"};
    app.add_option("--seed", settings.seed, "random seed of the first run");
    app.add_option("--runs", runs, "number of runs, with consecutive seeds");
    app.add_option("--program", settings.program, "fleet daemon to run; the one of this build by default");
    app.add_option("--seconds", seconds, "duration of the fault injection in seconds");
    app.add_option("--cores", settings.cores, "number of daemons with a data folder");
    app.add_option("--entries", settings.entries, "number of daemons that relay requests");
    app.add_option("--workers", settings.workers, "number of workers");
    app.add_option("--rate", settings.jobsPerSecond, "submitted jobs per second");
    app.add_option("--folder", folder, "folder for settings, data and logs; a temporary folder by default");
    app.add_flag("--calm", isFaultFree, "run without faults");
    app.add_flag("--worker-crashes", settings.hasOnlyWorkerCrashes, "crash workers at short intervals, and inject no other faults");
    app.add_flag(
        "--reach-faults", settings.hasReachFaults, "leave daemons running but out of reach, stop the leader as planned, and inject no other faults in them");
    app.add_flag(
        "--replace-cores", settings.hasReplacements, "replace cores by new machines among other losses, one at a time, and inject no other faults in daemons");
    app.add_flag("--disk-faults", settings.hasDiskFaults, "impair the disks and limits of cores among restarts, and inject no other faults in daemons");
    app.add_option("--calm-seconds", calmSeconds, "duration of the calm phase after the faults in seconds");
    app.add_flag("--moving-queue", settings.hasMovingQueue, "add a queue whose route changes its service, and workers of both services");
    app.add_flag("--accounts", settings.hasAccounts, "configure client accounts, change them during the run, and call with wrong keys too");
    app.add_flag("--silent-links", settings.hasSilentLinks, "let open connections go silent in series, and inject no other faults in daemons");
    app.add_flag(
        "--takeovers", settings.hasTakeovers, "kill the leader while workers that have just restarted are cut off, and inject no other faults in daemons");
    app.add_flag("--verbose", settings.isVerbose, "print each injected fault");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    settings.faultTime = {seconds * 1000};
    settings.calmTime = {calmSeconds * 1000};
    settings.hasFaults = !isFaultFree;
    const std::filesystem::path base = folder.empty() ? std::filesystem::temp_directory_path() : std::filesystem::path(folder);
    bool hasPassed = true;
    for (int run = 0; run < runs; ++run) {
        settings.folder = base / ("soak-" + std::to_string(::getpid()) + "-" + std::to_string(settings.seed));
        std::filesystem::create_directories(settings.folder);
        const bool isPassed = Soak(settings).run();
        hasPassed = hasPassed && isPassed;
        if (isPassed && folder.empty()) {
            std::filesystem::remove_all(settings.folder);
        } else {
            std::cout << "logs in " << settings.folder.string() << std::endl;
        }
        ++settings.seed;
    }
    return hasPassed ? 0 : 1;
}
