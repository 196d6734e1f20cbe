/** @file catalog_func.cpp Applies commands to the replicated state. */

#include "catalog/catalog_func.h"

#include "catalog/intent_store.h"
#include "catalog/job_state.h"
#include "catalog/operation_table.h"
#include "catalog/service_state.h"
#include "core/random.h"

namespace Filbertlanding {

namespace {

    CommandResult apply(Catalog &catalog, const ChangeFiles &command, std::uint64_t index)
    {
        auto result = applyChange(catalog.intent, command, index);
        if (result.code == ResultCode::Ok) {
            updateOpenServices(catalog.services, catalog.intent.configuration, catalog.intent.version);
        }
        return result;
    }

    CommandResult apply(Catalog &catalog, const SubmitJob &command, std::uint64_t index)
    {
        return applySubmit(catalog.jobs, catalog.intent.configuration, command, index);
    }

    CommandResult apply(Catalog &catalog, const AssignJob &command, std::uint64_t index)
    {
        return applyAssign(catalog.jobs, catalog.intent.configuration, command, index);
    }

    CommandResult apply(Catalog &catalog, const CheckpointJob &command, std::uint64_t)
    {
        return applyCheckpoint(catalog.jobs, command);
    }

    CommandResult apply(Catalog &catalog, const EvictJob &command, std::uint64_t)
    {
        return applyEvict(catalog.jobs, command);
    }

    CommandResult apply(Catalog &catalog, const FinishTasks &command, std::uint64_t index)
    {
        return applyFinish(catalog.jobs, command, index);
    }

    CommandResult apply(Catalog &catalog, const FailJob &command, std::uint64_t index)
    {
        return applyFail(catalog.jobs, command, index);
    }

    CommandResult apply(Catalog &catalog, const CancelJob &command, std::uint64_t index)
    {
        return applyCancel(catalog.jobs, command, index);
    }

    CommandResult apply(Catalog &catalog, const DaemonLifeCycleEvent &command, std::uint64_t)
    {
        return applyDaemonLifeCycleEvent(catalog.services, command);
    }

    CommandResult apply(Catalog &catalog, const FinalCounters &command, std::uint64_t)
    {
        return applyFinalCounters(catalog.services, command);
    }

    CommandResult apply(Catalog &catalog, const AcceptGap &command, std::uint64_t)
    {
        return applyAcceptGap(catalog.services, command);
    }

    /** Hash of what a resend has in common with the first command; the time and the proposed job id differ. */
    template<class Command>
    std::uint64_t fingerprintOf(Command command)
    {
        if constexpr (requires { command.wallTime; }) {
            command.wallTime = {};
        }
        if constexpr (std::is_same_v<Command, SubmitJob>) {
            command.job.clear();
        }
        return stableHash(encodeCommand(command));
    }

    template<class Command>
    CommandResult applyOnce(Catalog &catalog, const Command &command, std::uint64_t index)
    {
        if constexpr (requires { command.operation; }) {
            CommandResult result;
            if (command.operation.empty() || command.operation.size() > MaxOperationIdBytes) {
                result.code = ResultCode::MissingField;
                result.message = "an operation id has 1 to " + std::to_string(MaxOperationIdBytes) + " bytes";
                result.version = catalog.intent.version;
                return result;
            }
            const auto fingerprint = fingerprintOf(command);
            if (const auto answer = findResult(catalog.operations, command.operation, fingerprint)) {
                return *answer;
            }
            result = apply(catalog, command, index);
            result.version = catalog.intent.version;
            recordResult(catalog.operations, command.operation, fingerprint, index, result);
            return result;
        } else {
            auto result = apply(catalog, command, index);
            result.version = catalog.intent.version;
            return result;
        }
    }

} // namespace

CommandResult applyCommand(Catalog &catalog, const LogCommand &command, std::uint64_t index)
{
    if (index <= catalog.appliedIndex) {
        CommandResult result;
        result.code = ResultCode::Internal;
        result.message = "the log entry was already applied";
        return result;
    }
    catalog.appliedIndex = index;
    return std::visit(
        [&catalog, index](const auto &each) {
            return applyOnce(catalog, each, index);
        },
        command);
}

} // namespace Filbertlanding
