#include "core/member.h"

#include "core/mutation.h"
#include "greengage/id.h"

#include <string.h>

/* Retention of the marks of absent members. A stale instance list may contain an incarnation again
 * after it left; a day exceeds any lag seen. */
#define GG_MEMBER_MARK_RETENTION_MS ((uint64_t) 24 * 3600 * 1000)

typedef struct
{
  GgMember member;
  uint32_t id_hash;
  gboolean listed;           /**< In the latest reading of the list. */
  gboolean in_mass_loss;     /**< Went missing together with most live members. */
  gboolean replaced;         /**< Another member is listed at the same address. */
  uint64_t missing_since_ms; /**< Time of the first reading without it; 0 if none. */
  uint64_t confirmed_ms;     /**< Time of the latest answer; 0 if none. */
} Slot;

/** Highest incarnation of an id that is known to be leaving. */
typedef struct
{
  uint64_t incarnation;
  uint64_t marked_ms;
} Mark;

struct _GgMemberTable
{
  uint64_t hold_ms;
  uint64_t version;
  GPtrArray *slots;  /**< Slot, in order of id. */
  GHashTable *by_id; /**< Id (owned by the slot) to Slot. */
  GHashTable *marks; /**< Id to Mark. */
};

void
gg_member_copy (GgMember *dest, const GgMember *source)
{
  *dest = *source;
  dest->id = g_strdup (source->id);
  dest->address = g_strdup (source->address);
  dest->control_address = g_strdup (source->control_address);
  dest->entry_rpc_address = g_strdup (source->entry_rpc_address);
  dest->data_centre = g_strdup (source->data_centre);
  dest->service = g_strdup (source->service);
  dest->accelerator = g_strdup (source->accelerator);
}

void
gg_member_clear (GgMember *self)
{
  g_free (self->id);
  g_free (self->address);
  g_free (self->control_address);
  g_free (self->entry_rpc_address);
  g_free (self->data_centre);
  g_free (self->service);
  g_free (self->accelerator);
  memset (self, 0, sizeof *self);
}

static void
slot_free (void *data)
{
  Slot *slot = data;
  gg_member_clear (&slot->member);
  g_free (slot);
}

GgMemberTable *
gg_member_table_create (uint64_t hold_ms)
{
  GgMemberTable *self = g_new0 (GgMemberTable, 1);
  self->hold_ms = hold_ms;
  self->slots = g_ptr_array_new_with_free_func (slot_free);
  self->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  self->marks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
gg_member_table_destroy (GgMemberTable *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->by_id);
  g_hash_table_unref (self->marks);
  g_ptr_array_unref (self->slots);
  g_free (self);
}

static int
compare_slots (const void *a, const void *b)
{
  const Slot *x = *(Slot *const *) a;
  const Slot *y = *(Slot *const *) b;
  return strcmp (x->member.id, y->member.id);
}

static gboolean
is_marked (const GgMemberTable *self, const GgMember *member)
{
  const Mark *mark = g_hash_table_lookup (self->marks, member->id);
  return mark != NULL && mark->incarnation >= member->incarnation;
}

static gboolean
raise_mark (GgMemberTable *self, const char *id, uint64_t incarnation, uint64_t now_ms)
{
  Mark *mark = g_hash_table_lookup (self->marks, id);
  if (mark == NULL)
    {
      mark = g_new0 (Mark, 1);
      g_hash_table_insert (self->marks, g_strdup (id), mark);
    }
  else if (mark->incarnation >= incarnation)
    return FALSE;
  mark->incarnation = incarnation;
  mark->marked_ms = now_ms;
  return TRUE;
}

static gboolean
same_text (const GgMember *a, const GgMember *b)
{
  return g_strcmp0 (a->address, b->address) == 0
         && g_strcmp0 (a->control_address, b->control_address) == 0
         && g_strcmp0 (a->entry_rpc_address, b->entry_rpc_address) == 0
         && g_strcmp0 (a->data_centre, b->data_centre) == 0
         && g_strcmp0 (a->service, b->service) == 0
         && g_strcmp0 (a->accelerator, b->accelerator) == 0;
}

static gboolean
same_member (const GgMember *a, const GgMember *b)
{
  return a->incarnation == b->incarnation && a->role == b->role && a->state == b->state
         && a->first_layer == b->first_layer && a->end_layer == b->end_layer && same_text (a, b);
}

static void
set_listed (GgMemberTable *self, Slot *slot)
{
  self->version += slot->missing_since_ms != 0;
  slot->listed = TRUE;
  slot->in_mass_loss = FALSE;
  slot->replaced = FALSE;
  slot->missing_since_ms = 0;
}

static gboolean
update_slot (GgMemberTable *self, Slot *slot, const GgMember *reported)
{
  set_listed (self, slot);
  if (reported->incarnation < slot->member.incarnation)
    return FALSE;

  /* Most members are unchanged between readings, so compare before copying. */
  GgMember wanted = *reported;
  wanted.state = is_marked (self, reported) ? GG_MEMBER_LEAVING : GG_MEMBER_LIVE;
  if (same_member (&slot->member, &wanted))
    return FALSE;
  GgMember next;
  gg_member_copy (&next, &wanted);
  g_hash_table_steal (self->by_id, slot->member.id);
  gg_member_clear (&slot->member);
  slot->member = next;
  g_hash_table_insert (self->by_id, slot->member.id, slot);
  return TRUE;
}

static void
add_slot (GgMemberTable *self, const GgMember *reported)
{
  Slot *slot = g_new0 (Slot, 1);
  gg_member_copy (&slot->member, reported);
  slot->member.state = is_marked (self, reported) ? GG_MEMBER_LEAVING : GG_MEMBER_LIVE;
  slot->id_hash = gg_id_hash_instance (reported->id);
  slot->listed = TRUE;
  g_ptr_array_add (self->slots, slot);
  g_hash_table_insert (self->by_id, slot->member.id, slot);
}

static gboolean
apply_reported (GgMemberTable *self, const GgMember *reported, uint64_t now_ms)
{
  if (reported->state == GG_MEMBER_LEAVING && !GG_IS_MUTATED ("member-ignore-list"))
    raise_mark (self, reported->id, reported->incarnation, now_ms);
  Slot *slot = g_hash_table_lookup (self->by_id, reported->id);
  if (slot != NULL)
    return update_slot (self, slot, reported);
  add_slot (self, reported);
  return TRUE;
}

static void
note_missing (GgMemberTable *self, uint64_t now_ms)
{
  guint n_live = 0;
  guint n_missing = 0;
  for (guint i = 0; i < self->slots->len; i++)
    {
      const Slot *slot = g_ptr_array_index (self->slots, i);
      if (slot->member.state != GG_MEMBER_LIVE)
        continue;
      n_live++;
      n_missing += !slot->listed;
    }
  gboolean is_mass_loss = n_missing * 2 > n_live;

  for (guint i = 0; i < self->slots->len; i++)
    {
      Slot *slot = g_ptr_array_index (self->slots, i);
      if (slot->listed)
        continue;
      if (is_mass_loss && slot->member.state == GG_MEMBER_LIVE)
        slot->in_mass_loss = TRUE;
      if (slot->missing_since_ms == 0)
        {
          slot->missing_since_ms = MAX (now_ms, 1);
          self->version++;
        }
    }
}

/* Two ids at one address are one process that changed its id, so its answers confirm only the new
 * id. */
static void
note_replaced (GgMemberTable *self)
{
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < self->slots->len; i++)
    {
      const Slot *slot = g_ptr_array_index (self->slots, i);
      if (slot->listed && slot->member.address != NULL)
        g_hash_table_add (listed, slot->member.address);
    }
  for (guint i = 0; i < self->slots->len; i++)
    {
      Slot *slot = g_ptr_array_index (self->slots, i);
      if (!slot->listed && slot->member.address != NULL)
        slot->replaced = g_hash_table_contains (listed, slot->member.address);
    }
  g_hash_table_unref (listed);
}

static gboolean
may_remove (const GgMemberTable *self, const Slot *slot, uint64_t now_ms)
{
  if (slot->listed)
    return FALSE;
  uint64_t since_ms = slot->missing_since_ms;
  if (slot->in_mass_loss && now_ms <= since_ms)
    return FALSE;
  if (!slot->replaced && slot->confirmed_ms > since_ms && !GG_IS_MUTATED ("member-ignore-answers"))
    since_ms = slot->confirmed_ms;
  return now_ms >= since_ms && now_ms - since_ms >= self->hold_ms;
}

static gboolean
remove_missing (GgMemberTable *self, uint64_t now_ms)
{
  gboolean changed = FALSE;
  for (guint i = self->slots->len; i > 0; i--)
    {
      Slot *slot = g_ptr_array_index (self->slots, i - 1);
      if (!may_remove (self, slot, now_ms))
        continue;
      g_hash_table_remove (self->by_id, slot->member.id);
      g_ptr_array_remove_index (self->slots, i - 1);
      changed = TRUE;
    }
  return changed;
}

static void
drop_expired_marks (GgMemberTable *self, uint64_t now_ms)
{
  GHashTableIter iter;
  void *id;
  void *value;
  g_hash_table_iter_init (&iter, self->marks);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const Mark *mark = value;
      if (now_ms > mark->marked_ms + GG_MEMBER_MARK_RETENTION_MS
          && !g_hash_table_contains (self->by_id, id))
        g_hash_table_iter_remove (&iter);
    }
}

gboolean
gg_member_table_apply_list (GgMemberTable *self,
                            const GgMember *members,
                            size_t n_members,
                            uint64_t now_ms)
{
  gboolean changed = FALSE;
  for (guint i = 0; i < self->slots->len; i++)
    ((Slot *) g_ptr_array_index (self->slots, i))->listed = FALSE;
  for (size_t i = 0; i < n_members; i++)
    changed |= apply_reported (self, &members[i], now_ms);

  note_missing (self, now_ms);
  note_replaced (self);
  changed |= remove_missing (self, now_ms);
  drop_expired_marks (self, now_ms);
  g_ptr_array_sort (self->slots, compare_slots);
  if (changed)
    self->version++;
  return changed;
}

gboolean
gg_member_table_is_missing (const GgMemberTable *self, const char *id)
{
  const Slot *slot = g_hash_table_lookup (self->by_id, id);
  return slot != NULL && slot->missing_since_ms != 0;
}

gboolean
gg_member_table_mark_leaving (GgMemberTable *self,
                              const char *id,
                              uint64_t incarnation,
                              GgMemberSource source,
                              uint64_t now_ms)
{
  if (GG_IS_MUTATED ("member-ignore-reports") || !raise_mark (self, id, incarnation, now_ms))
    return FALSE;
  Slot *slot = g_hash_table_lookup (self->by_id, id);
  if (slot == NULL)
    return TRUE;
  if (slot->member.incarnation > incarnation || slot->member.state == GG_MEMBER_LEAVING)
    return FALSE;
  slot->member.state = GG_MEMBER_LEAVING;
  self->version++;
  return TRUE;
}

void
gg_member_table_confirm (GgMemberTable *self, const char *id, uint64_t now_ms)
{
  Slot *slot = g_hash_table_lookup (self->by_id, id);
  if (slot != NULL && now_ms > slot->confirmed_ms)
    slot->confirmed_ms = now_ms;
}

uint64_t
gg_member_table_get_version (const GgMemberTable *self)
{
  return self->version;
}

guint
gg_member_table_get_size (const GgMemberTable *self)
{
  return self->slots->len;
}

const GgMember *
gg_member_table_get (const GgMemberTable *self, guint i)
{
  const Slot *slot = g_ptr_array_index (self->slots, i);
  return &slot->member;
}

const GgMember *
gg_member_table_find (const GgMemberTable *self, const char *id)
{
  const Slot *slot = g_hash_table_lookup (self->by_id, id);
  return slot != NULL ? &slot->member : NULL;
}

/* Finalizer of splitmix64: mixes the two hashes into all bits. */
static uint64_t
mix (uint32_t key_hash, uint32_t id_hash)
{
  uint64_t x = (uint64_t) key_hash << 32 | id_hash;
  x = (x ^ (x >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  x = (x ^ (x >> 27)) * UINT64_C (0x94d049bb133111eb);
  return x ^ (x >> 31);
}

static gboolean
is_candidate (const Slot *slot, const char *data_centre)
{
  gboolean is_live
      = slot->member.state == GG_MEMBER_LIVE || GG_IS_MUTATED ("member-choose-leaving");
  return slot->member.role == GG_MEMBER_ENTRY && is_live
         && (data_centre == NULL || g_strcmp0 (slot->member.data_centre, data_centre) == 0);
}

int
gg_member_table_get_rank (const GgMemberTable *self,
                          const char *data_centre,
                          const char *key,
                          const char *id)
{
  const Slot *own = g_hash_table_lookup (self->by_id, id);
  if (own == NULL || !is_candidate (own, data_centre))
    return -1;

  int rank = 0;
  uint32_t key_hash = gg_id_hash_instance (key);
  uint64_t own_weight = mix (key_hash, own->id_hash);
  for (guint i = 0; i < self->slots->len; i++)
    {
      const Slot *slot = g_ptr_array_index (self->slots, i);
      if (slot == own || !is_candidate (slot, data_centre))
        continue;
      uint64_t weight = mix (key_hash, slot->id_hash);
      if (weight > own_weight || (weight == own_weight && strcmp (slot->member.id, id) < 0))
        rank++;
    }
  return rank;
}
