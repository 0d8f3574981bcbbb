#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lovage::placement {

struct TextHash
{
    using is_transparent = void;
    size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
};

// Maps strings to numbers, which count from 0 in the order in which the strings are added.
class Interner
{
public:
    uint32_t intern(std::string_view text)
    {
        const auto found = ids_.find(text);
        if (found != ids_.end())
            return found->second;
        const auto id = static_cast<uint32_t>(ids_.size());
        ids_.emplace(text, id);
        return id;
    }

    // Returns size() for an unknown string.
    uint32_t find(std::string_view text) const
    {
        const auto found = ids_.find(text);
        return found == ids_.end() ? size() : found->second;
    }

    uint32_t size() const { return static_cast<uint32_t>(ids_.size()); }

private:
    std::unordered_map<std::string, uint32_t, TextHash, std::equal_to<>> ids_;
};

} // namespace lovage::placement
