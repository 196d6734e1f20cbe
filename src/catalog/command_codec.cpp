/** @file command_codec.cpp Encoding of commands for the log. */

#include "catalog/catalog_archive.h"
#include "catalog/catalog_func.h"

#include <cereal/types/variant.hpp>

namespace Filbertlanding {

namespace {

    constexpr char CommandVersion = 1; ///< First byte of an encoded command.

} // namespace

template<class Archive>
void serialize(Archive &archive, ChangeFiles &command)
{
    archive(enumByte(command.kind, ChangeKind::Sync), sequence(command.files), command.baseVersion);
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
    archive(command.job, command.epoch, command.checkpoint, enumByte(command.cause, EvictCause::LeaseEnded));
}

template<class Archive>
void serialize(Archive &archive, FinishTasks &command)
{
    archive(command.job, command.epoch, sequence(command.tasks), command.result);
}

template<class Archive>
void serialize(Archive &archive, FailJob &command)
{
    archive(command.job, command.epoch, CodeNumber{command.code}, command.reason);
}

template<class Archive>
void serialize(Archive &archive, CancelJob &command)
{
    archive(command.job);
}

template<class Archive>
void serialize(Archive &archive, DaemonLife &command)
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
    std::string bytes(1, CommandVersion);
    BytesOutput archive(bytes);
    archive(command);
    return bytes;
}

Decoded<LogCommand> decodeCommand(std::string_view bytes)
{
    if (bytes.size() > MaxCommandBytes) {
        return {ResultCode::TooLarge, {}};
    }
    if (bytes.empty()) {
        return {ResultCode::FrameCorrupt, {}};
    }
    if (bytes.front() != CommandVersion) {
        return {ResultCode::VersionUnsupported, {}};
    }
    try {
        Decoded<LogCommand> decoded;
        BytesInput archive(bytes.substr(1));
        archive(decoded.value);
        decoded.code = archive.isAtEnd() ? ResultCode::Ok : ResultCode::FrameCorrupt;
        return decoded;
    } catch (const std::exception &) {
        return {ResultCode::FrameCorrupt, {}};
    }
}

} // namespace Filbertlanding
