#include "services/gateway/store_follower.h"

#include "services/gateway/follower_limits.h"
#include "services/gateway/snapshot_codec.h"

#include <algorithm>
#include <set>
#include <utility>

namespace almondtiller::gateway {

auto store_follower::encode_since(std::size_t kind,
                                  const serving::store_revision& since) const
    -> std::string
{
    const auto& mirror = *this->mirrors[kind];
    if (const auto changes = mirror.changes_since(since)) {
        return changes_mark +
               adapter::encode_changes(*changes, mirror.revision());
    }
    return page_mark +
           adapter::encode_page(mirror.objects(), mirror.revision());
}

auto store_follower::answer_request(const snapshot_request& request)
    -> std::string
{
    if (request.kind >= this->mirrors.size()) {
        return {};
    }
    // Earlier versions of the program do not know of eras.
    const auto own_era = this->mirrors[request.kind]->revision().era;
    return this->answer_since(request.kind,
                              {request.era.value_or(own_era), request.since},
                              request.may_compress);
}

auto store_follower::answer_since(std::size_t kind,
                                  const serving::store_revision& since,
                                  bool may_compress) -> std::string
{
    if (!may_compress) {
        return this->encode_since(kind, since);
    }
    const auto revision = this->mirrors[kind]->revision();
    auto& cache = this->snapshots[kind];
    if (cache.revision != revision) {
        cache.revision = revision;
        cache.by_since.clear();
    }
    const auto found = cache.by_since.find(since);
    if (found != cache.by_since.end()) {
        return found->second;
    }
    auto text = this->encode_since(kind, since);
    if (text.size() >= min_compressed_size) {
        if (const auto compressed = compress(text)) {
            text = compressed_mark + compressed.value();
        } else {
            this->log.write(severity::notice, "snapshot_not_packed",
                            {{"error", compressed.error().message()}});
        }
    }
    if (cache.by_since.size() < max_cached_snapshots) {
        cache.by_since[since] = text;
    }
    return text;
}

auto store_follower::fetch_delay(const core::node_id& peer, bool follows) const
    -> core::milliseconds
{
    if (!this->mesh.is_connected(peer)) {
        return unconnected_peer_delay;
    }
    return follows ? max_watch_silence : core::milliseconds(0);
}

auto store_follower::on_peer_revisions(
    const core::node_id& peer,
    const std::vector<serving::store_revision>& revisions) -> void
{
    const auto now = this->event_loop.now();
    for (auto kind = std::size_t(0);
         kind < std::min(revisions.size(), this->mirrors.size()); ++kind) {
        auto& mirror = *this->mirrors[kind];
        const auto own = mirror.revision();
        if (revisions[kind] > own &&
            this->throttles[kind].should_fetch(
                own, this->fetch_delay(peer, mirror.is_following()), now)) {
            this->fetch_from(peer, kind, own);
        }
    }
}

auto store_follower::on_peer_configuration(const core::node_id& peer,
                                           std::int64_t version) -> void
{
    const auto& in_force = this->serving_state.config();
    const auto own = in_force ? in_force->version : 0;
    const auto kind = index_of(adapter::object_kind::configurations);
    const auto follows = this->mirrors[kind]->is_following();
    if (version > own && this->configuration_throttle.should_fetch(
                             {0, own}, this->fetch_delay(peer, follows),
                             this->event_loop.now())) {
        this->fetch_from(peer, kind, {0, full_list});
    }
}

auto store_follower::fetch_from(const core::node_id& peer, std::size_t kind,
                                const serving::store_revision& since) -> void
{
    this->mesh.call(
        peer, snapshot_topic,
        encode_snapshot_request({kind, since.number, true, since.era}),
        snapshot_timeout,
        [this, peer, kind, since](const core::result<std::string>& answer) {
            (since.number == full_list ? this->configuration_throttle
                                       : this->throttles[kind])
                .on_answer();
            if (!answer) {
                this->log.write(severity::notice, "snapshot_failed",
                                {{"peer", peer.str()},
                                 {"kind", std::string(text_of(
                                              this->mirrors[kind]->kind()))},
                                 {"error", answer.error().message()}});
            } else if (!answer.value().empty()) {
                this->apply_snapshot(peer, kind, answer.value());
            }
        });
}

auto store_follower::apply_snapshot(const core::node_id& peer, std::size_t kind,
                                    const std::string& body) -> void
{
    if (body.front() == compressed_mark) {
        const auto text = decompress(std::string_view(body).substr(1));
        if (text && !text.value().empty() &&
            text.value().front() != compressed_mark) {
            this->apply_snapshot(peer, kind, text.value());
        } else {
            this->log.write(
                severity::notice, "snapshot_unreadable",
                {{"peer", peer.str()},
                 {"kind", std::string(text_of(this->mirrors[kind]->kind()))},
                 {"error", "cannot be decompressed"}});
        }
        return;
    }
    auto& mirror = *this->mirrors[kind];
    const auto previous_revision = mirror.revision();
    auto is_adopted = false;
    const auto text = std::string_view(body).substr(1);
    const auto log_unreadable = [this, &peer, &mirror](std::error_code error) {
        this->log.write(severity::notice, "snapshot_unreadable",
                        {{"peer", peer.str()},
                         {"kind", std::string(text_of(mirror.kind()))},
                         {"error", error.message()}});
    };
    if (body.front() == changes_mark) {
        if (const auto changes = adapter::decode_changes(text)) {
            mirror.adopt_changes(changes.value());
        } else {
            log_unreadable(changes.error());
        }
    } else if (auto page = adapter::decode_page(text)) {
        is_adopted = mirror.adopt(page.value().revision,
                                  std::move(page.value().objects));
    } else {
        log_unreadable(page.error());
    }
    if (mirror.revision() == previous_revision && !is_adopted) {
        return;
    }
    this->log.write(severity::notice, "adopted_from_peer",
                    {{"peer", peer.str()},
                     {"kind", std::string(text_of(mirror.kind()))},
                     {"era", std::to_string(mirror.revision().era)},
                     {"revision", std::to_string(mirror.revision().number)},
                     {"had", std::to_string(previous_revision.number)}});
    if (mirror.is_following()) {
        mirror.restart_silent_call(max_watch_silence);
    }
}

} // namespace almondtiller::gateway
