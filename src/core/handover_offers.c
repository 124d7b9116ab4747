#include "core/handover_offers.h"

#include <string.h>

/* Three queries without an answer: the peer has died, or has lost its own links. */
#define EXPIRY_MS 700
/* Peers of other data centres are preferred from this difference in load, since traffic between
 * data centres is expensive. */
#define REMOTE_MARGIN_PERMILLE 200
#define FULL_PERMILLE 1000

typedef struct
{
  GgPeerOffer offer; /* owns its texts */
  gboolean is_relayed;
  uint32_t n_handed_over; /* since the offer was renewed */
  uint64_t put_ms;
  uint64_t avoided_until_ms;
  GHashTable *services; /* hash of its name -> time at which it was reached (uint64_t) */
} Entry;

struct _GgHandoverOffers
{
  char *data_centre;
  GHashTable *entries; /* name -> Entry */
  uint64_t last_room_ms;
};

static void
clear_texts (Entry *entry)
{
  g_free ((char *) entry->offer.name);
  g_free ((char *) entry->offer.address);
  g_free ((char *) entry->offer.data_centre);
}

static void
free_entry (void *data)
{
  Entry *entry = data;
  clear_texts (entry);
  g_hash_table_unref (entry->services);
  g_free (entry);
}

GgHandoverOffers *
gg_handover_offers_create (const char *data_centre)
{
  GgHandoverOffers *self = g_new0 (GgHandoverOffers, 1);
  self->data_centre = g_strdup (data_centre);
  self->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_entry);
  return self;
}

void
gg_handover_offers_destroy (GgHandoverOffers *self)
{
  g_hash_table_unref (self->entries);
  g_free (self->data_centre);
  g_free (self);
}

static gboolean
is_valid (const Entry *entry, uint64_t now_ms)
{
  return now_ms < entry->put_ms + EXPIRY_MS;
}

void
gg_handover_offers_put (GgHandoverOffers *self,
                        const GgPeerOffer *offer,
                        gboolean is_relayed,
                        uint64_t now_ms)
{
  Entry *entry = g_hash_table_lookup (self->entries, offer->name);
  if (entry == NULL)
    {
      entry = g_new0 (Entry, 1);
      entry->services = g_hash_table_new_full (NULL, NULL, NULL, g_free);
      g_hash_table_insert (self->entries, g_strdup (offer->name), entry);
    }
  Entry old = *entry;
  entry->offer = *offer;
  entry->offer.name = g_strdup (offer->name);
  entry->offer.address = g_strdup (offer->address);
  entry->offer.data_centre = g_strdup (offer->data_centre);
  entry->is_relayed = is_relayed;
  entry->n_handed_over = 0;
  entry->put_ms = now_ms;
  clear_texts (&old);
}

void
gg_handover_offers_put_service (GgHandoverOffers *self,
                                const char *name,
                                uint32_t service_hash,
                                uint64_t received_age_ms,
                                uint64_t now_ms)
{
  Entry *entry = g_hash_table_lookup (self->entries, name);
  if (entry == NULL)
    return;
  if (entry->offer.room > 0 && received_age_ms <= GG_HANDOVER_MAX_RECEIVED_AGE_MS)
    self->last_room_ms = now_ms;
  uint64_t received_ms = now_ms > received_age_ms ? now_ms - received_age_ms : 0;
  void *key = GUINT_TO_POINTER (service_hash);
  uint64_t *known_ms = g_hash_table_lookup (entry->services, key);
  if (known_ms == NULL)
    {
      known_ms = g_new0 (uint64_t, 1);
      g_hash_table_insert (entry->services, key, known_ms);
    }
  *known_ms = MAX (*known_ms, received_ms);
}

void
gg_handover_offers_avoid (GgHandoverOffers *self, const char *name, uint64_t until_ms)
{
  Entry *entry = g_hash_table_lookup (self->entries, name);
  if (entry != NULL)
    entry->avoided_until_ms = MAX (entry->avoided_until_ms, until_ms);
}

static gboolean
is_usable (const Entry *entry, uint32_t service_hash, const char *const *excluded, uint64_t now_ms)
{
  const uint64_t *received_ms
      = g_hash_table_lookup (entry->services, GUINT_TO_POINTER (service_hash));
  return is_valid (entry, now_ms) && now_ms >= entry->avoided_until_ms
         && entry->n_handed_over < entry->offer.room && received_ms != NULL
         && now_ms <= *received_ms + GG_HANDOVER_MAX_RECEIVED_AGE_MS
         && (excluded == NULL || !g_strv_contains (excluded, entry->offer.name));
}

/* Returns the load of a peer with the requests that were handed over since its answer, in parts of
 * the room that it had. */
static uint64_t
get_load_permille (const Entry *entry)
{
  uint64_t load = MIN (entry->offer.load_permille, FULL_PERMILLE);
  return load + (FULL_PERMILLE - load) * entry->n_handed_over / entry->offer.room;
}

/* Returns the less loaded one of two peers at random; NULL if there are none. All instances that
 * are cut off choose by answers of the same time, and would all choose the least loaded one. */
static Entry *
choose_of_two (const GPtrArray *entries, uint32_t random)
{
  if (entries->len == 0)
    return NULL;
  guint i = random % entries->len;
  Entry *first = g_ptr_array_index (entries, i);
  if (entries->len == 1)
    return first;
  guint j = (random >> 16) % (entries->len - 1);
  Entry *second = g_ptr_array_index (entries, j < i ? j : j + 1);
  return get_load_permille (second) < get_load_permille (first) ? second : first;
}

const GgPeerOffer *
gg_handover_offers_choose (GgHandoverOffers *self,
                           uint32_t service_hash,
                           const char *const *excluded,
                           uint32_t random,
                           uint64_t now_ms)
{
  GPtrArray *local = g_ptr_array_new ();
  GPtrArray *remote = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, self->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;
      if (is_usable (entry, service_hash, excluded, now_ms))
        g_ptr_array_add (strcmp (entry->offer.data_centre, self->data_centre) == 0 ? local : remote,
                         value);
    }
  Entry *chosen = choose_of_two (local, random);
  Entry *other = choose_of_two (remote, random);
  g_ptr_array_unref (local);
  g_ptr_array_unref (remote);
  if (chosen == NULL
      || (other != NULL
          && get_load_permille (other) + REMOTE_MARGIN_PERMILLE < get_load_permille (chosen)))
    chosen = other;
  if (chosen == NULL)
    return NULL;
  chosen->n_handed_over++;
  return &chosen->offer;
}

uint64_t
gg_handover_offers_get_last_room_ms (const GgHandoverOffers *self)
{
  return self->last_room_ms;
}

void
gg_handover_offers_expire (GgHandoverOffers *self, uint64_t now_ms)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, self->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;
      if (!is_valid (entry, now_ms) && now_ms >= entry->avoided_until_ms)
        g_hash_table_iter_remove (&iter);
    }
}

void
gg_handover_offers_foreach_direct (const GgHandoverOffers *self,
                                   uint64_t now_ms,
                                   void (*func) (void *data, const GgPeerOffer *offer),
                                   void *data)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, self->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;
      if (!entry->is_relayed && is_valid (entry, now_ms))
        func (data, &entry->offer);
    }
}

void
gg_handover_offers_foreach_service (const GgHandoverOffers *self,
                                    const char *name,
                                    uint64_t now_ms,
                                    void (*func) (void *data,
                                                  uint32_t service_hash,
                                                  uint64_t received_age_ms),
                                    void *data)
{
  const Entry *entry = g_hash_table_lookup (self->entries, name);
  if (entry == NULL)
    return;
  GHashTableIter iter;
  void *key;
  void *value;
  g_hash_table_iter_init (&iter, entry->services);
  while (g_hash_table_iter_next (&iter, &key, &value))
    func (data, GPOINTER_TO_UINT (key), now_ms - *(const uint64_t *) value);
}
