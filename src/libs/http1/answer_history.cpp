#include "http1/answer_history.h"

#include <functional>

namespace almondtiller::http1 {

namespace {

/// Bounds the memory of a connection to some 32 KiB.
constexpr auto max_values = std::size_t(4096);

auto hash_of(const std::string& value) -> std::uint64_t
{
    return std::hash<std::string>()(value);
}

} // namespace

auto answer_history::contains(const std::string& value) const -> bool
{
    return this->known.contains(hash_of(value));
}

auto answer_history::record(const std::vector<std::string>& values) -> bool
{
    auto added = boost::container::flat_set<std::uint64_t>();
    for (const auto& value : values) {
        const auto hash = hash_of(value);
        if (this->known.contains(hash) || !added.insert(hash).second) {
            return false;
        }
    }
    this->known.insert(added.begin(), added.end());
    return true;
}

auto answer_history::is_full() const -> bool
{
    return this->known.size() >= max_values;
}

} // namespace almondtiller::http1
