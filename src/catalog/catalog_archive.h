/** @file catalog_archive.h cereal form of the types that commands and snapshots share. Include this only in .cpp files. */

#pragma once

#include "catalog/bounded_archive.h"
#include "catalog/command_type.h"

#include <cereal/types/string.hpp>

namespace Filbertlanding {

/** A result code; a number that is not in the table is refused. */
struct CodeNumber {
    ResultCode &code;
};

inline void CEREAL_SAVE_FUNCTION_NAME(BytesOutput &archive, const CodeNumber &holder)
{
    archive.writeNumber(static_cast<std::uint64_t>(holder.code), sizeof(std::uint16_t));
}

inline void CEREAL_LOAD_FUNCTION_NAME(BytesInput &archive, CodeNumber &holder)
{
    const auto code = static_cast<ResultCode>(archive.readNumber(sizeof(std::uint16_t)));
    if (resultCodeRow(code).code != code) {
        throw cereal::Exception("a result code is not known");
    }
    holder.code = code;
}

template<class Archive>
void serialize(Archive &archive, IntentFile &file)
{
    archive(file.name, file.text);
}

template<class Archive>
void serialize(Archive &archive, TaskRange &range)
{
    archive(range.first, range.end);
}

template<class Archive>
void serialize(Archive &archive, JobSpec &spec)
{
    archive(spec.service, spec.team, spec.jobClass, spec.size, spec.priority, spec.urgent, spec.taskCount, spec.payload);
}

} // namespace Filbertlanding
