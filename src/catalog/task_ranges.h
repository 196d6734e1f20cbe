/** @file task_ranges.h Sets of task numbers as sorted, disjoint ranges. */

#pragma once

#include <cstdint>
#include <vector>

namespace Filbertlanding {

/** Task numbers from first up to, but without, end. */
struct TaskRange {
    std::uint32_t first = 0; ///< First task.
    std::uint32_t end = 0; ///< One past the last task.

    auto operator<=>(const TaskRange &) const = default;

    /** Returns the number of tasks. */
    constexpr std::uint32_t count() const
    {
        return this->end > this->first ? this->end - this->first : 0;
    }
};

/** A set of task numbers; ranges are sorted, not empty, and neither overlap nor touch. */
using TaskRanges = std::vector<TaskRange>;

/** Adds a range to a set. */
void addRange(TaskRanges &set, TaskRange range);

/** Removes a range from a set. */
void removeRange(TaskRanges &set, TaskRange range);

/** Returns whether every task of a range is in the set; true for an empty range. */
bool containsRange(const TaskRanges &set, TaskRange range);

/** Returns whether a range shares a task with the set. */
bool overlapsRange(const TaskRanges &set, TaskRange range);

/** Returns the number of tasks in the set. */
std::uint64_t countTasks(const TaskRanges &set);

/** Returns whether the ranges are sorted, not empty, apart, and below a bound; for data that was decoded. */
bool isWellFormed(const TaskRanges &set, std::uint32_t bound);

} // namespace Filbertlanding
