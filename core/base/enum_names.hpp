#pragma once

// A table that maps the values of an enum to their stable names in logs, JSON and
// settings.
//
//     constexpr enum_names<colour, 2> names{{{
//         {colour::red, "red"},
//         {colour::blue, "blue"},
//     }}};
//     names.name(colour::red);  // "red"
//     names.value("blue");      // colour::blue
//
// Both look-ups are O(number of values).

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace camphorrock
{

template<class Enum, std::size_t Count>
struct enum_names
{
    struct row
    {
        Enum value;
        std::string_view name;
    };

    std::array<row, Count> rows;

    // Returns "?" for a value that has no row.
    constexpr std::string_view name(Enum value) const
    {
        for (const row& it : rows)
        {
            if (it.value == value)
            {
                return it.name;
            }
        }
        return "?";
    }

    // Returns nullopt for a name that has no row.
    constexpr std::optional<Enum> value(std::string_view name) const
    {
        for (const row& it : rows)
        {
            if (it.name == name)
            {
                return it.value;
            }
        }
        return std::nullopt;
    }
};

} // namespace camphorrock
