/** @file catalog_archive.h cereal form of the types that commands and snapshots share. Include this only in .cpp files. */

#pragma once

#include "catalog/command_type.h"
#include "core/bounded_archive.h"

namespace Filbertlanding {

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
