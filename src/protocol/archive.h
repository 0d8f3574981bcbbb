// Archives in cereal's portable binary format that bound allocation by the size of the input.
// Included only by the .cpp files of the protocol.
#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <streambuf>
#include <string>
#include <string_view>
#include <vector>

namespace lovage::detail {

// Read-only stream buffer over bytes owned by the caller.
class ViewBuffer : public std::streambuf
{
public:
    explicit ViewBuffer(std::string_view bytes)
    {
        char *begin = const_cast<char *>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }
    size_t remaining() const { return static_cast<size_t>(egptr() - gptr()); }
};

struct ViewStream
{
    explicit ViewStream(std::string_view bytes) : buffer(bytes), stream(&buffer) { }

    ViewBuffer buffer;
    std::istream stream;
};

// Input archive that knows the number of remaining bytes. cereal allocates by the length fields it
// reads; the load functions below check each length against the remaining bytes before they
// allocate.
class BoundedInput : private ViewStream, public cereal::PortableBinaryInputArchive
{
public:
    explicit BoundedInput(std::string_view bytes)
        : ViewStream(bytes), cereal::PortableBinaryInputArchive(stream)
    { }
    size_t remaining() const { return buffer.remaining(); }
};

// Reads a length field. Every element takes at least one byte, so a length that exceeds the
// remaining bytes is malformed.
inline size_t loadLength(cereal::PortableBinaryInputArchive &archive)
{
    uint32_t length = 0;
    archive(length);
    // The downcast is safe because the decoder constructs no other input archive.
    if (length > static_cast<BoundedInput &>(archive).remaining())
        throw cereal::Exception("length field exceeds the remaining bytes");
    return length;
}

inline void saveLength(cereal::PortableBinaryOutputArchive &archive, size_t length)
{
    archive(static_cast<uint32_t>(length));
}

} // namespace lovage::detail

// These functions replace cereal/types/string.hpp and cereal/types/vector.hpp, which allocate by
// the unchecked length field and write it with 64 bits instead of 32.
namespace cereal {

inline void CEREAL_SAVE_FUNCTION_NAME(PortableBinaryOutputArchive &archive, const std::string &text)
{
    lovage::detail::saveLength(archive, text.size());
    archive(binary_data(text.data(), text.size()));
}

inline void CEREAL_LOAD_FUNCTION_NAME(PortableBinaryInputArchive &archive, std::string &text)
{
    text.resize(lovage::detail::loadLength(archive));
    archive(binary_data(text.data(), text.size()));
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(PortableBinaryOutputArchive &archive, const std::vector<T> &items)
{
    lovage::detail::saveLength(archive, items.size());
    for (const T &item : items)
        archive(item);
}

// Appends element by element instead of reserving the length, because an element can be much larger
// in memory than its encoding.
template<class T>
void CEREAL_LOAD_FUNCTION_NAME(PortableBinaryInputArchive &archive, std::vector<T> &items)
{
    const size_t length = lovage::detail::loadLength(archive);
    items.clear();
    for (size_t i = 0; i < length; ++i) {
        items.emplace_back();
        archive(items.back());
    }
}

} // namespace cereal
