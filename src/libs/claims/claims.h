#pragma once

/// Umbrella header of the claims package: at-most-once execution per
/// idempotency key across all nodes, by claims in the platform's object store.
/// claim_bucket is a deterministic state machine and not thread-safe; the
/// caller must serialize access.

#include "claims/bucket_contents.h"
#include "claims/claim_bucket.h"
#include "claims/claims_errc.h"
