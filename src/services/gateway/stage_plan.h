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

/// Results that are no longer needed and the service that produced them.
struct released_results
{
    serving::service_name service;
    std::vector<std::string> handles;

    auto operator==(const released_results&) const -> bool = default;
};

/// The stages of one request: which can run now, their inputs, and which
/// results are inputs of the request itself. A stage without pieces is omitted:
/// it is neither run nor a predecessor or consumer of another stage. A state
/// machine without I/O.
class stage_plan
{
public:
    /// \return The zone that holds a result, empty if unknown.
    using zone_lookup =
        std::function<core::zone_name(const std::string& handle)>;

    /// \param due When the stages must end for the request to meet its target
    ///        latency.
    /// \param zone Zone in which the request itself will run.
    stage_plan(const serving::route& route,
               const serving::caller_request& request,
               const serving::configuration& config, core::time_point due,
               core::time_point deadline, int priority, core::zone_name zone,
               zone_lookup find_zone);

    /// Marks as started the stages whose inputs are complete and whose results
    /// won't wait long for those of other stages. Load pattern: in a burst,
    /// results that wait for a chain of other stages fill the result memory of
    /// their upstreams, whose calls then carry only one piece.
    /// \return The stages that were marked.
    auto start_ready() -> std::vector<std::size_t>;

    [[nodiscard]] auto work_of(std::size_t stage) const -> dispatch::stage_work;
    [[nodiscard]] auto service_of(std::size_t stage) const
        -> const serving::service_name&;

    /// Records that a stage is done.
    /// \return Results that no other stage needs any more.
    auto on_done(std::size_t stage, std::vector<std::string> handles)
        -> std::vector<released_results>;

    /// \return Whether a stage runs with the caller's piece key.
    [[nodiscard]] auto needs_key() const -> bool;

    [[nodiscard]] auto is_complete() const -> bool;

    /// \return Estimated bytes of the work of all stages, as far as the counts
    ///         of pieces determine them.
    [[nodiscard]] auto work_bytes() const -> double;

    /// \return Handles of the results that are inputs of the request itself.
    [[nodiscard]] auto inputs() const -> std::vector<std::string>;

    /// \return Size of each input in bytes, in the order of inputs().
    [[nodiscard]] auto input_bytes() const -> std::vector<std::uint64_t>;

    /// \return Handles of the results of a service that were not released.
    [[nodiscard]] auto held_results(const serving::service_name& service) const
        -> std::vector<std::string>;

    /// Returns the plan to its initial state.
    /// \return All results that have not been released.
    auto reset() -> std::vector<released_results>;

private:
    struct entry
    {
        serving::stage spec;
        std::uint32_t pieces = 0;
        std::chrono::duration<double, std::milli> run_time{0};
        /// Expected time from the end of this stage to the end of the
        /// request's last stage.
        std::chrono::duration<double, std::milli> time_to_last_end{0};
        bool is_started = false;
        bool is_done = false;
        std::vector<std::string> handles;
    };

    /// \return Expected time from the start of a stage to the end of the
    ///         request's last stage.
    [[nodiscard]] static auto remaining_time(const entry& stage)
        -> std::chrono::duration<double, std::milli>;
    [[nodiscard]] auto has_inputs(const entry& stage) const -> bool;
    [[nodiscard]] auto has_unfinished_consumer(std::size_t stage) const -> bool;
    [[nodiscard]] auto has_consumer(std::size_t stage) const -> bool;
    /// \return Whether the pieces of a stage take results of other stages, and
    ///         not the caller's piece key.
    [[nodiscard]] auto takes_results(const entry& stage) const -> bool;
    [[nodiscard]] auto inputs_of(const entry& stage) const
        -> std::vector<std::string>;
    [[nodiscard]] auto transfer_bytes(std::size_t stage) const -> std::uint64_t;
    /// Load pattern: a stage whose zone lacks capacity runs in another zone,
    /// and each piece of the next stage fetches all of its results.
    /// \return The zone in which the stage transfers the fewest bytes, or the
    ///         request's zone if the difference is small.
    [[nodiscard]] auto zone_for(const entry& stage) const -> core::zone_name;
    auto release(std::size_t stage) -> released_results;

    std::vector<entry> stages;
    core::request_id request;
    std::string key;
    core::time_point due;
    core::time_point deadline;
    int priority;
    core::zone_name zone;
    zone_lookup find_zone;
};

} // namespace almondtiller::gateway
