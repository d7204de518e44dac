#pragma once

/// Entry header of the h2 package: HTTP/2 between nodes, based on nghttp2.
/// Sessions do no socket I/O; the user transfers their bytes.

#include "h2/h2_session.h"
