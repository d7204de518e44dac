#include "services/gateway/stage_plan.h"

#include "dispatch/stage_limits.h"

#include <algorithm>
#include <map>
#include <utility>

namespace almondtiller::gateway {

namespace {

/// Expected time for the wait before a stage's call and for the transfer of its
/// results.
constexpr auto expected_wait_ms = 60.0;
/// A stage starts when the longest remaining time of all running and ready
/// stages is at most this multiple of its own. The factor is above 1 because
/// the stage may wait longer than the others.
constexpr auto early_start_factor = 1.5;
/// Memory of a handle, which consists of an address and a number.
constexpr auto handle_bytes = sizeof(std::string) + 48;
/// The work is kept until it is done, in the message to its owner or the
/// owner's queue, and in calls.
constexpr auto work_copies = 3.0;

} // namespace

stage_plan::stage_plan(const serving::route& route,
                       const serving::caller_request& source,
                       const serving::configuration& config,
                       core::time_point due_at, core::time_point deadline_at,
                       int request_priority, core::zone_name preferred,
                       zone_lookup lookup)
    : request(source.id),
      key(source.piece_key),
      due(due_at),
      deadline(deadline_at),
      priority(request_priority),
      zone(std::move(preferred)),
      find_zone(std::move(lookup))
{
    for (auto index = std::size_t(0); index < route.stages.size(); ++index) {
        auto added = entry();
        added.spec = route.stages[index];
        added.pieces = index < source.pieces.size() ? source.pieces[index] : 0;
        added.is_started = added.pieces == 0;
        added.is_done = added.is_started;
        const auto* service = config.find_service(added.spec.service);
        if (service != nullptr && service->stages) {
            added.run_time =
                service->stages->call_time +
                service->stages->item_time *
                    double(std::min(added.pieces, service->stages->batch));
        }
        this->stages.push_back(std::move(added));
    }
    for (auto index = this->stages.size(); index-- > 0;) {
        const auto& later = this->stages[index];
        for (const auto predecessor : later.spec.after) {
            if (later.pieces == 0 || predecessor >= this->stages.size()) {
                continue;
            }
            auto& earlier = this->stages[predecessor];
            const auto wait =
                std::chrono::duration<double, std::milli>(expected_wait_ms);
            earlier.time_to_last_end =
                std::max(earlier.time_to_last_end,
                         later.run_time + later.time_to_last_end + wait);
        }
    }
}

auto stage_plan::remaining_time(const entry& stage)
    -> std::chrono::duration<double, std::milli>
{
    return std::chrono::duration<double, std::milli>(expected_wait_ms) +
           stage.run_time + stage.time_to_last_end;
}

auto stage_plan::has_inputs(const entry& stage) const -> bool
{
    return std::all_of(stage.spec.after.begin(), stage.spec.after.end(),
                       [this](auto predecessor) {
                           return predecessor >= this->stages.size() ||
                                  this->stages[predecessor].is_done;
                       });
}

auto stage_plan::start_ready() -> std::vector<std::size_t>
{
    auto longest = std::chrono::duration<double, std::milli>(0);
    for (const auto& stage : this->stages) {
        if (!stage.is_done && this->has_inputs(stage)) {
            longest = std::max(longest, remaining_time(stage));
        }
    }
    auto ready = std::vector<std::size_t>();
    for (auto index = std::size_t(0); index < this->stages.size(); ++index) {
        auto& stage = this->stages[index];
        if (!stage.is_started && this->has_inputs(stage) &&
            remaining_time(stage) * early_start_factor >= longest) {
            stage.is_started = true;
            ready.push_back(index);
        }
    }
    return ready;
}

auto stage_plan::takes_results(const entry& stage) const -> bool
{
    return std::any_of(stage.spec.after.begin(), stage.spec.after.end(),
                       [this](auto predecessor) {
                           return predecessor < this->stages.size() &&
                                  this->stages[predecessor].pieces > 0;
                       });
}

auto stage_plan::inputs_of(const entry& stage) const -> std::vector<std::string>
{
    auto handles = std::vector<std::string>();
    for (const auto predecessor : stage.spec.after) {
        if (predecessor < this->stages.size()) {
            const auto& results = this->stages[predecessor].handles;
            handles.insert(handles.end(), results.begin(), results.end());
        }
    }
    return handles;
}

auto stage_plan::work_of(std::size_t index) const -> dispatch::stage_work
{
    const auto& stage = this->stages[index];
    auto work = dispatch::stage_work();
    const auto inputs = this->inputs_of(stage);
    for (auto piece = std::uint32_t(0); piece < stage.pieces; ++piece) {
        auto item = serving::stage_item();
        item.request = this->request;
        item.stage = std::uint32_t(index);
        item.piece = piece;
        if (this->takes_results(stage)) {
            item.inputs = inputs;
        } else {
            item.key = this->key;
        }
        work.items.push_back(std::move(item));
    }
    work.due = this->due - dispatch::as_duration(stage.time_to_last_end);
    work.deadline =
        this->deadline - dispatch::as_duration(stage.time_to_last_end);
    work.priority = this->priority;
    work.zone = this->zone_for(stage);
    work.result_bytes = stage.spec.result_bytes;
    work.transfer_bytes = this->transfer_bytes(index);
    return work;
}

auto stage_plan::work_bytes() const -> double
{
    const auto item_bytes =
        double(sizeof(serving::stage_item) + this->request.str().size() +
               this->key.size());
    auto bytes = 0.0;
    for (const auto& stage : this->stages) {
        // Each piece has its own list of all inputs.
        auto inputs = 0.0;
        for (const auto predecessor : stage.spec.after) {
            inputs += predecessor < this->stages.size()
                          ? double(this->stages[predecessor].pieces)
                          : 0.0;
        }
        bytes += double(stage.pieces) *
                 (item_bytes + (inputs + 1.0) * double(handle_bytes));
    }
    return bytes * work_copies;
}

auto stage_plan::zone_for(const entry& stage) const -> core::zone_name
{
    auto held = std::map<core::zone_name, std::uint64_t>();
    for (const auto predecessor : stage.spec.after) {
        if (predecessor < this->stages.size()) {
            const auto& input = this->stages[predecessor];
            for (const auto& handle : input.handles) {
                held[this->find_zone(handle)] +=
                    input.spec.result_bytes * stage.pieces;
            }
        }
    }
    held.erase(core::zone_name());
    const auto most_held = std::max_element(
        held.begin(), held.end(), [](const auto& left, const auto& right) {
            return left.second < right.second;
        });
    if (most_held == held.end()) {
        return this->zone;
    }
    const auto saved = most_held->second - held[this->zone];
    return saved >= dispatch::large_transfer_bytes ? most_held->first
                                                   : this->zone;
}

auto stage_plan::transfer_bytes(std::size_t index) const -> std::uint64_t
{
    const auto& stage = this->stages[index];
    auto bytes = std::uint64_t(0);
    for (const auto predecessor : stage.spec.after) {
        if (predecessor < this->stages.size()) {
            const auto& input = this->stages[predecessor];
            bytes += input.spec.result_bytes * input.pieces;
        }
    }
    // Each piece of a later stage fetches all results separately.
    auto readers = std::uint64_t(0);
    for (const auto& later : this->stages) {
        const auto& after = later.spec.after;
        if (std::find(after.begin(), after.end(), index) != after.end()) {
            readers += later.pieces;
        }
    }
    bytes += stage.spec.result_bytes * std::max<std::uint64_t>(readers, 1);
    return bytes * stage.pieces;
}

auto stage_plan::service_of(std::size_t index) const
    -> const serving::service_name&
{
    return this->stages[index].spec.service;
}

auto stage_plan::has_consumer(std::size_t index) const -> bool
{
    return std::any_of(
        this->stages.begin(), this->stages.end(), [index](const auto& other) {
            return other.pieces > 0 &&
                   std::find(other.spec.after.begin(), other.spec.after.end(),
                             index) != other.spec.after.end();
        });
}

auto stage_plan::has_unfinished_consumer(std::size_t index) const -> bool
{
    return std::any_of(
        this->stages.begin(), this->stages.end(), [index](const auto& other) {
            return !other.is_done &&
                   std::find(other.spec.after.begin(), other.spec.after.end(),
                             index) != other.spec.after.end();
        });
}

auto stage_plan::release(std::size_t index) -> released_results
{
    auto& stage = this->stages[index];
    return {stage.spec.service, std::exchange(stage.handles, {})};
}

auto stage_plan::on_done(std::size_t index, std::vector<std::string> handles)
    -> std::vector<released_results>
{
    auto& stage = this->stages[index];
    stage.is_done = true;
    stage.handles = std::move(handles);
    auto released = std::vector<released_results>();
    for (const auto predecessor : stage.spec.after) {
        if (predecessor < this->stages.size() &&
            !this->stages[predecessor].handles.empty() &&
            !this->has_unfinished_consumer(predecessor)) {
            released.push_back(this->release(predecessor));
        }
    }
    return released;
}

auto stage_plan::needs_key() const -> bool
{
    return std::any_of(
        this->stages.begin(), this->stages.end(), [this](const auto& stage) {
            return stage.pieces > 0 && !this->takes_results(stage);
        });
}

auto stage_plan::is_complete() const -> bool
{
    return std::all_of(this->stages.begin(), this->stages.end(),
                       [](const auto& stage) { return stage.is_done; });
}

auto stage_plan::inputs() const -> std::vector<std::string>
{
    auto handles = std::vector<std::string>();
    for (auto index = std::size_t(0); index < this->stages.size(); ++index) {
        const auto& results = this->stages[index].handles;
        if (!this->has_consumer(index)) {
            handles.insert(handles.end(), results.begin(), results.end());
        }
    }
    return handles;
}

auto stage_plan::input_bytes() const -> std::vector<std::uint64_t>
{
    auto sizes = std::vector<std::uint64_t>();
    for (auto index = std::size_t(0); index < this->stages.size(); ++index) {
        const auto& stage = this->stages[index];
        if (!this->has_consumer(index)) {
            sizes.insert(sizes.end(), stage.handles.size(),
                         stage.spec.result_bytes);
        }
    }
    return sizes;
}

auto stage_plan::held_results(const serving::service_name& service) const
    -> std::vector<std::string>
{
    auto held = std::vector<std::string>();
    for (const auto& stage : this->stages) {
        if (stage.spec.service == service) {
            held.insert(held.end(), stage.handles.begin(), stage.handles.end());
        }
    }
    return held;
}

auto stage_plan::reset() -> std::vector<released_results>
{
    auto released = std::vector<released_results>();
    for (auto index = std::size_t(0); index < this->stages.size(); ++index) {
        auto& stage = this->stages[index];
        if (!stage.handles.empty()) {
            released.push_back(this->release(index));
        }
        stage.is_started = stage.pieces == 0;
        stage.is_done = stage.is_started;
    }
    return released;
}

} // namespace almondtiller::gateway
