#pragma once

/// Umbrella header of the settings package: the declaration tree, its
/// resolution into effective values, and the immutable snapshot that the rest
/// of the system reads. Values are immutable and may be shared by threads.

#include "settings/declaration_files.h"
#include "settings/effective.h"
#include "settings/explanation.h"
#include "settings/quantity.h"
#include "settings/reference.h"
#include "settings/settings_errc.h"
#include "settings/snapshot.h"
#include "settings/tree.h"
