/** @file
 * Renders the JSON documents of the daemons as plain text for operators. */
#pragma once

#include <json-glib/json-glib.h>

/** These append the output of one command; missing members are read as empty or 0. */
void gg_ctl_text_status (JsonObject *status, GString *out);
void gg_ctl_text_config (JsonObject *document, GString *out);
void gg_ctl_text_account (JsonObject *account, GString *out);
void gg_ctl_text_records (JsonObject *records, GString *out);

/** Appends JSON, indented. */
void gg_ctl_text_json (JsonNode *node, GString *out);
