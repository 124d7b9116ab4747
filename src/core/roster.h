/** @file
 * The registered instances: those with a key in the store, a few in each data centre. They can lead
 * and can watch the store for the others, which are only known to the registered ones. So the cost
 * of membership at the store does not grow with the number of instances. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Instances of a data centre that are to be registered. One watches the store; the others take
 * over when it fails. */
#define GG_ROSTER_TARGET 3

/** A registered instance. */
typedef struct
{
  char *name;
  char *address; /**< At which it receives datagrams of its peers. */
  char *data_centre;
  uint32_t capacity; /**< Its processor share in thousandths of a core. */
} GgPeer;

GgPeer *
gg_peer_create (const char *name, const char *address, const char *data_centre, uint32_t capacity);
void gg_peer_destroy (GgPeer *self);

typedef struct _GgRoster GgRoster;

/** @param self this instance, which is copied; it counts as registered only if it is put. */
GgRoster *gg_roster_create (const GgPeer *self);
void gg_roster_destroy (GgRoster *self);

void gg_roster_clear (GgRoster *self);

/** Adds or replaces an instance; takes ownership of @p peer. */
void gg_roster_put (GgRoster *self, GgPeer *peer);
void gg_roster_remove (GgRoster *self, const char *name);

/** The registered instances of a data centre, the largest first and those of one size in order of
 * name: GgPeer, valid until the next change; NULL if there are none. */
const GPtrArray *gg_roster_get_ranked (const GgRoster *self, const char *data_centre);

/** All registered instances but this one: GgPeer, valid until the next change. */
const GPtrArray *gg_roster_get_others (const GgRoster *self);

/** The instances that can watch the store for this one, in order of preference: those of its data
 * centre, then the first one of each other data centre. GgPeer, valid until the next change. */
const GPtrArray *gg_roster_get_sources (const GgRoster *self);

/** The names of the data centres with registered instances: const char *, valid until the next
 * change. */
const GPtrArray *gg_roster_get_data_centres (const GgRoster *self);

/** Whether an instance is registered. */
gboolean gg_roster_has_name (const GgRoster *self, const char *name);

/** Whether another instance with that address is registered. */
gboolean gg_roster_has_address (const GgRoster *self, const char *address);

/** Returns this instance's position among the registered ones of its data centre, or their number
 * if it is not registered. */
guint gg_roster_get_rank (const GgRoster *self);

/** Whether this instance is registered and ranks first in its data centre. */
gboolean gg_roster_is_first (const GgRoster *self);

/** Returns this instance's position among all registered ones, by name. */
guint gg_roster_get_overall_rank (const GgRoster *self);

/** Whether this instance should register: its data centre has too few registered instances that are
 * at least as large. */
gboolean gg_roster_is_needed (const GgRoster *self);

/** Whether this instance is registered, but enough others rank before it. */
gboolean gg_roster_is_surplus (const GgRoster *self);
