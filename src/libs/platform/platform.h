#pragma once

/// Entry header of the platform package: the object API and the instance
/// list. The wire format is described in docs/PROTOCOLS.md. Calls block and
/// may be made from any thread.

#include "platform/http_object_store.h"
#include "platform/object_store.h"
#include "platform/platform_errc.h"
