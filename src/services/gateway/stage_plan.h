#pragma once

#include "core/clock.h"
#include "dispatch/placement.h"
#include "dispatch/stage_queue.h"
#include "serving/configuration.h"
#include "serving/request.h"

#include <functional>
#include <string>
#include <vector>

namespace almondtiller::gateway {

/// Results that are no longer needed, by the service that made them.
struct released_results
{
    serving::service_name service;
    std::vector<std::string> handles;

    auto operator==(const released_results&) const -> bool = default;
};

/// The stages of one request: which can run now, what they take, and which
/// results the request itself takes. A state machine without I/O.
class stage_plan
{
public:
    /// \return Where a result is held, empty if that is not known.
    using zone_of_result =
        std::function<core::zone_name(const std::string& handle)>;

    /// \param due The request is late if its stages end after that.
    /// \param zone Where the request itself will run.
    stage_plan(const serving::route& route,
               const serving::caller_request& request,
               const serving::configuration& config, core::time_point due,
               core::time_point deadline, int priority, core::zone_name zone,
               zone_of_result holder);

    /// Load pattern: in a burst, results that wait for a chain of other stages
    /// fill the room of their upstreams, whose calls then carry one piece.
    /// \return Stages that can start now and whose results won't wait long for
    ///         those of others; they count as started.
    auto start_ready() -> std::vector<std::size_t>;

    [[nodiscard]] auto work_of(std::size_t stage) const -> dispatch::stage_work;
    [[nodiscard]] auto service_of(std::size_t stage) const
        -> const serving::service_name&;

    /// A stage is done.
    /// \return Results that no other stage takes any more.
    auto on_done(std::size_t stage, std::vector<std::string> handles)
        -> std::vector<released_results>;

    [[nodiscard]] auto is_complete() const -> bool;

    /// \return Handles that the request itself takes.
    [[nodiscard]] auto inputs() const -> std::vector<std::string>;

    /// \return Size of a result of each input, in the order of inputs().
    [[nodiscard]] auto input_bytes() const -> std::vector<std::uint64_t>;

    /// \return All results that still stand; the plan starts over.
    auto reset() -> std::vector<released_results>;

private:
    struct entry
    {
        serving::stage spec;
        std::uint32_t pieces = 0;
        std::chrono::duration<double, std::milli> own_time{0};
        /// Usual time from the end of this stage to the end of the request's
        /// last stage.
        std::chrono::duration<double, std::milli> time_after{0};
        bool is_started = false;
        bool is_done = false;
        std::vector<std::string> handles;
    };

    /// \return Usual time from the start of a stage to the end of the
    ///         request's last stage.
    [[nodiscard]] static auto path(const entry& stage)
        -> std::chrono::duration<double, std::milli>;
    [[nodiscard]] auto has_inputs(const entry& stage) const -> bool;
    [[nodiscard]] auto is_consumed_later(std::size_t stage) const -> bool;
    [[nodiscard]] auto has_consumer(std::size_t stage) const -> bool;
    [[nodiscard]] auto inputs_of(const entry& stage) const
        -> std::vector<std::string>;
    [[nodiscard]] auto transfer_bytes(std::size_t stage) const -> std::uint64_t;
    /// Load pattern: a stage that is short of room in its own zone is done in
    /// another, and each piece of the next one takes all of its results.
    /// \return The zone in which a stage moves the fewest bytes.
    [[nodiscard]] auto zone_for(const entry& stage) const -> core::zone_name;
    auto release(std::size_t stage) -> released_results;

    std::vector<entry> stages;
    core::request_id request;
    std::string key;
    core::time_point due;
    core::time_point deadline;
    int priority;
    core::zone_name zone;
    zone_of_result holder;
};

} // namespace almondtiller::gateway
