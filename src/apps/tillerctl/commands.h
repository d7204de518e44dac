#pragma once

#include "tillerctl/exit_status.h"
#include "tillerctl/invocation.h"

namespace almondtiller::tillerctl {

[[nodiscard]] auto run_validate(const invocation& call, terminal& io)
    -> exit_status;
[[nodiscard]] auto run_diff(const invocation& call, terminal& io)
    -> exit_status;
[[nodiscard]] auto run_apply(const invocation& call, terminal& io)
    -> exit_status;
[[nodiscard]] auto run_get(const invocation& call, terminal& io) -> exit_status;
[[nodiscard]] auto run_explain(const invocation& call, terminal& io)
    -> exit_status;
[[nodiscard]] auto run_explain_request(const invocation& call, terminal& io)
    -> exit_status;
[[nodiscard]] auto run_history(const invocation& call, terminal& io)
    -> exit_status;
[[nodiscard]] auto run_zone(const invocation& call, terminal& io)
    -> exit_status;
[[nodiscard]] auto run_drain(const invocation& call, terminal& io)
    -> exit_status;
[[nodiscard]] auto run_status(const invocation& call, terminal& io)
    -> exit_status;
[[nodiscard]] auto run_top(const invocation& call, terminal& io) -> exit_status;
[[nodiscard]] auto run_reference(const invocation& call, terminal& io)
    -> exit_status;
[[nodiscard]] auto run_completion(const invocation& call, terminal& io)
    -> exit_status;

} // namespace almondtiller::tillerctl
