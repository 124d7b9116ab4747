/** @file
 * Settings of greengage-routerd. */
#pragma once

#include "base/settings.h"

extern const GgSetting gg_router_settings[];
extern const size_t gg_n_router_settings;
