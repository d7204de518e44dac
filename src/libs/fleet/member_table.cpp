#include "fleet/member_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace almondtiller::fleet {

namespace {

/// An update is sent this many times for each doubling of the fleet.
constexpr auto retransmit_factor = std::uint32_t(3);

auto is_newer(const member& left, const member& right) -> bool
{
    return std::pair(left.incarnation, left.state) >
           std::pair(right.incarnation, right.state);
}

} // namespace

member_table::member_table(const member& self) : self_id(self.id)
{
    this->store(self);
}

auto member_table::merge(const member& update) -> bool
{
    const auto found = this->records_by_id.find(update.id);
    if (found != this->records_by_id.end() &&
        !is_newer(update, found->second)) {
        return false;
    }
    if (update.id == this->self_id) {
        auto refuting = found->second;
        refuting.incarnation = update.incarnation + 1;
        this->store(refuting);
        return true;
    }
    this->store(update);
    return true;
}

auto member_table::merge_without_gossip(const member& record) -> bool
{
    if (!this->merge(record)) {
        return false;
    }
    this->send_counts.erase(record.id);
    return true;
}

auto member_table::raise_incarnation(std::uint64_t incarnation) -> void
{
    auto raised = this->self();
    if (raised.incarnation < incarnation) {
        raised.incarnation = incarnation;
        this->store(raised);
        // Not gossiped: the other nodes get it from the same source.
        this->send_counts.erase(raised.id);
    }
}

auto member_table::leave() -> void
{
    auto leaving = this->self();
    leaving.state = member_state::leaving;
    this->store(leaving);
}

auto member_table::remove(const core::node_id& id) -> void
{
    const auto found = this->records_by_id.find(id);
    if (found != this->records_by_id.end()) {
        this->toggle_in_hash(found->second);
        this->records_by_id.erase(found);
    }
    this->send_counts.erase(id);
}

auto member_table::requeue_self() -> void
{
    this->send_counts[this->self_id] = 0;
}

auto member_table::self() const -> const member&
{
    return this->records_by_id.at(this->self_id);
}

auto member_table::is_self(const member& record) const -> bool
{
    return record.id == this->self_id;
}

auto member_table::has_peers() const -> bool
{
    return std::any_of(this->records_by_id.begin(), this->records_by_id.end(),
                       [this](const auto& item) {
                           return item.second.state != member_state::dead &&
                                  !this->is_self(item.second);
                       });
}

auto member_table::find(const core::node_id& id) const -> const member*
{
    const auto found = this->records_by_id.find(id);
    return found == this->records_by_id.end() ? nullptr : &found->second;
}

auto member_table::members() const -> std::vector<member>
{
    auto listed = this->records();
    std::erase_if(listed, [](const member& record) {
        return record.state == member_state::dead;
    });
    return listed;
}

auto member_table::records() const -> std::vector<member>
{
    auto listed = std::vector<member>();
    listed.reserve(this->records_by_id.size());
    for (const auto& [id, record] : this->records_by_id) {
        listed.push_back(record);
    }
    return listed;
}

auto member_table::hash() const -> std::uint64_t
{
    return this->table_hash;
}

auto member_table::take_updates(std::size_t limit) -> std::vector<member>
{
    using entry = std::map<core::node_id, std::uint32_t>::iterator;
    auto order = std::vector<entry>();
    for (auto at = this->send_counts.begin(); at != this->send_counts.end();
         ++at) {
        order.push_back(at);
    }
    const auto taken = std::min(limit, order.size());
    std::partial_sort(order.begin(), order.begin() + std::ptrdiff_t(taken),
                      order.end(), [](const entry& left, const entry& right) {
                          return std::tie(left->second, left->first) <
                                 std::tie(right->second, right->first);
                      });
    order.resize(taken);
    auto updates = std::vector<member>();
    const auto max_sends = this->max_retransmissions();
    for (const auto& at : order) {
        updates.push_back(this->records_by_id.at(at->first));
        if (++at->second >= max_sends) {
            this->send_counts.erase(at);
        }
    }
    return updates;
}

auto member_table::sample(std::size_t limit, core::random_source& random) const
    -> std::vector<member>
{
    auto alive_records = std::vector<const member*>();
    auto other_records = std::vector<const member*>();
    for (const auto& [id, record] : this->records_by_id) {
        (record.state == member_state::alive ? alive_records : other_records)
            .push_back(&record);
    }
    auto sampled = std::vector<member>();
    const auto draw = [&](std::vector<const member*>& from, std::size_t most) {
        while (!from.empty() && sampled.size() < most) {
            std::swap(from[random.below(from.size())], from.back());
            sampled.push_back(*from.back());
            from.pop_back();
        }
    };
    // A node that has just read the platform's list treats every node on it
    // as alive, so records of other states are the ones that it lacks.
    draw(other_records, (limit + 1) / 2);
    draw(alive_records, limit);
    draw(other_records, limit);
    return sampled;
}

auto member_table::store(const member& record) -> void
{
    const auto found = this->records_by_id.find(record.id);
    if (found != this->records_by_id.end()) {
        this->toggle_in_hash(found->second);
    }
    this->toggle_in_hash(record);
    this->records_by_id[record.id] = record;
    this->send_counts[record.id] = 0;
}

auto member_table::max_retransmissions() const -> std::uint32_t
{
    return retransmit_factor *
           std::uint32_t(std::bit_width(this->records_by_id.size()));
}

auto member_table::toggle_in_hash(const member& record) -> void
{
    if (record.state == member_state::dead) {
        return;
    }
    const auto seed = record.incarnation * 4 + std::uint64_t(record.state);
    this->table_hash ^= XXH3_64bits_withSeed(record.id.str().data(),
                                             record.id.str().size(), seed);
}

} // namespace almondtiller::fleet
