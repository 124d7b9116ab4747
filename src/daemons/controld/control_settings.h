/** @file
 * Settings of the control process. */
#pragma once

#include "base/settings.h"

extern const GgSetting gg_control_settings[];
extern const size_t gg_control_settings_count;
