/** @file task_ranges.cpp Sets of task numbers as sorted, disjoint ranges. */

#include "catalog/task_ranges.h"

#include <algorithm>

namespace Filbertlanding {

void addRange(TaskRanges &set, TaskRange range)
{
    if (range.count() == 0) {
        return;
    }
    // Ranges that touch are joined as well, so the search begins at the first range that does not end before this one.
    const auto from = std::lower_bound(set.begin(), set.end(), range.first, [](const TaskRange &other, std::uint32_t first) {
        return other.end < first;
    });
    auto to = from;
    while (to != set.end() && to->first <= range.end) {
        range.first = std::min(range.first, to->first);
        range.end = std::max(range.end, to->end);
        ++to;
    }
    set.insert(set.erase(from, to), range);
}

void removeRange(TaskRanges &set, TaskRange range)
{
    if (range.count() == 0) {
        return;
    }
    TaskRanges rest;
    for (const auto &other : set) {
        const TaskRange before{other.first, std::min(other.end, range.first)};
        const TaskRange after{std::max(other.first, range.end), other.end};
        if (before.count() > 0) {
            rest.push_back(before);
        }
        if (after.count() > 0) {
            rest.push_back(after);
        }
    }
    set = std::move(rest);
}

bool containsRange(const TaskRanges &set, TaskRange range)
{
    if (range.count() == 0) {
        return true;
    }
    return std::any_of(set.begin(), set.end(), [&range](const TaskRange &other) {
        return other.first <= range.first && range.end <= other.end;
    });
}

bool overlapsRange(const TaskRanges &set, TaskRange range)
{
    return std::any_of(set.begin(), set.end(), [&range](const TaskRange &other) {
        return std::max(other.first, range.first) < std::min(other.end, range.end);
    });
}

std::uint64_t countTasks(const TaskRanges &set)
{
    std::uint64_t sum = 0;
    for (const auto &range : set) {
        sum += range.count();
    }
    return sum;
}

bool isWellFormed(const TaskRanges &set, std::uint32_t bound)
{
    std::uint32_t previousEnd = 0;
    bool isFirst = true;
    for (const auto &range : set) {
        if (range.first >= range.end || range.end > bound || (!isFirst && range.first <= previousEnd)) {
            return false;
        }
        previousEnd = range.end;
        isFirst = false;
    }
    return true;
}

} // namespace Filbertlanding
