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
    const auto found = this->known.find(update.id);
    if (found != this->known.end() && !is_newer(update, found->second)) {
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

auto member_table::learn(const member& record) -> bool
{
    if (!this->merge(record)) {
        return false;
    }
    this->sent.erase(record.id);
    return true;
}

auto member_table::raise_incarnation(std::uint64_t incarnation) -> void
{
    auto raised = this->self();
    if (raised.incarnation < incarnation) {
        raised.incarnation = incarnation;
        this->store(raised);
        // Not gossiped: the other nodes get it from the same source.
        this->sent.erase(raised.id);
    }
}

auto member_table::leave() -> void
{
    auto leaving = this->self();
    leaving.state = member_state::leaving;
    this->store(leaving);
}

auto member_table::forget(const core::node_id& id) -> void
{
    const auto found = this->known.find(id);
    if (found != this->known.end()) {
        this->toggle_in_view(found->second);
        this->known.erase(found);
    }
    this->sent.erase(id);
}

auto member_table::requeue_self() -> void
{
    this->sent[this->self_id] = 0;
}

auto member_table::self() const -> const member&
{
    return this->known.at(this->self_id);
}

auto member_table::is_self(const member& record) const -> bool
{
    return record.id == this->self_id;
}

auto member_table::has_others() const -> bool
{
    return std::any_of(this->known.begin(), this->known.end(),
                       [this](const auto& item) {
                           return item.second.state != member_state::dead &&
                                  !this->is_self(item.second);
                       });
}

auto member_table::find(const core::node_id& id) const -> const member*
{
    const auto found = this->known.find(id);
    return found == this->known.end() ? nullptr : &found->second;
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
    listed.reserve(this->known.size());
    for (const auto& [id, record] : this->known) {
        listed.push_back(record);
    }
    return listed;
}

auto member_table::view() const -> std::uint64_t
{
    return this->view_hash;
}

auto member_table::take_updates(std::size_t limit) -> std::vector<member>
{
    using entry = std::map<core::node_id, std::uint32_t>::iterator;
    auto order = std::vector<entry>();
    for (auto at = this->sent.begin(); at != this->sent.end(); ++at) {
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
    const auto most = this->retransmissions();
    for (const auto& at : order) {
        updates.push_back(this->known.at(at->first));
        if (++at->second >= most) {
            this->sent.erase(at);
        }
    }
    return updates;
}

auto member_table::sample(std::size_t limit, core::random_source& random) const
    -> std::vector<member>
{
    auto usual = std::vector<const member*>();
    auto doubted = std::vector<const member*>();
    for (const auto& [id, record] : this->known) {
        (record.state == member_state::alive ? usual : doubted)
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
    draw(doubted, (limit + 1) / 2);
    draw(usual, limit);
    draw(doubted, limit);
    return sampled;
}

auto member_table::store(const member& record) -> void
{
    const auto found = this->known.find(record.id);
    if (found != this->known.end()) {
        this->toggle_in_view(found->second);
    }
    this->toggle_in_view(record);
    this->known[record.id] = record;
    this->sent[record.id] = 0;
}

auto member_table::retransmissions() const -> std::uint32_t
{
    return retransmit_factor *
           std::uint32_t(std::bit_width(this->known.size()));
}

auto member_table::toggle_in_view(const member& record) -> void
{
    if (record.state == member_state::dead) {
        return;
    }
    const auto seed = record.incarnation * 4 + std::uint64_t(record.state);
    this->view_hash ^= XXH3_64bits_withSeed(record.id.str().data(),
                                            record.id.str().size(), seed);
}

} // namespace almondtiller::fleet
