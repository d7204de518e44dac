#pragma once

#include "kernel/kernel.h"
#include "options.h"

namespace almondtiller {

/// Adds every service of a node to the kernel.
auto compose(kernel::service_kernel& kernel, const node_options& options)
    -> std::error_code;

/// \return The port on which this node hears its peers.
/// \pre The kernel has started.
[[nodiscard]] auto peer_port(const kernel::service_kernel& kernel,
                             const node_options& options) -> int;

} // namespace almondtiller
