#include "dispatch/leaving_admission.h"

namespace almondtiller::dispatch {

namespace {

/// Callers keep a directory answer for about two seconds, so they learn within
/// this time that the node is shutting down. Until then every request is
/// accepted; nearly all streams end long before their deadline.
constexpr auto notice_time = core::milliseconds(2500);

} // namespace

auto takes_while_leaving(core::duration leaving, core::duration until_cut,
                         core::duration patience) -> bool
{
    return leaving <= notice_time || patience <= until_cut;
}

} // namespace almondtiller::dispatch
