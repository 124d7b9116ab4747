/** @file
 * Port to the document of the operators' configuration, for checking it before it is written to the
 * platform's store: what the router refuses or ignores in it, and the names of its fields. */
#pragma once

#include "core/config_check.h"

#include <glib.h>

/** Decodes the configuration as the router does, and adds to @p findings what only the document
 * shows. Adds at least one if the router refuses it, of the fault GG_CONFIG_UNREADABLE if it is no
 * JSON object, else GG_CONFIG_REFUSED.
 * @return the configuration, owned by the caller; NULL if the router refuses it. */
GgRoutingConfig *gg_config_findings_read (GBytes *document, GPtrArray *findings);

/** Returns the name of a field in the document, "" for GG_CONFIG_FIELD_NONE. */
const char *gg_config_field_get_name (GgConfigField field);

/** Returns the name of the field that a finding is about. */
const char *gg_config_finding_get_field (const GgConfigFinding *self);

/** Returns what is wrong, in a sentence without a full stop; owned by the caller. */
char *gg_config_finding_get_problem (const GgConfigFinding *self);

/** Returns how to mend it, as gg_config_finding_get_problem() does. */
char *gg_config_finding_get_remedy (const GgConfigFinding *self);
