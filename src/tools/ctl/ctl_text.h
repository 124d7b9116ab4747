/** @file
 * Plain text for people from the JSON texts of the daemons. */
#pragma once

#include <json-glib/json-glib.h>

/** Each appends the text of one command; missing members read as empty or 0. */
void gg_ctl_text_status (JsonObject *status, GString *out);
void gg_ctl_text_config (JsonObject *document, GString *out);
void gg_ctl_text_account (JsonObject *account, GString *out);
void gg_ctl_text_records (JsonObject *records, GString *out);

/** Any JSON, indented. */
void gg_ctl_text_json (JsonNode *node, GString *out);
