/** @file
 * Instances and runners as this process knows them, from several sources. */
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
  GG_MEMBER_SOURCE_LIST,     /**< Instance list of the platform. */
  GG_MEMBER_SOURCE_SELF,     /**< The runner's own refusal or load report. */
  GG_MEMBER_SOURCE_OPERATOR, /**< greengagectl drain. */
  GG_MEMBER_SOURCE_PEER,     /**< Another control process. */
} GgMemberSource;

/** One instance. Strings are owned by the record. */
typedef struct
{
  char *id;
  uint64_t incarnation;
  GgMemberRole role;
  GgMemberState state;
  char *address;           /**< "IP:PORT" for callers or for stage and service calls. */
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

/** @param hold_ms how long a member that vanished from the list stays in the table. */
GgMemberTable *gg_member_table_create (uint64_t hold_ms);
void gg_member_table_destroy (GgMemberTable *self);

/** Applies one whole reading of the instance list. A member that the list no longer shows is
 * held for hold_ms after the first reading without it and after its latest confirmation,
 * whichever is later; confirmations do not count once another member is listed at its address.
 * If more than half of the live members vanish at once, a later reading must agree as well.
 * A reading that shows a lower incarnation than the known one is stale and changes nothing.
 * @return TRUE if the table changed. */
gboolean gg_member_table_apply_list (GgMemberTable *self,
                                     const GgMember *members,
                                     size_t n_members,
                                     uint64_t now_ms);

/** Marks one incarnation, and lower ones, as leaving; sticky until a higher incarnation appears.
 * A mark of an id that the list has not shown yet is kept for a day.
 * @return TRUE if that is news. */
gboolean gg_member_table_mark_leaving (GgMemberTable *self,
                                       const char *id,
                                       uint64_t incarnation,
                                       GgMemberSource source,
                                       uint64_t now_ms);

/** Records that a member answered, which ends doubts about a vanished one. */
void gg_member_table_confirm (GgMemberTable *self, const char *id, uint64_t now_ms);

/** Returns whether @p id is held although the list no longer shows it. */
gboolean gg_member_table_is_missing (const GgMemberTable *self, const char *id);

/** Grows with each change, also when a member goes missing from the list or is back in it. */
uint64_t gg_member_table_get_version (const GgMemberTable *self);

guint gg_member_table_get_size (const GgMemberTable *self);

/** Members in order of id; valid until the next change. */
const GgMember *gg_member_table_get (const GgMemberTable *self, guint i);
const GgMember *gg_member_table_find (const GgMemberTable *self, const char *id);

/** Rendezvous hashing: returns the rank (0 is first) of @p id among the live entries of
 * @p data_centre (NULL for all data centres) for @p key, or -1 if it is not one of them. */
int gg_member_table_get_rank (const GgMemberTable *self,
                              const char *data_centre,
                              const char *key,
                              const char *id);
