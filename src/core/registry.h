/** @file registry.h Registry of plug-ins that add themselves at program start. */

#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Filbertlanding {

/**
 * Plug-ins of one kind by name. A kind is a function type, and Tag tells apart two kinds with the same type.
 * Plug-ins are added by static Registration objects, so the registry does not change once main() runs.
 */
template<class Function, class Tag = void>
struct Registry {
    /** Returns the table of this kind. */
    static std::map<std::string, std::function<Function>, std::less<>> &entries()
    {
        static std::map<std::string, std::function<Function>, std::less<>> table;
        return table;
    }

    /** Returns the plug-in with this name, or nullptr. */
    static const std::function<Function> *find(std::string_view name)
    {
        const auto found = entries().find(name);
        return found == entries().end() ? nullptr : &found->second;
    }

    /** Returns the names of all plug-ins of this kind, sorted. */
    static std::vector<std::string> names()
    {
        std::vector<std::string> result;
        for (const auto &[name, function] : entries()) {
            result.push_back(name);
        }
        return result;
    }
};

/** A static object of this type adds a plug-in. */
template<class Function, class Tag = void>
struct Registration {
    Registration(std::string name, std::function<Function> function)
    {
        Registry<Function, Tag>::entries().emplace(std::move(name), std::move(function));
    }
};

} // namespace Filbertlanding
