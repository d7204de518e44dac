#include "services/gateway/store_mirror.h"

#include <algorithm>

namespace almondtiller::gateway {

auto store_mirror::check_era(const store_answer& answer) -> bool
{
    if (answer.era == 0 || answer.era == this->store_era) {
        return false;
    }
    if (answer.era < this->store_era) {
        this->fail(answer.status, "answer_of_earlier_era");
        return true;
    }
    if (!this->listed && this->store_era == 0) {
        this->store_era = answer.era;
        this->incoming_revision.era = answer.era;
        return false;
    }
    this->log.write(
        severity::notice, "store_restored",
        {{"kind", std::string(text_of(this->object_kind))},
         {"era", std::to_string(answer.era)},
         {"had_era", std::to_string(this->store_era)},
         {"revision", std::to_string(this->current_revision.number)}});
    const auto era = answer.era;
    this->require_era(era);
    if (this->callbacks.on_restored) {
        this->callbacks.on_restored(era);
    }
    return true;
}

auto store_mirror::require_era(std::int64_t era) -> void
{
    if (era <= this->store_era) {
        return;
    }
    this->store_era = era;
    if (!this->follows || era == this->current_revision.era) {
        return;
    }
    this->cancel_call();
    this->must_list = true;
    this->read_store();
}

auto store_mirror::begin_era(const serving::store_revision& first) -> void
{
    const auto is_restored =
        this->listed && first.era > this->current_revision.era;
    this->store_era = std::max(this->store_era, first.era);
    if (is_restored) {
        // Entries that the copy lacks are written again, as after an outage.
        this->outage_end = this->event_loop.now();
    }
}

} // namespace almondtiller::gateway
