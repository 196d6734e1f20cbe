/** @file config_check.cpp Makes the typed configuration from intent files and reports every fault. */

#include "catalog/config_check.h"

#include "catalog/intent_merge.h"

#include <algorithm>
#include <functional>

namespace Filbertlanding {

namespace {

    constexpr std::int64_t MaxTimeoutMs = 3'600'000; ///< One hour.
    constexpr std::int64_t MaxDrainLimitMs = std::int64_t{7} * 24 * 3'600'000; ///< One week.
    constexpr std::int64_t MaxAmount = 1'000'000'000; ///< Upper bound of amounts; sums over all tasks stay far below 2^63.

    struct Checker {
        const MergedIntent &merged;
        std::vector<IntentError> &errors;

        void addError(ResultCode code, const MergedValue &value, const std::string &pointer, std::string message)
        {
            this->errors.push_back({code, this->merged.fileNames[value.file], pointer, std::move(message)});
        }
    };

    /** One key of a section's entries: reads the value, or says what is wrong. */
    template<class Entry>
    struct Field {
        std::string_view key;
        std::function<void(Checker &, const MergedValue &, const std::string &, Entry &)> read;
    };

    /** Reads an integer from min to max and stores it with set. */
    template<class Entry>
    Field<Entry> integerField(std::string_view key, std::int64_t min, std::int64_t max, std::function<void(Entry &, std::int64_t)> set)
    {
        return {key, [min, max, set](Checker &checker, const MergedValue &value, const std::string &pointer, Entry &entry) {
                    const auto *number = value.isObject ? nullptr : std::get_if<std::int64_t>(&value.scalar);
                    const bool exceedsInt64 = !value.isObject && std::holds_alternative<std::uint64_t>(value.scalar);
                    if (number == nullptr && !exceedsInt64) {
                        checker.addError(ResultCode::BadFieldType, value, pointer, "an integer is expected");
                        return;
                    }
                    if (exceedsInt64 || *number < min || *number > max) {
                        checker.addError(
                            ResultCode::OutOfRange, value, pointer, "a value from " + std::to_string(min) + " to " + std::to_string(max) + " is expected");
                        return;
                    }
                    set(entry, *number);
                }};
    }

    /** Reads one of the names of a table and stores its value with set. */
    template<class Entry, class Table, class Set>
    Field<Entry> nameField(std::string_view key, const Table &table, Set set)
    {
        return {key, [&table, set](Checker &checker, const MergedValue &value, const std::string &pointer, Entry &entry) {
                    const auto *name = value.isObject ? nullptr : std::get_if<std::string>(&value.scalar);
                    std::string expected;
                    for (const auto &row : table.rows) {
                        expected += (expected.empty() ? "" : " or ") + std::string(row.name);
                    }
                    if (name == nullptr) {
                        checker.addError(ResultCode::BadFieldType, value, pointer, "the text " + expected + " is expected");
                        return;
                    }
                    const auto found = table.valueOf(*name);
                    if (!found) {
                        checker.addError(ResultCode::OutOfRange, value, pointer, "'" + *name + "' is not " + expected);
                        return;
                    }
                    set(entry, *found);
                }};
    }

    /** Reads the name of a policy plug-in. */
    Field<PolicyConfig> policyField(std::string_view key, const std::set<std::string> *known, std::string PolicyConfig::*target)
    {
        return {key, [known, target](Checker &checker, const MergedValue &value, const std::string &pointer, PolicyConfig &entry) {
                    const auto *name = value.isObject ? nullptr : std::get_if<std::string>(&value.scalar);
                    if (name == nullptr) {
                        checker.addError(ResultCode::BadFieldType, value, pointer, "the name of a policy is expected");
                        return;
                    }
                    if (!isValidName(*name)) {
                        checker.addError(
                            ResultCode::OutOfRange, value, pointer, "the name of a policy has 1 to 100 letters, digits, dots, hyphens and underscores");
                        return;
                    }
                    if (known != nullptr && !known->contains(*name)) {
                        checker.addError(ResultCode::UnknownPolicy, value, pointer, "no policy plug-in is named '" + *name + "'");
                        return;
                    }
                    entry.*target = *name;
                }};
    }

    template<class Entry>
    void readEntry(Checker &checker, const MergedValue &value, const std::string &pointer, const std::vector<Field<Entry>> &fields, Entry &entry)
    {
        if (!value.isObject) {
            checker.addError(ResultCode::BadFieldType, value, pointer, "an object is expected");
            return;
        }
        for (const auto &[key, member] : value.members) {
            const auto memberPointer = extendPointer(pointer, key);
            const auto isKey = [&key = key](const Field<Entry> &field) {
                return field.key == key;
            };
            const auto field = std::find_if(fields.begin(), fields.end(), isKey);
            if (field == fields.end()) {
                checker.addError(ResultCode::UnknownField, member, memberPointer, "the key is not known");
                continue;
            }
            field->read(checker, member, memberPointer, entry);
        }
    }

    template<class Entry>
    void readSection(Checker &checker,
                     const MergedValue &section,
                     const std::string &pointer,
                     const std::vector<Field<Entry>> &fields,
                     std::map<std::string, Entry> &entries)
    {
        if (!section.isObject) {
            checker.addError(ResultCode::BadFieldType, section, pointer, "an object is expected");
            return;
        }
        for (const auto &[name, value] : section.members) {
            const auto entryPointer = extendPointer(pointer, name);
            if (!isValidName(name)) {
                checker.addError(ResultCode::OutOfRange, value, entryPointer, "a name has 1 to 100 letters, digits, dots, hyphens and underscores");
                continue;
            }
            readEntry(checker, value, entryPointer, fields, entries[name]);
        }
    }

    const std::vector<Field<ServiceConfig>> &serviceFields()
    {
        using Entry = ServiceConfig;
        static const std::vector<Field<Entry>> fields{nameField<Entry>("state",
                                                                       ServiceStateNames,
                                                                       [](Entry &entry, ServiceState state) {
                                                                           entry.state = state;
                                                                       }),
                                                      integerField<Entry>("defaultTimeoutMs",
                                                                          1,
                                                                          MaxTimeoutMs,
                                                                          [](Entry &entry, std::int64_t value) {
                                                                              entry.defaultTimeout = {value};
                                                                          }),
                                                      integerField<Entry>("queueLimit",
                                                                          0,
                                                                          1'000'000,
                                                                          [](Entry &entry, std::int64_t value) {
                                                                              entry.queueLimit = value;
                                                                          }),
                                                      integerField<Entry>("retryBudgetPercent",
                                                                          0,
                                                                          100,
                                                                          [](Entry &entry, std::int64_t value) {
                                                                              entry.retryBudgetPercent = value;
                                                                          }),
                                                      integerField<Entry>("retryBudgetMinPerSecond",
                                                                          0,
                                                                          100'000,
                                                                          [](Entry &entry, std::int64_t value) {
                                                                              entry.retryBudgetMinPerSecond = value;
                                                                          }),
                                                      integerField<Entry>("maxEvictionsPerMinute", 0, 100'000, [](Entry &entry, std::int64_t value) {
                                                          entry.maxEvictionsPerMinute = value;
                                                      })};
        return fields;
    }

    const std::vector<Field<TeamConfig>> &teamFields()
    {
        using Entry = TeamConfig;
        static const std::vector<Field<Entry>> fields{integerField<Entry>("weight",
                                                                          1,
                                                                          1'000'000,
                                                                          [](Entry &entry, std::int64_t value) {
                                                                              entry.weight = value;
                                                                          }),
                                                      integerField<Entry>("quotaSlots",
                                                                          0,
                                                                          MaxAmount,
                                                                          [](Entry &entry, std::int64_t value) {
                                                                              entry.quotaSlots = value;
                                                                          }),
                                                      integerField<Entry>("quotaCpuMillis",
                                                                          0,
                                                                          MaxAmount,
                                                                          [](Entry &entry, std::int64_t value) {
                                                                              entry.quotaCpuMillis = value;
                                                                          }),
                                                      integerField<Entry>("quotaMemoryMb", 0, MaxAmount, [](Entry &entry, std::int64_t value) {
                                                          entry.quotaMemoryMb = value;
                                                      })};
        return fields;
    }

    const std::vector<Field<ZoneConfig>> &zoneFields()
    {
        using Entry = ZoneConfig;
        static const std::vector<Field<Entry>> fields{nameField<Entry>("state",
                                                                       ZoneStateNames,
                                                                       [](Entry &entry, ZoneState state) {
                                                                           entry.state = state;
                                                                       }),
                                                      integerField<Entry>("drainLimitMs", 0, MaxDrainLimitMs, [](Entry &entry, std::int64_t value) {
                                                          entry.drainLimit = {value};
                                                      })};
        return fields;
    }

    const std::vector<Field<WorkerConfig>> &workerFields()
    {
        static const std::vector<Field<WorkerConfig>> fields{nameField<WorkerConfig>("state", WorkerIntentNames, [](WorkerConfig &entry, WorkerIntent state) {
            entry.state = state;
        })};
        return fields;
    }

    std::vector<Field<PolicyConfig>> policyFields(const PolicyNames *policies)
    {
        return {nameField<PolicyConfig>("weighing",
                                        WeighingNames,
                                        [](PolicyConfig &entry, Weighing weighing) {
                                            entry.weighing = weighing;
                                        }),
                policyField("routing", policies == nullptr ? nullptr : &policies->routing, &PolicyConfig::routing),
                policyField("placement", policies == nullptr ? nullptr : &policies->placement, &PolicyConfig::placement)};
    }

    void readRoot(Checker &checker, const MergedValue &root, const PolicyNames *policies, Configuration &configuration)
    {
        for (const auto &[name, section] : root.members) {
            const auto pointer = extendPointer("", name);
            if (name == "services") {
                readSection(checker, section, pointer, serviceFields(), configuration.services);
            } else if (name == "teams") {
                readSection(checker, section, pointer, teamFields(), configuration.teams);
            } else if (name == "availabilityZones") {
                readSection(checker, section, pointer, zoneFields(), configuration.availabilityZones);
            } else if (name == "workers") {
                readSection(checker, section, pointer, workerFields(), configuration.workers);
            } else if (name == "policy") {
                readEntry(checker, section, pointer, policyFields(policies), configuration.policy);
            } else {
                checker.addError(ResultCode::UnknownField, section, pointer, "the section is not known");
            }
        }
    }

} // namespace

ConfigCheck checkIntent(const std::vector<IntentFile> &files, const PolicyNames *policies)
{
    ConfigCheck check;
    auto merged = mergeIntent(files);
    check.errors = std::move(merged.errors);
    Checker checker{merged, check.errors};
    readRoot(checker, merged.root, policies, check.configuration);
    return check;
}

} // namespace Filbertlanding
