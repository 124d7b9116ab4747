/** @file
 * Settings of the entry process. */
#pragma once

#include "base/settings.h"

extern const GgSetting gg_entry_settings[];
extern const size_t gg_entry_settings_count;
