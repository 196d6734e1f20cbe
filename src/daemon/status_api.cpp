/** @file status_api.cpp Status and metrics of the daemon. */

#include "core/clock_func.h"
#include "daemon/api_func.h"
#include "daemon/apply_state.h"
#include "daemon/http_service.h"
#include "replication/raft_func.h"

#include <boost/json.hpp>

#include <sys/resource.h>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    json::array votersAsJson(const ReplicationStatus &status)
    {
        json::array voters;
        for (const VoterId &voter : status.membership.voters) {
            voters.push_back({{"daemon", voter.daemon}, {"incarnation", voter.incarnation}});
        }
        return voters;
    }

    json::array servicesAsJson(const Daemon &daemon, TimePoint now)
    {
        json::array services;
        std::map<ServiceName, PeerServiceLoad> loads;
        for (const PeerServiceLoad &load : summarizeLoad(daemon.controlState.routes, now)) {
            loads[load.service] = load;
        }
        for (const auto &[name, config] : daemon.controlState.configuration.services) {
            const auto runtime = daemon.controlState.services.find(name);
            const bool known = runtime != daemon.controlState.services.end();
            services.push_back({{"service", name},
                                {"state", ServiceStateNames.nameOf(config.state)},
                                {"slots", loads[name].slots},
                                {"inUse", loads[name].inUse},
                                {"quantileMs", loads[name].quantileMs},
                                {"waiting", known ? runtime->second->admission.waitingCount() : 0},
                                {"inFlight", known ? runtime->second->inFlight.load() : 0}});
        }
        return services;
    }

    /** What each daemon has in force, as its heartbeats say. */
    json::array daemonsAsJson(const Daemon &daemon, TimePoint now)
    {
        const ControlState &state = daemon.controlState;
        json::array daemons;
        daemons.push_back({{"daemon", daemon.settings.daemon},
                           {"availabilityZone", daemon.settings.availabilityZone},
                           {"alive", true},
                           {"stopping", daemon.state == DaemonState::Draining || daemon.state == DaemonState::Finishing},
                           {"version", state.catalog.intent.version},
                           {"workers", state.registry.workers.size()},
                           {"silentMs", 0}});
        for (const auto &[name, peer] : state.peers) {
            const bool heard = peer.heartbeat.has_value();
            daemons.push_back({{"daemon", name},
                               {"availabilityZone", peer.settings.availabilityZone},
                               {"alive", heard && now - peer.heardAt < Duration{2000}},
                               {"stopping", heard && peer.heartbeat->stopping},
                               {"version", heard ? peer.heartbeat->version : 0},
                               {"workers", heard ? peer.heartbeat->workers : 0},
                               {"silentMs", heard ? (now - peer.heardAt).ms : -1}});
        }
        return daemons;
    }

    json::array zonesAsJson(const Daemon &daemon, TimePoint now)
    {
        const ControlState &state = daemon.controlState;
        std::set<ZoneName> names{daemon.settings.availabilityZone};
        for (const auto &[name, peer] : state.peers) {
            names.insert(peer.settings.availabilityZone);
        }
        json::array zones;
        for (const ZoneName &zone : names) {
            std::uint64_t running = 0;
            for (const auto &[id, record] : state.catalog.jobs.jobs) {
                running +=
                    static_cast<std::uint64_t>(std::count_if(record.assignments.begin(), record.assignments.end(), [&zone](const JobAssignment &assignment) {
                        return assignment.zone == zone;
                    }));
            }
            const auto since = state.drainedSince.find(zone);
            const bool drained = since != state.drainedSince.end();
            zones.push_back({{"availabilityZone", zone},
                             {"state", drained ? "drained" : "in-service"},
                             {"drainedForMs", drained ? (now - since->second).ms : 0},
                             {"runningAssignments", running}});
        }
        return zones;
    }

    json::object jobsAsJson(const Daemon &daemon)
    {
        std::map<JobState, std::uint64_t> counts;
        for (const auto &[id, record] : daemon.controlState.catalog.jobs.jobs) {
            counts[record.state] += 1;
        }
        json::object jobs;
        for (const auto &row : JobStateNames.rows) {
            jobs[row.name] = counts[row.value];
        }
        return jobs;
    }

    /** Labels of a metric; names in the configuration have no character that would need an escape. */
    std::string labels(std::initializer_list<std::pair<std::string_view, std::string_view>> pairs)
    {
        std::string text;
        for (const auto &[name, value] : pairs) {
            text += text.empty() ? "" : ",";
            text += name;
            text += "=\"";
            text += value;
            text += '"';
        }
        return text;
    }

    /** One line of the metrics. */
    void addMetric(std::string &text, std::string_view name, std::string_view labels, std::uint64_t value)
    {
        text += "filbertlanding_";
        text += name;
        if (!labels.empty()) {
            text += "{" + std::string(labels) + "}";
        }
        text += " " + std::to_string(value) + "\n";
    }

    void addProcessMetrics(std::string &text)
    {
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        const auto microseconds = [](const timeval &time) {
            return static_cast<std::uint64_t>(time.tv_sec) * 1'000'000 + static_cast<std::uint64_t>(time.tv_usec);
        };
        addMetric(text, "processor_microseconds_total", {}, microseconds(usage.ru_utime) + microseconds(usage.ru_stime));
        addMetric(text, "resident_peak_kilobytes", {}, static_cast<std::uint64_t>(usage.ru_maxrss));
    }

    void addTimingMetrics(std::string &text, const TimingMetrics &timings)
    {
        for (const auto &row : TimedStepNames.rows) {
            const TimingSummary summary = timings.summary(row.value);
            const std::string step = labels({{"step", row.name}});
            addMetric(text, "step_total", step, summary.count);
            addMetric(text, "step_mean_microseconds", step, summary.meanUs);
            addMetric(text, "step_p99_microseconds", step, summary.p99Us);
            addMetric(text, "step_max_microseconds", step, summary.maxUs);
        }
    }

    void addNetworkMetrics(std::string &text, const NetworkCounters &network)
    {
        addMetric(text, "http_requests_total", {}, network.httpRequests);
        addMetric(text, "http_connections", {}, network.httpConnectionsOpen);
        addMetric(text, "http_malformed_total", {}, network.httpMalformed);
        addMetric(text, "worker_exchanges_total", {}, network.clientExchanges);
        addMetric(text, "worker_outcome_unknown_total", {}, network.clientOutcomeUnknown);
        addMetric(text, "worker_silent_total", {}, network.clientSilent);
        addMetric(text, "control_bytes_total", {}, network.controlBytes());
        addMetric(text, "peer_links_refused_total", {}, network.peerLinksRefused);
        addMetric(text, "peer_links_silent_total", {}, network.peerLinksSilent);
        addMetric(text, "peer_send_dropped_total", {}, network.peerSendDropped);
    }

    void addOutcomeMetrics(std::string &text, const OutcomeCounters &outcomes)
    {
        for (const auto &[service, counts] : outcomes.snapshot()) {
            for (const auto &[key, count] : counts.received) {
                addMetric(text, "requests_received_total", labels({{"service", service}, {"team", key.team}}), count);
            }
            for (const auto &[key, count] : counts.outcomes) {
                addMetric(text, "requests_ended_total", labels({{"service", service}, {"team", key.team}, {"result", resultCodeRow(key.code).name}}), count);
            }
            for (const auto &[zone, histogram] : counts.latency) {
                addMetric(text, "latency_p99_microseconds", labels({{"service", service}, {"zone", zone}}), latencyPercentile(histogram, 99));
            }
        }
    }

} // namespace

void serveStatus(Daemon &daemon, const HttpRespond &respond)
{
    const TimePoint now = steadyNow();
    const ControlState &state = daemon.controlState;
    const json::object body{
        {"daemon", daemon.settings.daemon},
        {"availabilityZone", daemon.settings.availabilityZone},
        {"incarnation", daemon.incarnation},
        {"state", DaemonStateNames.nameOf(daemon.state)},
        {"version", state.catalog.intent.version},
        {"appliedIndex", state.appliedIndex},
        {"commitIndex", state.replication.commitIndex},
        {"role", roleName(state.replication.role)},
        {"term", state.replication.term},
        {"leader", state.replication.leader},
        {"fresh", isFresh(state.lease, state.appliedIndex, now)},
        {"voters", votersAsJson(state.replication)},
        {"daemons", daemonsAsJson(daemon, now)},
        {"availabilityZones", zonesAsJson(daemon, now)},
        {"services", servicesAsJson(daemon, now)},
        {"jobs", jobsAsJson(daemon)},
        {"workers", state.registry.workers.size()},
        {"runningTasks", state.shard.tasks.size()},
        {"controlBytes", daemon.network.controlBytes()},
    };
    respond(jsonResponse(200, json::serialize(body)));
}

void serveMetrics(Daemon &daemon, const HttpRespond &respond)
{
    std::string text;
    addProcessMetrics(text);
    addTimingMetrics(text, daemon.timings);
    addNetworkMetrics(text, daemon.network);
    addOutcomeMetrics(text, *daemon.outcomes);
    addMetric(text, "workers", {}, daemon.controlState.registry.workers.size());
    addMetric(text, "tasks", {}, daemon.controlState.shard.tasks.size());
    addMetric(text, "configuration_version", {}, daemon.controlState.catalog.intent.version);
    HttpResponse response;
    response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    response.body = std::move(text);
    respond(std::move(response));
}

} // namespace Filbertlanding
