#include "dispatch/leaving_admission.h"

namespace almondtiller::dispatch {

namespace {

/// Callers keep a directory answer for about two seconds, so they learn within
/// this time that the node is shutting down. Until then every request is
/// accepted; nearly all streams end long before their deadline.
constexpr auto address_refresh_time = core::milliseconds(2500);

} // namespace

auto accepts_while_leaving(core::duration since_stop_request,
                           core::duration until_stop,
                           core::duration max_duration) -> bool
{
    return since_stop_request <= address_refresh_time ||
           max_duration <= until_stop;
}

} // namespace almondtiller::dispatch
