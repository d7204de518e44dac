#pragma once

/// Entry header of the h2 package: HTTP/2 between nodes (nghttp2). Sessions
/// without sockets: bytes in, bytes out.

#include "h2/h2_session.h"
