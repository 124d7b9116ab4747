#include "daemons/routerd/allocator_exchange.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "core/allocator_election.h"
#include "loop/address.h"

#include <netinet/in.h>
#include <string.h>

/* The allocator of one data centre's runners. */
typedef struct
{
  char *data_centre;
  uint32_t hash;
  GgAllocatorElection *election;
  char *address; /* of the allocator that was reported last; NULL for none */
  uint64_t term;
  guint n_polls; /* to single instances, which take turns */
} Place;

struct _GgAllocatorExchange
{
  GgRouter *router;
  const GgMembership *membership;
  GgAllocatorChangedFunc func;
  void *data;
  GPtrArray *places; /* Place */
};

static GgCounter changes_total
    = GG_COUNTER ("greengage_router_allocator_changes_total",
                  "Times that the allocator of a data centre's permits has changed");
static GgCounter allocating = GG_GAUGE ("greengage_router_allocating_data_centres",
                                        "Data centres whose permits this instance hands out");

static void
free_place (void *data)
{
  Place *place = data;
  gg_allocator_election_destroy (place->election);
  g_free (place->data_centre);
  g_free (place->address);
  g_free (place);
}

/* Returns the first registered instance of a data centre; of the first data centre, if it has none.
 */
static const char *
find_candidate (const GgAllocatorExchange *self, const char *data_centre)
{
  const GgRoster *roster = gg_membership_get_roster (self->membership);
  const GPtrArray *ranked = gg_roster_get_ranked (roster, data_centre);
  const GPtrArray *names = gg_roster_get_data_centres (roster);
  if (ranked == NULL && names->len > 0)
    ranked = gg_roster_get_ranked (roster, g_ptr_array_index (names, 0));
  return ranked != NULL ? ((const GgPeer *) g_ptr_array_index (ranked, 0))->address : NULL;
}

static void
report_change (const GgAllocatorExchange *self, Place *place)
{
  GgAllocatorView view = gg_allocator_election_get_view (place->election);
  if (view.term == place->term && g_strcmp0 (view.address, place->address) == 0)
    return;
  gboolean is_other = g_strcmp0 (view.address, place->address) != 0;
  g_free (place->address);
  place->address = g_strdup (view.address);
  place->term = view.term;
  gg_counter_add (&changes_total, 1);
  gg_event_log_add (GG_EVENT_NOTABLE, "allocator_changed",
                    "data_centre=%s term=%" G_GUINT64_FORMAT " allocator=%s", place->data_centre,
                    (guint64) view.term, view.address != NULL ? view.address : "");
  if (is_other)
    self->func (self->data, place->data_centre,
                g_strcmp0 (view.address, gg_membership_get_address (self->membership)) == 0);
}

static void
update_place (const GgAllocatorExchange *self, Place *place, uint64_t now_ms)
{
  const GgRoster *roster = gg_membership_get_roster (self->membership);
  GgElectionMembership membership
      = { .candidate = find_candidate (self, place->data_centre),
          .roster_revision = gg_membership_get_roster_revision (self->membership),
          .n_registered = gg_roster_get_others (roster)->len + 1,
          .has_lease = gg_membership_has_lease (self->membership),
          .is_leaving = gg_membership_is_leaving (self->membership) };
  gg_allocator_election_update (place->election, &membership, now_ms);
  report_change (self, place);
}

static Place *
find_place (GgAllocatorExchange *self, const char *data_centre)
{
  for (guint i = 0; i < self->places->len; i++)
    {
      Place *place = g_ptr_array_index (self->places, i);
      if (strcmp (place->data_centre, data_centre) == 0)
        return place;
    }
  Place *place = g_new0 (Place, 1);
  uint64_t now_ms = gg_clock_boot_ms ();
  place->data_centre = g_strdup (data_centre);
  place->hash = g_str_hash (data_centre);
  place->election
      = gg_allocator_election_create (gg_membership_get_address (self->membership), now_ms);
  g_ptr_array_add (self->places, place);
  update_place (self, place, now_ms);
  return place;
}

static Place *
find_place_by_hash (const GgAllocatorExchange *self, uint32_t hash)
{
  for (guint i = 0; i < self->places->len; i++)
    {
      Place *place = g_ptr_array_index (self->places, i);
      if (place->hash == hash)
        return place;
    }
  return NULL;
}

static void
add_view (const Place *place, GgLimitMessage *message)
{
  GgAllocatorView known = gg_allocator_election_get_view (place->election);
  GgLimitView view = { .data_centre_hash = place->hash,
                       .term = known.term,
                       .address = (char *) (known.address != NULL ? known.address : ""),
                       .is_ceded = known.is_ceded,
                       .is_claim = message->kind == GG_LIMIT_MESSAGE_POLL
                                   && gg_allocator_election_is_claiming (place->election) };
  gg_limit_message_add_view (message, &view);
}

static void
send_poll (const GgAllocatorExchange *self, const char *address, GgLimitMessage *message)
{
  char bytes[GG_LIMIT_MESSAGE_MAX_BYTES];
  if (address == NULL || strcmp (address, gg_membership_get_address (self->membership)) == 0)
    return;
  size_t size_bytes = gg_limit_message_encode (message, gg_clock_boot_ms (), bytes, sizeof bytes);
  g_assert (size_bytes > 0);
  gg_datagram_socket_send (self->router->peer_socket, address, bytes, size_bytes);
}

static void
poll_all (const GgAllocatorExchange *self, const Place *place, GgLimitMessage *message)
{
  const GgRoster *roster = gg_membership_get_roster (self->membership);
  const GPtrArray *peers = gg_roster_get_others (roster);
  const char *further[] = { gg_allocator_election_get_allocator (place->election),
                            gg_allocator_election_get_former_candidate (place->election) };
  for (guint i = 0; i < peers->len; i++)
    send_poll (self, ((const GgPeer *) g_ptr_array_index (peers, i))->address, message);
  for (guint i = 0; i < G_N_ELEMENTS (further); i++)
    if (further[i] != NULL && !gg_roster_has_address (roster, further[i])
        && (i == 0 || g_strcmp0 (further[i], further[0]) != 0))
      send_poll (self, further[i], message);
}

static void
poll_instances (const GgAllocatorExchange *self, Place *place, uint64_t now_ms)
{
  GgAllocatorPoll poll = gg_allocator_election_get_poll (place->election, now_ms);
  if (poll == GG_ALLOCATOR_POLL_NONE)
    return;
  const GPtrArray *peers = gg_roster_get_others (gg_membership_get_roster (self->membership));
  GgLimitMessage message;
  gg_limit_message_init (&message, GG_LIMIT_MESSAGE_POLL,
                         gg_membership_get_address (self->membership));
  add_view (place, &message);
  switch (poll)
    {
    case GG_ALLOCATOR_POLL_NONE:
      break;
    case GG_ALLOCATOR_POLL_ALLOCATOR:
      send_poll (self, gg_allocator_election_get_allocator (place->election), &message);
      break;
    case GG_ALLOCATOR_POLL_ONE:
      if (peers->len > 0)
        send_poll (
            self,
            ((const GgPeer *) g_ptr_array_index (peers, place->n_polls++ % peers->len))->address,
            &message);
      break;
    case GG_ALLOCATOR_POLL_ALL:
      poll_all (self, place, &message);
      break;
    }
  gg_limit_message_clear (&message);
}

void
gg_allocator_exchange_update (GgAllocatorExchange *self, uint64_t now_ms)
{
  const GPtrArray *names = gg_roster_get_data_centres (gg_membership_get_roster (self->membership));
  uint64_t n = 0;
  for (guint i = 0; i < names->len; i++)
    find_place (self, g_ptr_array_index (names, i));
  for (guint i = 0; i < self->places->len; i++)
    {
      Place *place = g_ptr_array_index (self->places, i);
      update_place (self, place, now_ms);
      poll_instances (self, place, now_ms);
      n += gg_allocator_election_is_allocating (place->election, now_ms);
    }
  gg_counter_set (&allocating, n);
}

const char *
gg_allocator_exchange_find (GgAllocatorExchange *self, const char *data_centre)
{
  return gg_allocator_election_get_allocator (find_place (self, data_centre)->election);
}

gboolean
gg_allocator_exchange_is_allocating (GgAllocatorExchange *self,
                                     const char *data_centre,
                                     uint64_t now_ms)
{
  return gg_allocator_election_is_allocating (find_place (self, data_centre)->election, now_ms);
}

void
gg_allocator_exchange_note_request (GgAllocatorExchange *self, const char *address, uint64_t now_ms)
{
  for (guint i = 0; i < self->places->len; i++)
    {
      const Place *place = g_ptr_array_index (self->places, i);
      if (g_strcmp0 (gg_allocator_election_get_allocator (place->election), address) == 0)
        gg_allocator_election_note_request (place->election, now_ms);
    }
}

void
gg_allocator_exchange_note_reply (GgAllocatorExchange *self, const char *sender)
{
  for (guint i = 0; i < self->places->len; i++)
    gg_allocator_election_note_reply (((Place *) g_ptr_array_index (self->places, i))->election,
                                      sender);
}

static gboolean
is_registered (const GgAllocatorExchange *self, const char *address)
{
  return gg_roster_has_address (gg_membership_get_roster (self->membership), address);
}

void
gg_allocator_exchange_note_old_request (GgAllocatorExchange *self,
                                        const char *sender,
                                        const char *data_centre,
                                        uint64_t now_ms)
{
  gg_allocator_election_note_confirmation (find_place (self, data_centre)->election, sender,
                                           is_registered (self, sender), now_ms);
}

void
gg_allocator_exchange_add_views (GgAllocatorExchange *self,
                                 const char *address,
                                 GgLimitMessage *message)
{
  for (guint i = 0; i < self->places->len; i++)
    {
      const Place *place = g_ptr_array_index (self->places, i);
      if (g_strcmp0 (gg_allocator_election_get_allocator (place->election), address) == 0)
        add_view (place, message);
    }
}

static gboolean
is_address_valid (const char *address)
{
  struct sockaddr_in target;
  return gg_address_resolve (address, &target, NULL) && target.sin_port != 0;
}

static void
note_view (const GgAllocatorExchange *self,
           Place *place,
           const char *sender,
           const GgLimitView *stated,
           uint64_t now_ms)
{
  GgAllocatorView view
      = { .term = stated->term, .address = stated->address, .is_ceded = stated->is_ceded };
  if (!is_address_valid (stated->address))
    return;
  gg_allocator_election_note_view (place->election, sender, is_registered (self, sender), &view,
                                   now_ms);
  if (stated->is_claim)
    gg_allocator_election_note_claim (place->election, sender, now_ms);
  report_change (self, place);
}

gboolean
gg_allocator_exchange_receive (GgAllocatorExchange *self,
                               const char *sender,
                               GgLimitMessage *message,
                               uint64_t now_ms)
{
  GPtrArray *places = g_ptr_array_new ();
  gboolean is_later = FALSE;
  for (guint i = 0; i < message->views->len; i++)
    {
      const GgLimitView *stated = &g_array_index (message->views, GgLimitView, i);
      Place *place = find_place_by_hash (self, stated->data_centre_hash);
      if (place == NULL)
        continue;
      note_view (self, place, sender, stated, now_ms);
      is_later = is_later || place->term > stated->term;
      g_ptr_array_add (places, place);
    }
  gg_limit_message_clear_views (message);
  for (guint i = 0; i < places->len; i++)
    add_view (g_ptr_array_index (places, i), message);
  g_ptr_array_unref (places);
  return is_later;
}

GgAllocatorExchange *
gg_allocator_exchange_create (GgRouter *router,
                              const GgMembership *membership,
                              GgAllocatorChangedFunc func,
                              void *data)
{
  GgAllocatorExchange *self = g_new0 (GgAllocatorExchange, 1);
  self->router = router;
  self->membership = membership;
  self->func = func;
  self->data = data;
  self->places = g_ptr_array_new_with_free_func (free_place);
  return self;
}

void
gg_allocator_exchange_destroy (GgAllocatorExchange *self)
{
  g_ptr_array_unref (self->places);
  g_free (self);
}
