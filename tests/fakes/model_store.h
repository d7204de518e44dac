#pragma once

#include "core/random.h"
#include "core/result.h"
#include "platform/platform_errc.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace almondtiller::fakes {

/// One object of a store whose answers may be lost and whose writes may take
/// effect late, but each at most once and only on its own precondition.
class model_store
{
public:
    using read_answer = core::result<std::pair<std::uint64_t, std::string>>;
    using write_answer = core::result<std::uint64_t>;

    explicit model_store(std::uint64_t seed) : random(seed)
    {}

    auto read() -> read_answer
    {
        this->land_some();
        if (this->chance(this->failure_share)) {
            return make_error_code(platform::platform_errc::unavailable);
        }
        if (!this->version) {
            return make_error_code(platform::platform_errc::not_found);
        }
        return std::pair(*this->version, this->value);
    }

    auto write(std::optional<std::uint64_t> expected, const std::string& text)
        -> write_answer
    {
        this->land_some();
        if (this->chance(this->failure_share)) {
            return make_error_code(platform::platform_errc::unavailable);
        }
        if (this->chance(this->late_share)) {
            this->delayed.emplace_back(expected, text);
            return make_error_code(platform::platform_errc::outcome_unknown);
        }
        const auto applied = this->apply(expected, text);
        if (this->chance(this->lost_share)) {
            return make_error_code(platform::platform_errc::outcome_unknown);
        }
        if (!applied) {
            return make_error_code(platform::platform_errc::version_conflict);
        }
        return *this->version;
    }

    double failure_share = 0.1;
    double late_share = 0.15;
    double lost_share = 0.15;
    std::optional<std::uint64_t> version;
    std::string value;

private:
    using delayed_write = std::pair<std::optional<std::uint64_t>, std::string>;

    auto chance(double share) -> bool
    {
        return this->random.unit() < share;
    }

    auto apply(std::optional<std::uint64_t> expected, const std::string& text)
        -> bool
    {
        if (expected != this->version) {
            return false;
        }
        this->version = this->version.value_or(0) + 1;
        this->value = text;
        return true;
    }

    auto land_some() -> void
    {
        auto kept = std::vector<delayed_write>();
        for (const auto& [expected, text] : this->delayed) {
            if (this->chance(0.5)) {
                this->apply(expected, text);
            } else {
                kept.emplace_back(expected, text);
            }
        }
        this->delayed = std::move(kept);
    }

    core::random_source random;
    std::vector<delayed_write> delayed;
};

} // namespace almondtiller::fakes
