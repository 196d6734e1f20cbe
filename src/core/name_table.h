/** @file name_table.h Tables that map the enumerators of an enum to their names. */

#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Filbertlanding {

/** One row of a name table. */
template<class Enum>
struct NamedValue {
    Enum value; ///< The enumerator.
    std::string_view name; ///< Its name in JSON, logs and messages.
};

/** Names of the enumerators of one enum. */
template<class Enum, std::size_t Count>
struct NameTable {
    std::array<NamedValue<Enum>, Count> rows; ///< One row for each enumerator.

    /** Returns the name of a value, or "unknown" for a value that is not in the table. */
    constexpr std::string_view nameOf(Enum value) const
    {
        for (const auto &row : this->rows) {
            if (row.value == value) {
                return row.name;
            }
        }
        return "unknown";
    }

    /** Returns the value with this name, or nothing. */
    constexpr std::optional<Enum> valueOf(std::string_view name) const
    {
        for (const auto &row : this->rows) {
            if (row.name == name) {
                return row.value;
            }
        }
        return std::nullopt;
    }
};

/** Makes a name table from rows, for example makeNameTable<Colour>({{Colour::Red, "red"}}). */
template<class Enum, std::size_t Count>
constexpr NameTable<Enum, Count> makeNameTable(const NamedValue<Enum> (&rows)[Count])
{
    NameTable<Enum, Count> table{};
    for (std::size_t i = 0; i < Count; ++i) {
        table.rows[i] = rows[i];
    }
    return table;
}

} // namespace Filbertlanding
