#include "settings/effective.h"

namespace almondtiller::settings {

auto to_string(stage_kind kind) -> std::string
{
    switch (kind) {
    case stage_kind::encode:
        return "encode";
    case stage_kind::retrieve:
        return "retrieve";
    case stage_kind::rerank:
        return "rerank";
    case stage_kind::generate:
        return "generate";
    case stage_kind::call:
        return "call";
    }
    return "call";
}

auto to_string(zone_state state) -> std::string
{
    return state == zone_state::in ? "in" : "out";
}

} // namespace almondtiller::settings
