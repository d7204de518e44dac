#include "memory_budget/memory_budget.h"

#include <tuple>

namespace almondtiller::memory_budget {

namespace {

auto is_callers_request(port_group group, const holder_load& load) -> bool
{
    return group == port_group::callers && load.phase == holder_phase::running;
}

} // namespace

auto limits_for(std::uint64_t memory_bytes, std::uint32_t max_descriptors)
    -> budget_limits
{
    // The rest is for the process itself, its configuration, the allocator and
    // the kernel.
    constexpr auto memory_part = std::uint64_t(3);
    // Shares of the descriptors in 32nds. A running request has a connection to
    // an upstream. Five remain for the store, links to peers and listeners.
    constexpr auto whole = std::size_t(32);
    constexpr auto callers = std::size_t(12);
    constexpr auto control = std::size_t(1);
    constexpr auto peers = std::size_t(4);
    constexpr auto requests = std::size_t(10);
    const auto descriptors = std::size_t(max_descriptors);
    return {std::size_t(memory_bytes / memory_part),
            {descriptors * callers / whole, descriptors * control / whole,
             descriptors * peers / whole},
            descriptors * requests / whole};
}

memory_budget::memory_budget(const budget_limits& limits_in_force)
    : limits(limits_in_force)
{}

auto memory_budget::open(port_group group, const std::string& address,
                         core::time_point now) -> holder_id
{
    const auto index = std::size_t(group);
    this->holders[++this->last_id] = {group, address, {}, now};
    ++this->connection_counts.at(index);
    ++this->addresses[address].connections.at(index);
    return this->last_id;
}

auto memory_budget::update(holder_id holder, const holder_load& load,
                           core::time_point now) -> void
{
    const auto found = this->holders.find(holder);
    if (found == this->holders.end() || found->second.load == load) {
        return;
    }
    auto& changed = found->second;
    if (load.bytes != changed.load.bytes) {
        this->addresses[changed.address].bytes +=
            load.bytes - changed.load.bytes;
        this->total_bytes += load.bytes - changed.load.bytes;
    }
    this->running_requests += is_callers_request(changed.group, load) ? 1 : 0;
    this->running_requests -=
        is_callers_request(changed.group, changed.load) ? 1 : 0;
    changed.load = load;
    changed.last_progress = now;
}

auto memory_budget::close(holder_id holder) -> void
{
    const auto found = this->holders.find(holder);
    if (found == this->holders.end()) {
        return;
    }
    this->update(holder, {}, found->second.last_progress);
    const auto index = std::size_t(found->second.group);
    --this->connection_counts.at(index);
    const auto address = this->addresses.find(found->second.address);
    --address->second.connections.at(index);
    if (address->second.connections == address_use().connections) {
        this->addresses.erase(address);
    }
    this->holders.erase(found);
}

auto memory_budget::may_run(holder_id holder) const -> bool
{
    const auto found = this->holders.find(holder);
    return found == this->holders.end() ||
           found->second.group != port_group::callers ||
           found->second.load.phase == holder_phase::running ||
           this->running_requests < this->limits.requests;
}

auto memory_budget::exceeds_byte_share(const account& holder) const -> bool
{
    const auto share = this->limits.bytes / this->addresses.size();
    return this->addresses.at(holder.address).bytes > share;
}

auto memory_budget::exceeds_connection_share(const account& holder) const
    -> bool
{
    const auto index = std::size_t(holder.group);
    const auto share =
        this->limits.connections.at(index) / this->addresses.size();
    return this->addresses.at(holder.address).connections.at(index) > share;
}

auto memory_budget::over_bytes(core::time_point now) const
    -> std::optional<holder_id>
{
    if (this->total_bytes <= this->limits.bytes) {
        return std::nullopt;
    }
    auto worst = std::optional<holder_id>();
    auto worst_rank = std::tuple(false, false, false, 0.0);
    // The end of a holder with less would free too little.
    constexpr auto min_freed = std::size_t(16384);
    for (const auto& [id, holder] : this->holders) {
        if (holder.load.bytes == 0) {
            continue;
        }
        // The addend lets the size decide between holders with recent progress.
        constexpr auto recent = std::chrono::milliseconds(100);
        const auto age =
            std::chrono::duration<double>(now - holder.last_progress + recent);
        const auto rank = std::tuple(holder.load.bytes >= min_freed,
                                     holder.load.phase != holder_phase::running,
                                     this->exceeds_byte_share(holder),
                                     double(holder.load.bytes) * age.count());
        if (!worst || rank > worst_rank) {
            worst = id;
            worst_rank = rank;
        }
    }
    return worst;
}

auto memory_budget::over_connections(holder_id newest,
                                     core::time_point now) const
    -> std::optional<holder_id>
{
    const auto found = this->holders.find(newest);
    if (found == this->holders.end()) {
        return std::nullopt;
    }
    const auto group = found->second.group;
    if (this->connections(group) <=
        this->limits.connections.at(std::size_t(group))) {
        return std::nullopt;
    }
    auto worst = newest;
    auto worst_rank = std::tuple(false, core::duration::zero());
    for (const auto& [id, holder] : this->holders) {
        if (holder.group != group ||
            holder.load.phase == holder_phase::running) {
            continue;
        }
        const auto rank = std::tuple(this->exceeds_connection_share(holder),
                                     now - holder.last_progress);
        if (rank > worst_rank) {
            worst = id;
            worst_rank = rank;
        }
    }
    return worst;
}

auto memory_budget::phase(holder_id holder) const -> holder_phase
{
    const auto found = this->holders.find(holder);
    return found == this->holders.end() ? holder_phase::idle
                                        : found->second.load.phase;
}

auto memory_budget::bytes() const -> std::size_t
{
    return this->total_bytes;
}

auto memory_budget::connections(port_group group) const -> std::size_t
{
    return this->connection_counts.at(std::size_t(group));
}

} // namespace almondtiller::memory_budget
