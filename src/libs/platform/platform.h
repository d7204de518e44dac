#pragma once

/// Entry header of the platform package: a client of the platform's object API
/// and instance list. docs/PROTOCOLS.md describes the wire format. Calls block
/// and may be made from any thread.

#include "platform/http_object_store.h"
#include "platform/object_store.h"
#include "platform/platform_errc.h"
