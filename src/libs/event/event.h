#pragma once

/// Entry header of the event package: one loop a process, its timers and its
/// sockets. Everything runs on the loop's thread; no call blocks.

#include "event/loop.h"
#include "event/tcp_listener.h"
#include "event/tcp_stream.h"
#include "event/timer.h"
#include "event/udp_socket.h"
