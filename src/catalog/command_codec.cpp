/** @file command_codec.cpp Encoding of commands for the log. */

#include "catalog/catalog_archive.h"
#include "catalog/catalog_func.h"

namespace Filbertlanding {

namespace {

    constexpr char CommandVersion = 1; ///< First byte of an encoded command.

} // namespace

template<class Archive>
void serialize(Archive &archive, ChangeFiles &command)
{
    archive(command.kind, command.files, command.baseVersion);
    archive(command.operation, command.operatorName, command.wallTime);
}

template<class Archive>
void serialize(Archive &archive, SubmitJob &command)
{
    archive(command.operation, command.job, command.spec);
}

template<class Archive>
void serialize(Archive &archive, AssignJob &command)
{
    archive(command.job, command.epoch, command.daemon, command.zone, command.tasks, command.resumeFrom);
}

template<class Archive>
void serialize(Archive &archive, CheckpointJob &command)
{
    archive(command.job, command.epoch, command.checkpoint);
}

template<class Archive>
void serialize(Archive &archive, EvictJob &command)
{
    archive(command.job, command.epoch, command.checkpoint, command.cause);
}

template<class Archive>
void serialize(Archive &archive, FinishTasks &command)
{
    archive(command.job, command.epoch, command.tasks, command.result);
}

template<class Archive>
void serialize(Archive &archive, FailJob &command)
{
    archive(command.job, command.epoch, command.code, command.reason);
}

template<class Archive>
void serialize(Archive &archive, CancelJob &command)
{
    archive(command.job);
}

template<class Archive>
void serialize(Archive &archive, DaemonLifeCycleEvent &command)
{
    archive(command.daemon, command.incarnation, command.started);
}

template<class Archive>
void serialize(Archive &archive, FinalCounters &command)
{
    archive(command.service, command.daemon, command.incarnation, command.revision, command.counters);
}

template<class Archive>
void serialize(Archive &archive, AcceptGap &command)
{
    archive(command.service, command.daemon, command.incarnation, command.operation, command.operatorName, command.wallTime);
}

std::string encodeCommand(const LogCommand &command)
{
    return encodeVersioned(CommandVersion, command);
}

Decoded<LogCommand> decodeCommand(std::string_view bytes)
{
    if (bytes.size() > MaxCommandBytes) {
        return {ResultCode::TooLarge, {}};
    }
    Decoded<LogCommand> decoded;
    decoded.code = decodeVersioned(CommandVersion, bytes, decoded.value);
    return decoded.code == ResultCode::Ok ? std::move(decoded) : Decoded<LogCommand>{decoded.code, {}};
}

} // namespace Filbertlanding
