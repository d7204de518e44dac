#include "dispatch/leaving_admission.h"

namespace almondtiller::dispatch {

namespace {

/// Callers hear within that time that the node leaves, as they keep a
/// directory answer for about two seconds. Until then all is taken; nearly all
/// streams end long before their deadline.
constexpr auto notice_time = core::milliseconds(2500);

} // namespace

auto takes_while_leaving(core::duration leaving, core::duration until_cut,
                         core::duration patience) -> bool
{
    return leaving <= notice_time || patience <= until_cut;
}

} // namespace almondtiller::dispatch
