#pragma once

/// Entry header of the http1 package: HTTP/1.1 on the event loop. Boost.Beast
/// parses the messages; response bodies are streamed. Must be used on the
/// loop's thread only.

#include "http1/answer_history.h"
#include "http1/client_connection.h"
#include "http1/client_pool.h"
#include "http1/message.h"
#include "http1/parser.h"
#include "http1/server_connection.h"
