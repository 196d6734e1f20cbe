/** @file intent_diff.cpp Differences between two sets of intent files. */

#include "catalog/intent_diff.h"

#include "catalog/intent_merge.h"

#include <map>

namespace Filbertlanding {

namespace {

    std::map<std::string, std::string> textsByName(const std::vector<IntentFile> &files)
    {
        std::map<std::string, std::string> texts;
        for (const auto &file : files) {
            texts[file.name] = file.text;
        }
        return texts;
    }

    void diffValues(const MergedValue *before, const MergedValue *after, const std::string &pointer, std::vector<ValueChange> &changes)
    {
        const bool areObjects = before != nullptr && after != nullptr && before->isObject && after->isObject;
        if (!areObjects) {
            const auto textBefore = before == nullptr ? std::string() : mergedAsJson(*before);
            const auto textAfter = after == nullptr ? std::string() : mergedAsJson(*after);
            if (textBefore != textAfter) {
                changes.push_back({pointer, textBefore, textAfter});
            }
            return;
        }
        std::map<std::string_view, std::pair<const MergedValue *, const MergedValue *>> members;
        for (const auto &[key, member] : before->members) {
            members[key].first = &member;
        }
        for (const auto &[key, member] : after->members) {
            members[key].second = &member;
        }
        for (const auto &[key, pair] : members) {
            diffValues(pair.first, pair.second, extendPointer(pointer, key), changes);
        }
    }

} // namespace

IntentDiff diffIntent(const std::vector<IntentFile> &before, const std::vector<IntentFile> &after)
{
    IntentDiff diff;
    const auto textsBefore = textsByName(before);
    const auto textsAfter = textsByName(after);
    for (const auto &[name, text] : textsAfter) {
        const auto found = textsBefore.find(name);
        if (found == textsBefore.end()) {
            diff.added.push_back(name);
        } else if (found->second != text) {
            diff.changed.push_back(name);
        }
    }
    for (const auto &[name, text] : textsBefore) {
        if (!textsAfter.contains(name)) {
            diff.removed.push_back(name);
        }
    }
    const auto mergedBefore = mergeIntent(before);
    const auto mergedAfter = mergeIntent(after);
    diffValues(&mergedBefore.root, &mergedAfter.root, "", diff.values);
    return diff;
}

bool isPurelyRestrictive(const Configuration &before, const Configuration &after)
{
    // Take over every restriction of the new configuration; whatever differs after that is not a restriction.
    Configuration restricted = before;
    for (const auto &[name, zone] : after.availabilityZones) {
        if (zone.state == ZoneState::Drained) {
            restricted.availabilityZones[name].state = ZoneState::Drained;
        }
    }
    for (const auto &[name, worker] : after.workers) {
        if (worker.state == WorkerIntent::Leaving) {
            restricted.workers[name].state = WorkerIntent::Leaving;
        }
    }
    for (const auto &[name, service] : after.services) {
        const auto found = restricted.services.find(name);
        if (found != restricted.services.end() && service.state == ServiceState::Closed) {
            found->second.state = ServiceState::Closed;
        }
    }
    return restricted == after && !(before == after);
}

} // namespace Filbertlanding
