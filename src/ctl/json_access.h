/** @file json_access.h Reads members of answers; a missing member or one of another type gives an empty value. */

#pragma once

#include <boost/json.hpp>

#include <string>
#include <string_view>

namespace Filbertlanding {

/** Returns the parsed text, or null when it is no JSON. */
inline boost::json::value parseBody(std::string_view body)
{
    boost::system::error_code error;
    boost::json::value root = boost::json::parse(body, error);
    return error ? boost::json::value() : root;
}

/** Returns a member of an object, or null. */
inline const boost::json::value &memberOf(const boost::json::value &value, std::string_view name)
{
    static const boost::json::value null;
    const boost::json::value *member = value.is_object() ? value.as_object().if_contains(name) : nullptr;
    return member == nullptr ? null : *member;
}

/** Returns a text member; other types as JSON text, null as an empty text. */
inline std::string textOf(const boost::json::value &value, std::string_view name)
{
    const boost::json::value &member = memberOf(value, name);
    if (member.is_null()) {
        return {};
    }
    return member.is_string() ? std::string(member.as_string()) : boost::json::serialize(member);
}

/** Returns a member that is a whole number and not negative, or 0. */
inline std::uint64_t numberOf(const boost::json::value &value, std::string_view name)
{
    const boost::json::value &member = memberOf(value, name);
    boost::system::error_code error;
    const auto number = member.is_null() ? 0 : member.to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

/** Returns whether a member is true. */
inline bool flagOf(const boost::json::value &value, std::string_view name)
{
    const boost::json::value &member = memberOf(value, name);
    return member.is_bool() && member.as_bool();
}

/** Returns the entries of a list member; an empty list without one. */
inline const boost::json::array &listOf(const boost::json::value &value, std::string_view name)
{
    static const boost::json::array none;
    const boost::json::value &member = memberOf(value, name);
    return member.is_array() ? member.as_array() : none;
}

/** Returns the entries of a list of texts, separated by commas. */
inline std::string namesOf(const boost::json::value &value, std::string_view name)
{
    std::string text;
    for (const boost::json::value &entry : listOf(value, name)) {
        text += text.empty() ? "" : ", ";
        text += entry.is_string() ? std::string(entry.as_string()) : boost::json::serialize(entry);
    }
    return text;
}

} // namespace Filbertlanding
