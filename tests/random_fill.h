/** @file random_fill.h Fills every field of a message with random values, by way of its serialize function. */

#pragma once

#include "core/random.h"
#include "core/result_code.h"

#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace Filbertlanding {

/** Takes the place of an archive; new fields of a message are filled without a change here. */
class RandomFill
{
public:
    explicit RandomFill(std::uint64_t seed)
        : random{seed}
    {
    }

    template<class... Values>
    void operator()(Values &...values)
    {
        (this->fill(values), ...);
    }

    bool markExtended(bool)
    {
        return this->random.below(2) == 1;
    }

    Random random;

private:
    template<class Value>
    void fill(Value &value)
    {
        if constexpr (std::is_same_v<Value, ResultCode>) {
            value = resultCodeRows()[this->random.below(resultCodeRows().size())].code;
        } else if constexpr (std::is_enum_v<Value>) {
            value = static_cast<Value>(this->random.below(static_cast<std::uint64_t>(lastEnumerator(Value())) + 1));
        } else if constexpr (std::is_same_v<Value, bool>) {
            value = this->random.below(2) == 1;
        } else if constexpr (std::is_arithmetic_v<Value>) {
            value = static_cast<Value>(this->random.next());
        } else {
            value.serialize(*this);
        }
    }

    void fill(std::string &text)
    {
        text.resize(this->random.below(6));
        for (char &c : text) {
            c = static_cast<char>(this->random.next());
        }
    }

    template<class Element>
    void fill(std::vector<Element> &elements)
    {
        elements.resize(this->random.below(4));
        for (auto &element : elements) {
            this->fill(element);
        }
    }

    template<class Value>
    void fill(std::optional<Value> &value)
    {
        value.reset();
        if (this->random.below(2) == 1) {
            this->fill(value.emplace());
        }
    }

    template<class... Types>
    void fill(std::variant<Types...> &variant)
    {
        auto left = this->random.below(sizeof...(Types));
        const auto choose = [&]<class Type>(std::type_identity<Type>) {
            if (left-- == 0) {
                this->fill(variant.template emplace<Type>());
            }
        };
        (choose(std::type_identity<Types>()), ...);
    }
};

/** Returns a value with random fields. */
template<class Value>
Value randomValue(std::uint64_t seed)
{
    Value value;
    RandomFill fill(seed);
    fill(value);
    return value;
}

} // namespace Filbertlanding
