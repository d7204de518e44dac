#pragma once

/// Entry header of the claims package: at-most-once execution over all nodes
/// by claims that are kept in the platform's object store. claim_bucket is a
/// deterministic state machine and not thread-safe; the caller serializes.

#include "claims/bucket_contents.h"
#include "claims/claim_bucket.h"
#include "claims/claims_errc.h"
