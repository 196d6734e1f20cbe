/**
 * @file bounded_archive.h cereal archives over bytes in memory whose input side never trusts a size.
 * cereal's own binary archives resize a container to the size that the bytes announce before they read its elements,
 * so a few hostile bytes could ask for gigabytes. Include this only in .cpp files.
 */

#pragma once

#include <cereal/cereal.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace Filbertlanding {

/** Writes integers in little-endian order and sizes as 32 bits. */
class BytesOutput : public cereal::OutputArchive<BytesOutput, cereal::AllowEmptyClassElision>
{
public:
    explicit BytesOutput(std::string &target)
        : OutputArchive<BytesOutput, cereal::AllowEmptyClassElision>(this)
        , bytes(target)
    {
    }

    void write(const void *data, std::size_t size)
    {
        this->bytes.append(static_cast<const char *>(data), size);
    }

    void writeNumber(std::uint64_t value, std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            this->bytes.push_back(static_cast<char>(value >> (8 * i)));
        }
    }

private:
    std::string &bytes;
};

/** Reads what BytesOutput wrote. Throws cereal::Exception on bytes that end too early or announce more than remains. */
class BytesInput : public cereal::InputArchive<BytesInput, cereal::AllowEmptyClassElision>
{
public:
    explicit BytesInput(std::string_view source)
        : InputArchive<BytesInput, cereal::AllowEmptyClassElision>(this)
        , rest(source)
    {
    }

    std::string_view read(std::size_t size)
    {
        if (size > this->rest.size()) {
            throw cereal::Exception("the bytes end too early");
        }
        const auto part = this->rest.substr(0, size);
        this->rest.remove_prefix(size);
        return part;
    }

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

    /** Reads the size of a container, each element of which has at least one byte. */
    std::size_t readSize()
    {
        const auto size = this->readNumber(sizeof(std::uint32_t));
        if (size > this->rest.size()) {
            throw cereal::Exception("a size is larger than the bytes that remain");
        }
        return size;
    }

    bool isAtEnd() const
    {
        return this->rest.empty();
    }

private:
    std::string_view rest;
};

template<class Number, cereal::traits::EnableIf<std::is_integral<Number>::value> = cereal::traits::sfinae>
void CEREAL_SAVE_FUNCTION_NAME(BytesOutput &archive, const Number &value)
{
    archive.writeNumber(static_cast<std::uint64_t>(value), sizeof(Number));
}

template<class Number, cereal::traits::EnableIf<std::is_integral<Number>::value> = cereal::traits::sfinae>
void CEREAL_LOAD_FUNCTION_NAME(BytesInput &archive, Number &value)
{
    const auto number = archive.readNumber(sizeof(Number));
    if constexpr (std::is_same_v<Number, bool>) {
        value = number != 0;
    } else {
        value = static_cast<Number>(number);
    }
}

template<class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(BytesOutput &archive, cereal::NameValuePair<Value> &pair)
{
    archive(pair.value);
}

template<class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(BytesInput &archive, cereal::NameValuePair<Value> &pair)
{
    archive(pair.value);
}

template<class Size>
void CEREAL_SAVE_FUNCTION_NAME(BytesOutput &archive, const cereal::SizeTag<Size> &tag)
{
    archive.writeNumber(tag.size, sizeof(std::uint32_t));
}

template<class Size>
void CEREAL_LOAD_FUNCTION_NAME(BytesInput &archive, cereal::SizeTag<Size> &tag)
{
    tag.size = archive.readSize();
}

template<class Data>
void CEREAL_SAVE_FUNCTION_NAME(BytesOutput &archive, const cereal::BinaryData<Data> &data)
{
    archive.write(data.data, data.size);
}

template<class Data>
void CEREAL_LOAD_FUNCTION_NAME(BytesInput &archive, cereal::BinaryData<Data> &data)
{
    const auto part = archive.read(data.size);
    part.copy(static_cast<char *>(data.data), part.size());
}

/** A vector that grows while its elements are read, so that a hostile size allocates nothing. */
template<class Element>
struct Sequence {
    std::vector<Element> &elements;
};

template<class Element>
Sequence<Element> sequence(std::vector<Element> &elements)
{
    return {elements};
}

template<class Element>
void CEREAL_SAVE_FUNCTION_NAME(BytesOutput &archive, const Sequence<Element> &sequence)
{
    archive(cereal::make_size_tag(static_cast<cereal::size_type>(sequence.elements.size())));
    for (const auto &element : sequence.elements) {
        archive(element);
    }
}

template<class Element>
void CEREAL_LOAD_FUNCTION_NAME(BytesInput &archive, Sequence<Element> &sequence)
{
    const auto size = archive.readSize();
    sequence.elements.clear();
    for (std::size_t i = 0; i < size; ++i) {
        archive(sequence.elements.emplace_back());
    }
}

/** An enumerator of an enum whose values go from 0 to last. */
template<class Enum>
struct EnumByte {
    Enum &value;
    Enum last;
};

template<class Enum>
EnumByte<Enum> enumByte(Enum &value, Enum last)
{
    return {value, last};
}

template<class Enum>
void CEREAL_SAVE_FUNCTION_NAME(BytesOutput &archive, const EnumByte<Enum> &holder)
{
    archive.writeNumber(static_cast<std::uint64_t>(holder.value), 1);
}

template<class Enum>
void CEREAL_LOAD_FUNCTION_NAME(BytesInput &archive, EnumByte<Enum> &holder)
{
    const auto number = archive.readNumber(1);
    if (number > static_cast<std::uint64_t>(holder.last)) {
        throw cereal::Exception("an enumerator is not known");
    }
    holder.value = static_cast<Enum>(number);
}

} // namespace Filbertlanding
