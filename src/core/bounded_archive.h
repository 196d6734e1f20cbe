/**
 * @file bounded_archive.h The cereal archives of the project: little endian, for bytes that may be damaged or hostile.
 * cereal's own archives allocate whatever length they read, and load any byte into a bool or an enum, which is undefined behaviour.
 * All containers are therefore encoded here, and cereal/types/ stays unused. Include this header only in source files.
 *
 * Sizes take 32 bits. Memory of a decoded value is bounded by a constant factor of the bytes that were read,
 * since a container grows element by element and each element has taken its bytes before the next one is made.
 */

#pragma once

#include "core/result_code.h"

#include <cereal/cereal.hpp>

#include <array>
#include <bit>
#include <cmath>
#include <cstdint>
#include <map>
#include <new>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace Filbertlanding {

/** Stands before the first size of a value with parts that earlier versions lack; no container is that large. */
constexpr std::uint32_t ExtensionMark = 0xffffffff;

/** Writes to a string. */
class BoundedOutputArchive : public cereal::OutputArchive<BoundedOutputArchive>
{
public:
    /** Writes a format version, which the types with fields that earlier versions lack ask for. */
    explicit BoundedOutputArchive(std::string &target, char itsFormatVersion = 0)
        : OutputArchive(this)
        , out(target)
        , formatVersion(itsFormatVersion)
    {
    }

    /** Returns whether the fields that a format version has added are written. */
    bool hasFieldsOf(char version) const
    {
        return this->formatVersion >= version;
    }

    /** Appends bytes. */
    void write(std::string_view bytes)
    {
        this->out.append(bytes);
    }

    /** Appends an integer of the given number of bytes, lowest byte first. */
    void writeNumber(std::uint64_t value, std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            this->out.push_back(static_cast<char>(value >> (8 * i)));
        }
    }

    /** Appends the number of elements of a container. */
    void writeSize(std::size_t size)
    {
        this->writeNumber(size, sizeof(std::uint32_t));
    }

    /** Marks a value that has parts which earlier versions lack. The value begins with a size in its plain form. */
    bool markExtended(bool isExtended)
    {
        if (isExtended) {
            this->writeSize(ExtensionMark);
        }
        return isExtended;
    }

private:
    std::string &out;
    char formatVersion = 0;
};

/** Reads what BoundedOutputArchive wrote; throws cereal::Exception on anything else. decodeBounded turns that into a result. */
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive>
{
public:
    /** Reads a format version. */
    explicit BoundedInputArchive(std::string_view source, char itsFormatVersion = 0)
        : InputArchive(this)
        , rest(source)
        , formatVersion(itsFormatVersion)
    {
    }

    /** Returns whether the fields that a format version has added are there. */
    bool hasFieldsOf(char version) const
    {
        return this->formatVersion >= version;
    }

    /** Takes bytes from the front. */
    std::string_view read(std::size_t size)
    {
        if (size > this->rest.size()) {
            throw cereal::Exception("the bytes end too early");
        }
        const auto part = this->rest.substr(0, size);
        this->rest.remove_prefix(size);
        return part;
    }

    /** Takes an integer of the given number of bytes. */
    std::uint64_t readNumber(std::size_t size)
    {
        std::uint64_t value = 0;
        std::size_t shift = 0;
        for (const char c : this->read(size)) {
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(c)) << shift;
            shift += 8;
        }
        return value;
    }

    /** Takes the number of elements of a container, each of which has at least one byte. */
    std::size_t readSize()
    {
        const auto size = this->readNumber(sizeof(std::uint32_t));
        if (size > this->rest.size()) {
            throw cereal::Exception("a size is larger than the bytes that remain");
        }
        return size;
    }

    /** Reads the mark of a value that has parts which earlier versions lack, and returns whether it is there. The argument is for output archives only. */
    bool markExtended(bool)
    {
        BoundedInputArchive ahead(this->rest);
        if (this->rest.size() < sizeof ExtensionMark || ahead.readNumber(sizeof ExtensionMark) != ExtensionMark) {
            return false;
        }
        this->read(sizeof ExtensionMark);
        return true;
    }

    /** Returns whether all bytes were read. */
    bool isAtEnd() const
    {
        return this->rest.empty();
    }

private:
    std::string_view rest;
    char formatVersion = 0;
};

} // namespace Filbertlanding

CEREAL_SETUP_ARCHIVE_TRAITS(Filbertlanding::BoundedInputArchive, Filbertlanding::BoundedOutputArchive)

namespace cereal {

// cereal has a form for enums of its own, which loads any number.
template<class Enum>
requires std::is_enum_v<Enum>
struct specialize<Filbertlanding::BoundedOutputArchive, Enum, specialization::non_member_load_save> : std::true_type {
};

template<class Enum>
requires std::is_enum_v<Enum>
struct specialize<Filbertlanding::BoundedInputArchive, Enum, specialization::non_member_load_save> : std::true_type {
};

} // namespace cereal

namespace Filbertlanding {

template<class Number>
requires std::is_integral_v<Number>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const Number &value)
{
    archive.writeNumber(static_cast<std::uint64_t>(value), sizeof(Number));
}

template<class Number>
requires std::is_integral_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, Number &value)
{
    const auto number = archive.readNumber(sizeof(Number));
    if constexpr (std::is_same_v<Number, bool>) {
        if (number > 1) {
            throw cereal::Exception("a flag is neither 0 nor 1");
        }
    }
    value = static_cast<Number>(number);
}

inline void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const double &value)
{
    archive.writeNumber(std::bit_cast<std::uint64_t>(value), sizeof value);
}

/** Refuses infinities and NaN, which no comparison of a decision expects. */
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, double &value)
{
    value = std::bit_cast<double>(archive.readNumber(sizeof value));
    if (!std::isfinite(value)) {
        throw cereal::Exception("a number is not finite");
    }
}

/** Returns whether a decoded number stands for an enumerator. Other enums than ResultCode go from 0 to lastEnumerator(Enum()), declared beside the enum. */
template<class Enum>
bool isEnumerator(std::uint64_t number)
{
    if constexpr (std::is_same_v<Enum, ResultCode>) {
        return static_cast<std::uint64_t>(resultCodeRow(static_cast<ResultCode>(number)).code) == number;
    } else {
        return number <= static_cast<std::uint64_t>(lastEnumerator(Enum()));
    }
}

template<class Enum>
requires std::is_enum_v<Enum>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const Enum &value)
{
    archive.writeNumber(static_cast<std::uint64_t>(value), sizeof(Enum));
}

template<class Enum>
requires std::is_enum_v<Enum>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, Enum &value)
{
    const auto number = archive.readNumber(sizeof(Enum));
    if (!isEnumerator<Enum>(number)) {
        throw cereal::Exception("an enumerator is not known");
    }
    value = static_cast<Enum>(number);
}

inline void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const std::string &text)
{
    archive.writeSize(text.size());
    archive.write(text);
}

inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, std::string &text)
{
    text = archive.read(archive.readSize());
}

/** Bytes of a fixed number. */
template<std::size_t Size, class Byte>
requires(sizeof(Byte) == 1 && std::is_integral_v<Byte>) void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const std::array<Byte, Size> &bytes)
{
    archive.write({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

template<std::size_t Size, class Byte>
requires(sizeof(Byte) == 1 && std::is_integral_v<Byte>) void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, std::array<Byte, Size> &bytes)
{
    archive.read(Size).copy(reinterpret_cast<char *>(bytes.data()), Size);
}

template<class Element>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const std::vector<Element> &elements)
{
    archive.writeSize(elements.size());
    for (const auto &element : elements) {
        archive(element);
    }
}

template<class Element>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, std::vector<Element> &elements)
{
    elements.clear();
    // No reserve: a small message may announce many large elements that it does not hold.
    for (auto left = archive.readSize(); left > 0; --left) {
        archive(elements.emplace_back());
    }
}

template<class Key, class Value>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const std::map<Key, Value> &map)
{
    archive.writeSize(map.size());
    for (const auto &[key, value] : map) {
        archive(key, value);
    }
}

template<class Key, class Value>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, std::map<Key, Value> &map)
{
    map.clear();
    for (auto left = archive.readSize(); left > 0; --left) {
        Key key;
        archive(key);
        const auto [place, isNew] = map.try_emplace(std::move(key));
        if (!isNew) {
            throw cereal::Exception("a map has a key twice");
        }
        archive(place->second);
    }
}

template<class First, class Second>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const std::pair<First, Second> &pair)
{
    archive(pair.first, pair.second);
}

template<class First, class Second>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, std::pair<First, Second> &pair)
{
    archive(pair.first, pair.second);
}

template<class Value>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const std::optional<Value> &value)
{
    archive(value.has_value());
    if (value) {
        archive(*value);
    }
}

template<class Value>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, std::optional<Value> &value)
{
    bool isPresent = false;
    archive(isPresent);
    value.reset();
    if (isPresent) {
        archive(value.emplace());
    }
}

template<class... Types>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const std::variant<Types...> &variant)
{
    archive(static_cast<std::uint32_t>(variant.index()));
    std::visit(
        [&archive](const auto &value) {
            archive(value);
        },
        variant);
}

template<class... Types>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, std::variant<Types...> &variant)
{
    std::uint32_t index = 0;
    archive(index);
    std::uint32_t alternative = 0;
    const auto tryAlternative = [&]<class Type>(std::type_identity<Type>) {
        if (index != alternative++) {
            return false;
        }
        archive(variant.template emplace<Type>());
        return true;
    };
    if (!(tryAlternative(std::type_identity<Types>()) || ...)) {
        throw cereal::Exception("the kind of a value is not known");
    }
}

/** Appends the encoded form of a value. */
template<class Value>
void appendBounded(std::string &bytes, const Value &value, char formatVersion = 0)
{
    BoundedOutputArchive archive(bytes, formatVersion);
    archive(value);
}

/** Returns the encoded form of a value. */
template<class Value>
std::string encodeBounded(const Value &value)
{
    std::string bytes;
    appendBounded(bytes, value);
    return bytes;
}

/** Decodes a value that takes up all of the bytes; returns false when they are damaged, and the value is then unspecified. */
template<class Value>
[[nodiscard]] bool decodeBounded(std::string_view bytes, Value &value, char formatVersion = 0)
{
    try {
        BoundedInputArchive archive(bytes, formatVersion);
        archive(value);
        return archive.isAtEnd();
    } catch (const std::bad_alloc &) {
        // Want of memory says nothing about the bytes. A data folder that counts as damaged would be given up.
        throw;
    } catch (const std::exception &) {
        return false;
    }
}

/** Decodes a message that takes up all of the bytes; nothing when they are damaged, or memory is lacking, which is as if the message was lost. */
template<class Value>
[[nodiscard]] std::optional<Value> decodeBounded(std::string_view bytes)
{
    try {
        Value value;
        return decodeBounded(bytes, value) ? std::optional<Value>(std::move(value)) : std::nullopt;
    } catch (const std::bad_alloc &) {
        return std::nullopt;
    }
}

/** Returns a format version, as the first byte, and the encoded form of a value. */
template<class Value>
std::string encodeVersioned(char version, const Value &value)
{
    std::string bytes(1, version);
    appendBounded(bytes, value, version);
    return bytes;
}

/** Decodes what encodeVersioned wrote in any format version of a range. Returns Ok, FrameCorrupt or VersionUnsupported. */
template<class Value>
[[nodiscard]] ResultCode decodeVersioned(char oldestVersion, char newestVersion, std::string_view bytes, Value &value)
{
    if (bytes.empty()) {
        return ResultCode::FrameCorrupt;
    }
    if (bytes.front() < oldestVersion || bytes.front() > newestVersion) {
        return ResultCode::VersionUnsupported;
    }
    return decodeBounded(bytes.substr(1), value, bytes.front()) ? ResultCode::Ok : ResultCode::FrameCorrupt;
}

/** Decodes what encodeVersioned wrote in one format version. Returns Ok, FrameCorrupt or VersionUnsupported. */
template<class Value>
[[nodiscard]] ResultCode decodeVersioned(char version, std::string_view bytes, Value &value)
{
    return decodeVersioned(version, version, bytes, value);
}

} // namespace Filbertlanding
