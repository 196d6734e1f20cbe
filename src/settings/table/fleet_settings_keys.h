/**
 * @file fleet_settings_keys.h Table of the settings of a fleet daemon.
 * docs/settings.md has the same rows, and a test compares the two.
 */

// clang-format off
// SETTING_TEXT(pointer, member, default, sentence)
// SETTING_NUMBER(pointer, member, default, lowest, highest, unit, sentence)
// SETTING_FLAG(pointer, member, default, sentence)
// SETTING_LIST(pointer, member, sentence)
SETTING_TEXT("/daemon", daemon, "local-1", "name of this daemon, for logs")
SETTING_TEXT("/availabilityZone", availabilityZone, "local", "availability zone of this host")
SETTING_LIST("/availabilityZones", availabilityZones, "all availability zones of the installation; when empty, any name is taken")
SETTING_TEXT("/address", address, "127.0.0.1", "IP address of this host; daemons know each other by it")
SETTING_TEXT("/dataFolder", dataFolder, "", "folder for durable state; with it the daemon votes, without it it only relays")
SETTING_FLAG("/firstStart", firstStart, false, "the installation starts for the first time, so that an empty data folder has lost nothing")
SETTING_LIST("/contacts", contacts, "addresses and control ports of daemons that may be running; at the first start those with a disk form the installation")
SETTING_TEXT("/listen/callers", listenCallers, "", "IP address and port for callers; empty if this daemon serves none")
SETTING_TEXT("/listen/readiness", listenReadiness, "", "IP address and port of the readiness check; empty for none")
SETTING_TEXT("/listen/control", listenControl, "", "IP address and port for workers and operators; empty if this daemon serves none")
SETTING_TEXT("/listen/metrics", listenMetrics, "", "IP address and port of the metrics; empty for none")
SETTING_NUMBER("/peer/port", peerPort, 8200, 1, 65535, "port", "TCP port for links between daemons, the same on all hosts")
SETTING_TEXT("/peer/key", peerKey, "", "key that all daemons share; an installation without one states a word that is no secret")
SETTING_TEXT("/log/level", logLevel, "info", "lowest level that is written: trace, debug, info, warn, error")
SETTING_NUMBER("/log/linesPerEvent", logLinesPerEvent, 200, 0, 1000000, "lines", "lines of one event a second; further ones are counted and reported; 0 for no bound")
SETTING_NUMBER("/log/queueLines", logQueueLines, 4096, 64, 1000000, "lines", "lines that wait for the log writer before further ones are dropped and counted")
SETTING_NUMBER("/raft/electionTimeoutMinMs", electionTimeoutMinMs, 700, 100, 60000, "ms", "shortest election timeout")
SETTING_NUMBER("/raft/electionTimeoutMaxMs", electionTimeoutMaxMs, 1300, 200, 120000, "ms", "longest election timeout")
SETTING_NUMBER("/raft/heartbeatIntervalMs", raftHeartbeatMs, 150, 20, 10000, "ms", "interval at which the leader sends to followers")
SETTING_NUMBER("/raft/snapshotEvery", snapshotEvery, 16384, 16, 10000000, "entries", "log entries between two snapshots")
SETTING_NUMBER("/tolerated/hosts", toleratedHosts, 1, 0, 8, "hosts", "hosts with a disk that may be lost at once")
SETTING_NUMBER("/task/longestLeaseMs", longestLeaseMs, 10000, 500, 600000, "ms", "longest lease that workers grant")
SETTING_NUMBER("/task/stopTimeoutMs", stopTimeoutMs, 200, 0, 600000, "ms", "longest time that a worker takes to stop a task")
SETTING_NUMBER("/task/restoreMs", restoreMs, 250, 0, 600000, "ms", "time that a task needs to go on from saved progress")
SETTING_NUMBER("/task/farFactor", farFactor, 2, 1, 1000, "times", "how many times as long a task takes away from its data")
SETTING_NUMBER("/task/paceDelayMs", paceDelayMs, 100, 0, 60000, "ms", "time until a changed pace takes effect")
SETTING_NUMBER("/task/harmLimitMs", harmLimitMs, 4000, 100, 600000, "ms", "time for which a lasting task may be over its target through tasks in spare room")
SETTING_NUMBER("/stopGraceMs", stopGraceMs, 6000, 100, 600000, "ms", "time between the signal to stop and the end of the process")
// clang-format on
