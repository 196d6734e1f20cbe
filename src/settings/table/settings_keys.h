/**
 * @file settings_keys.h Table of the daemon's settings.
 * docs/settings.md has the same rows, and a test compares the two.
 */

// clang-format off
// SETTING_TEXT(pointer, member, default, sentence)
// SETTING_NUMBER(pointer, member, default, lowest, highest, unit, sentence)
SETTING_TEXT("/daemon", daemon, "local-1", "name of this daemon, unique in the installation")
SETTING_TEXT("/availabilityZone", availabilityZone, "local", "availability zone of this host")
SETTING_TEXT("/dataFolder", dataFolder, "", "folder for durable state; with it the daemon is a voter, without it a learner")
SETTING_TEXT("/operatorKeyFile", operatorKeyFile, "", "file with the key of operators; when empty, a key is created in dataFolder/operator.key")
SETTING_TEXT("/http/address", httpAddress, "127.0.0.1", "IP address on which callers, workers and operators are served")
SETTING_NUMBER("/http/port", httpPort, 8100, 1, 65535, "port", "TCP port for callers, workers and operators")
SETTING_NUMBER("/http/requestThreads", requestThreads, 2, 1, 64, "threads", "threads that serve requests")
SETTING_NUMBER("/http/maxBodyBytes", maxBodyBytes, 4194304, 1024, 16777216, "B", "largest accepted body")
SETTING_NUMBER("/http/maxConnections", maxConnections, 4096, 16, 65536, "connections", "connections that are open at once")
SETTING_TEXT("/peer/address", peerAddress, "127.0.0.1", "IP address for links with other daemons")
SETTING_NUMBER("/peer/tcpPort", peerTcpPort, 8200, 1, 65535, "port", "TCP port for links with other daemons")
SETTING_NUMBER("/peer/udpPort", peerUdpPort, 8200, 1, 65535, "port", "UDP port for heartbeats of other daemons")
SETTING_TEXT("/peer/keyFile", peerKeyFile, "", "file with the key that all daemons share; required when peers are listed")
SETTING_TEXT("/log/level", logLevel, "info", "lowest level that is written: trace, debug, info, warn, error")
SETTING_TEXT("/log/file", logFile, "", "file of the log; when empty, standard error")
SETTING_NUMBER("/log/queueLines", logQueueLines, 8192, 64, 1000000, "lines", "lines that wait for the log writer before further ones are dropped and counted")
SETTING_NUMBER("/worker/reportIntervalMs", reportIntervalMs, 1000, 100, 60000, "ms", "interval at which workers report")
SETTING_NUMBER("/worker/ownerLeaseMs", ownerLeaseMs, 5000, 500, 60000, "ms", "length of the slot ownership lease")
SETTING_NUMBER("/worker/taskLeaseMs", taskLeaseMs, 6000, 500, 60000, "ms", "length of the task lease")
SETTING_NUMBER("/worker/connections", workerConnections, 60, 1, 1024, "connections", "connections to one worker")
SETTING_NUMBER("/lease/freshnessMs", freshnessLeaseMs, 3000, 500, 30000, "ms", "time for which a daemon may start batch tasks after it last heard from the leader")
SETTING_NUMBER("/lease/runningMs", runningLeaseMs, 30000, 2000, 600000, "ms", "time for which a daemon may keep tasks running after it last heard from the leader")
SETTING_NUMBER("/lease/probeIntervalMs", probeIntervalMs, 500, 50, 10000, "ms", "interval of probes to the leader and of heartbeats")
SETTING_NUMBER("/raft/electionTimeoutMinMs", electionTimeoutMinMs, 1000, 100, 60000, "ms", "shortest election timeout")
SETTING_NUMBER("/raft/electionTimeoutMaxMs", electionTimeoutMaxMs, 2000, 200, 120000, "ms", "longest election timeout")
SETTING_NUMBER("/raft/heartbeatIntervalMs", raftHeartbeatMs, 200, 20, 10000, "ms", "interval at which the leader sends to followers")
SETTING_NUMBER("/raft/snapshotEvery", snapshotEvery, 512, 16, 1000000, "entries", "log entries between two snapshots")
SETTING_NUMBER("/stopGraceMs", stopGraceMs, 5000, 0, 600000, "ms", "time between readiness turning false and the listener closing at a planned stop")
// clang-format on
