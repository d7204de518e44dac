#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondtiller::fake_platform {

/// An object and its value as JSON text.
struct stored_object
{
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    std::string value;
};

struct stored_event
{
    bool removed = false;
    stored_object object;
};

/// The outcome of a write: an HTTP status and the new version.
struct write_outcome
{
    int status = 0;
    std::uint64_t version = 0;
};

/// Versioned objects with conditional writes. Not thread-safe.
class object_table
{
public:
    /// \param expected Empty when the object must not exist.
    auto put(const std::string& kind, const std::string& name,
             std::optional<std::uint64_t> expected, const std::string& value)
        -> write_outcome;
    auto remove(const std::string& kind, const std::string& name,
                std::uint64_t expected) -> write_outcome;

    [[nodiscard]] auto find(const std::string& kind,
                            const std::string& name) const
        -> const stored_object*;
    [[nodiscard]] auto list(const std::string& kind) const
        -> std::vector<stored_object>;

    /// \return Nothing when events after \a revision are no longer kept.
    [[nodiscard]] auto events_after(const std::string& kind,
                                    std::uint64_t revision) const
        -> std::optional<std::vector<stored_event>>;
    [[nodiscard]] auto revision() const -> std::uint64_t;

private:
    struct event_log
    {
        std::uint64_t dropped_up_to = 0;
        std::deque<stored_event> events;
    };

    auto add_event(stored_event event) -> void;

    std::uint64_t last_revision = 0;
    std::map<std::string, std::map<std::string, stored_object>> kinds;
    std::map<std::string, event_log> logs;
};

} // namespace almondtiller::fake_platform
