/** @file
 * Membership table of a control process: instances and runners, merged from several sources. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef enum
{
  GG_MEMBER_ENTRY,
  GG_MEMBER_RUNNER,
} GgMemberRole;

typedef enum
{
  GG_MEMBER_LIVE,
  GG_MEMBER_LEAVING,
} GgMemberState;

typedef enum
{
  GG_MEMBER_SOURCE_LIST,     /**< The platform's instance list. */
  GG_MEMBER_SOURCE_SELF,     /**< The runner's own refusal or load report. */
  GG_MEMBER_SOURCE_OPERATOR, /**< greengagectl drain. */
  GG_MEMBER_SOURCE_PEER,     /**< Another control process. */
} GgMemberSource;

/** One entry instance or runner. Strings are owned by the record. */
typedef struct
{
  char *id;
  uint64_t incarnation;
  GgMemberRole role;
  GgMemberState state;
  char *address;           /**< "IP:PORT" for callers (entry) or for calls to the runner. */
  char *control_address;   /**< RPC of controld; entries only. */
  char *entry_rpc_address; /**< RPC of entryd; entries only. */
  char *data_centre;
  char *service;
  uint32_t first_layer; /**< Half-open layer range [first_layer, end_layer). */
  uint32_t end_layer;
  char *accelerator;
} GgMember;

void gg_member_copy (GgMember *dest, const GgMember *source);
void gg_member_clear (GgMember *self);

typedef struct _GgMemberTable GgMemberTable;

/** Times that are passed to the table (now_ms) are monotonic.
 * @param hold_ms how long a member that is missing from the list stays in the table. */
GgMemberTable *gg_member_table_create (uint64_t hold_ms);
void gg_member_table_destroy (GgMemberTable *self);

/** Applies one complete reading of the instance list. A member that the list no longer contains is
 * kept for hold_ms after the first reading without it or after its latest confirmation, whichever
 * is later; confirmations do not count once another member is listed at its address. If more than
 * half of the live members are missing at once, a later reading must confirm it before any of them
 * is removed. An entry with a lower incarnation than the known one is stale and does not change the
 * member.
 * @return TRUE if the table changed. */
gboolean gg_member_table_apply_list (GgMemberTable *self,
                                     const GgMember *members,
                                     size_t n_members,
                                     uint64_t now_ms);

/** Marks an incarnation and all lower ones as leaving, until a higher incarnation appears. The
 * mark of an id that is not in the table is kept for a day.
 * @return TRUE if the mark is new and concerns a live member or an id that is not in the table. */
gboolean gg_member_table_mark_leaving (GgMemberTable *self,
                                       const char *id,
                                       uint64_t incarnation,
                                       GgMemberSource source,
                                       uint64_t now_ms);

/** Records that a member answered, which postpones the removal of a missing one. */
void gg_member_table_confirm (GgMemberTable *self, const char *id, uint64_t now_ms);

/** Returns whether @p id is in the table although the list no longer contains it. */
gboolean gg_member_table_is_missing (const GgMemberTable *self, const char *id);

/** Returns a version that increases with each change, including when a member goes missing from
 * the list or reappears in it. */
uint64_t gg_member_table_get_version (const GgMemberTable *self);

guint gg_member_table_get_size (const GgMemberTable *self);

/** Returns a member by its index in order of id; valid until the next change. */
const GgMember *gg_member_table_get (const GgMemberTable *self, guint i);
const GgMember *gg_member_table_find (const GgMemberTable *self, const char *id);

/** Returns the rank (0 is first) of @p id for @p key by rendezvous hashing over the live entry
 * instances of @p data_centre (NULL for all), or -1 if it is not one of them. */
int gg_member_table_get_rank (const GgMemberTable *self,
                              const char *data_centre,
                              const char *key,
                              const char *id);
