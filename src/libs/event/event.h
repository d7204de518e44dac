#pragma once

/// Entry header of the event package: the process's event loop, its timers and
/// its sockets. Everything runs on the loop's thread; no call blocks.

#include "event/loop.h"
#include "event/tcp_listener.h"
#include "event/tcp_stream.h"
#include "event/timer.h"
#include "event/udp_socket.h"
