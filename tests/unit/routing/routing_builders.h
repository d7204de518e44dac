#pragma once

#include "routing/routing.h"

#include <string>

namespace almondtiller::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const auto start_time = core::time_point(std::chrono::hours(1));

inline auto make_work(const std::string& id, const std::string& workspace = "w")
    -> attempt_request
{
    auto made = attempt_request();
    made.id = core::attempt_id(id);
    made.workspace = core::workspace_name(workspace);
    made.deadline = start_time + seconds(3);
    return made;
}

inline auto make_member(const std::string& id, const std::string& zone = "a")
    -> upstream_member
{
    return {core::upstream_id(id), core::zone_name(zone), true};
}

inline auto make_report(const std::string& id, bool cold = false,
                        const std::string& incarnation = "i1") -> load_report
{
    auto made = load_report();
    made.id = core::upstream_id(id);
    made.incarnation = incarnation;
    made.cold = cold;
    return made;
}

inline auto make_result(const dispatch& sent, core::duration latency,
                        attempt_end end = attempt_end::succeeded)
    -> attempt_result
{
    auto made = attempt_result();
    made.id = sent.id;
    made.upstream = sent.upstream;
    made.end = end;
    made.latency = latency;
    made.incarnation = "i1";
    return made;
}

} // namespace almondtiller::routing
