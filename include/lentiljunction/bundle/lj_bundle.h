#pragma once

/// @file
/// Module bundle: versioned, signed configuration. Depends on core, platform and OpenSSL.

#include "lentiljunction/bundle/ActiveBundle.h"
#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/bundle/BundleAdmin.h"
#include "lentiljunction/bundle/SignedBundle.h"
#include "lentiljunction/bundle/Signing.h"
