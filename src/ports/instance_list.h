/** @file
 * Port to the platform's list of active and leaving instances. */
#pragma once

#include "core/member.h"

typedef struct _GgInstanceList GgInstanceList;

GgInstanceList *gg_instance_list_create (const char *address);
void gg_instance_list_destroy (GgInstanceList *self);

/** Reads the complete list into an array of GgMember (clear function set).
 * A malformed entry is skipped and counted.
 * @return FALSE if the list could not be read by @p deadline_ms, is malformed or holds only
 * malformed entries; @p members_out is NULL then. */
gboolean gg_instance_list_read (GgInstanceList *self, uint64_t deadline_ms, GArray **members_out);
