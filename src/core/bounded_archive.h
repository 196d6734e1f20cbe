/**
 * @file bounded_archive.h cereal archives for bytes from outside: little endian, with lengths checked against what is left.
 * cereal's own archives allocate whatever length they read. Include this header only in source files that encode or decode.
 */

#pragma once

#include <cereal/cereal.hpp>

#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

namespace Filbertlanding {

constexpr std::uint64_t MaxArchiveElements = 1'000'000; ///< Elements of one container; bounds memory when elements are larger in memory than on the wire.

/** Writes to a string. */
class BoundedOutputArchive : public cereal::OutputArchive<BoundedOutputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedOutputArchive(std::string &target)
        : OutputArchive(this)
        , out(target)
    {
    }

    /** Appends bytes. */
    void saveBinary(const void *data, std::size_t size)
    {
        this->out.append(static_cast<const char *>(data), size);
    }

private:
    std::string &out;
};

/** Reads from bytes; throws std::length_error when a length exceeds what is left. */
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedInputArchive(std::string_view source)
        : InputArchive(this)
        , rest(source)
    {
    }

    /** Takes bytes from the front. */
    void loadBinary(void *data, std::size_t size)
    {
        if (size > this->rest.size()) {
            throw std::length_error("message ends early");
        }
        std::memcpy(data, this->rest.data(), size);
        this->rest.remove_prefix(size);
    }

    /** Checks the number of elements of a container, each of which takes at least one byte. */
    void checkElements(std::uint64_t count) const
    {
        if (count > this->rest.size() || count > MaxArchiveElements) {
            throw std::length_error("length exceeds the message");
        }
    }

    /** Returns the bytes that are left. */
    std::size_t remaining() const
    {
        return this->rest.size();
    }

private:
    std::string_view rest;
};

template<class T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const T &value)
{
    static_assert(std::endian::native == std::endian::little, "the wire form is little endian");
    archive.saveBinary(&value, sizeof value);
}

template<class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, T &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t byte = 0;
        archive.loadBinary(&byte, 1);
        // Any other byte than 0 or 1 in a bool is undefined behaviour.
        value = byte != 0;
    } else {
        archive.loadBinary(&value, sizeof value);
    }
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const cereal::SizeTag<T> &tag)
{
    archive(static_cast<std::uint64_t>(tag.size));
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::SizeTag<T> &tag)
{
    std::uint64_t size = 0;
    archive(size);
    archive.checkElements(size);
    tag.size = static_cast<std::decay_t<T>>(size);
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const cereal::BinaryData<T> &data)
{
    archive.saveBinary(data.data, static_cast<std::size_t>(data.size));
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}

} // namespace Filbertlanding

CEREAL_REGISTER_ARCHIVE(Filbertlanding::BoundedOutputArchive)
CEREAL_REGISTER_ARCHIVE(Filbertlanding::BoundedInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(Filbertlanding::BoundedInputArchive, Filbertlanding::BoundedOutputArchive)
