#include "daemons/routerd/link_exchange.h"

#include "adapters/rpc/link_message.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "core/handover_offers.h"
#include "daemons/routerd/handover.h"
#include "daemons/routerd/link_monitor.h"

#include <string.h>
#include <sys/random.h>

#define QUERY_INTERVAL_MS 200
/* Answers to this number of the latest queries are accepted. */
#define MAX_PENDING_QUERIES 4
/* Services whose runners have sent nothing for this long are left out of answers. */
#define MAX_ANSWERED_AGE_MS 2000
/* A service without traffic for this long is probed at a query, so that the peer knows that it is
 * reached before GG_HANDOVER_MAX_RECEIVED_AGE_MS is over. */
#define PROBE_AGE_MS 500
/* Offers that are passed on in answer to one query. All members of a data centre may query at once;
 * the offers take turns, so that all are used. */
#define MAX_RELAYED_OFFERS 4
/* Room of a peer counts for this long as a reason to stay in rotation. */
#define ROOM_HOLD_MS 1000
#define FULL_PERMILLE 1000

struct _GgLinkExchange
{
  GgRouter *router;
  const GgMembership *membership;
  const GgLoadExchange *load_exchange;
  GgLoopTimer *timer;
  GgHandoverOffers *offers;
  gboolean is_querying;
  uint64_t querying_since_ms;
  uint64_t token;
  uint64_t number; /* of the last query; starts at random, so that answers can't be forged */
  uint64_t sent_ms[MAX_PENDING_QUERIES]; /* by number; 0 for none */
};

static GgCounter queries_total
    = GG_COUNTER ("greengage_router_link_queries_total",
                  "Rounds of queries to the peers while links to runners were in doubt");
static GgCounter answers_total = GG_COUNTER ("greengage_router_link_answers_total",
                                             "Queries of peers whose requests may be taken over");
static GgCounter relays_total
    = GG_COUNTER ("greengage_router_link_relays_total", "Queries answered with offers of others");

static uint64_t
get_random_number (void)
{
  uint64_t number = 0;
  ssize_t n = getrandom (&number, sizeof number, 0);
  g_assert (n == sizeof number);
  return number;
}

static void
init_message (const GgLinkExchange *self, GgLinkMessage *message, GgLinkMessageKind kind)
{
  gg_link_message_init (message, kind);
  message->name = g_strdup (self->router->instance);
  message->address = g_strdup (gg_membership_get_address (self->membership));
  message->data_centre = g_strdup (self->router->data_centre);
}

static void
send_message (const GgLinkExchange *self, GgLinkMessage *message, const char *address)
{
  char bytes[GG_LINK_MESSAGE_MAX_BYTES];
  size_t size_bytes = gg_link_message_encode (message, bytes, sizeof bytes);
  if (size_bytes > 0)
    gg_datagram_socket_send (self->router->peer_socket, address, bytes, size_bytes);
}

static void
send_queries (GgLinkExchange *self)
{
  const GPtrArray *peers = gg_roster_get_others (gg_membership_get_roster (self->membership));
  GgLinkMessage message;
  init_message (self, &message, GG_LINK_MESSAGE_QUERY);
  message.number = ++self->number;
  gg_counter_add (&queries_total, 1);
  self->sent_ms[message.number % MAX_PENDING_QUERIES] = gg_clock_now_ms ();
  for (guint i = 0; i < peers->len; i++)
    send_message (self, &message, ((const GgPeer *) g_ptr_array_index (peers, i))->address);
  gg_link_message_clear (&message);
}

static void
on_timer (void *data)
{
  GgLinkExchange *self = data;
  gg_handover_offers_expire (self->offers, gg_clock_now_ms ());
  send_queries (self);
  gg_loop_timer_start (self->timer, QUERY_INTERVAL_MS);
}

void
gg_link_exchange_set_querying (GgLinkExchange *self, gboolean is_querying)
{
  if (self->is_querying == is_querying)
    return;
  self->is_querying = is_querying;
  if (!is_querying)
    {
      gg_loop_timer_stop (self->timer);
      return;
    }
  self->querying_since_ms = gg_clock_now_ms ();
  on_timer (self);
}

/* An answer under construction. More services than fit are sent in further datagrams. */
typedef struct
{
  const GgLinkExchange *exchange;
  GgLinkMessage message;
  const char *address; /* to which the answer goes */
} Answer;

typedef struct
{
  Answer answer;
  guint n_offers;
  guint next; /* position of the next offer, counted from the first one to be passed on */
} Relay;

static void
add_service (void *data, uint32_t service_hash, uint64_t received_age_ms)
{
  Answer *answer = data;
  if (received_age_ms > MAX_ANSWERED_AGE_MS)
    return;
  GgReachedService reached = { service_hash, (uint32_t) received_age_ms };
  g_array_append_val (answer->message.services, reached);
  if (answer->message.services->len < GG_LINK_MESSAGE_MAX_SERVICES)
    return;
  send_message (answer->exchange, &answer->message, answer->address);
  g_array_set_size (answer->message.services, 0);
}

static void
add_own_services (const GgLinkExchange *self, Answer *answer)
{
  const GgRoutingConfig *config = self->router->config;
  GgLinkMonitor *monitor = self->router->link_monitor;
  for (guint i = 0; i < gg_routing_config_count_services (config); i++)
    {
      const char *service = gg_routing_config_get_service (config, i)->name;
      uint64_t age_ms = gg_link_monitor_get_received_age_ms (monitor, service);
      if (gg_link_monitor_get_state (monitor, service) == GG_LINKS_UP)
        add_service (answer, g_str_hash (service), age_ms);
      if (age_ms > PROBE_AGE_MS)
        gg_link_monitor_refresh (monitor, service);
    }
}

static uint32_t
get_load_permille (guint n_used, guint room)
{
  return room > 0 ? (uint32_t) ((uint64_t) FULL_PERMILLE * n_used / (n_used + room))
                  : FULL_PERMILLE;
}

static void
send_own_answer (const GgLinkExchange *self, const GgLinkMessage *query)
{
  Answer answer = { .exchange = self, .address = query->address };
  gg_counter_add (&answers_total, 1);
  init_message (self, &answer.message, GG_LINK_MESSAGE_ANSWER);
  answer.message.number = query->number;
  answer.message.token = self->token;
  answer.message.room = gg_handover_get_room (self->router);
  answer.message.load_permille
      = get_load_permille (self->router->n_handed_over, answer.message.room);
  add_own_services (self, &answer);
  send_message (self, &answer.message, query->address);
  gg_link_message_clear (&answer.message);
}

static void
relay_offer (const Answer *relayed, const GgPeerOffer *offer)
{
  Answer answer = *relayed;
  gg_link_message_init (&answer.message, GG_LINK_MESSAGE_ANSWER);
  answer.message.name = g_strdup (offer->name);
  answer.message.address = g_strdup (offer->address);
  answer.message.data_centre = g_strdup (offer->data_centre);
  answer.message.number = relayed->message.number;
  answer.message.token = offer->token;
  answer.message.room = offer->room;
  answer.message.load_permille = offer->load_permille;
  gg_handover_offers_foreach_service (answer.exchange->offers, offer->name, gg_clock_now_ms (),
                                      add_service, &answer);
  send_message (answer.exchange, &answer.message, answer.address);
  gg_link_message_clear (&answer.message);
}

static void
count_offer (void *data, const GgPeerOffer *offer)
{
  (void) offer;
  ((Relay *) data)->n_offers++;
}

static void
relay_in_turn (void *data, const GgPeerOffer *offer)
{
  Relay *relay = data;
  if (relay->next++ % relay->n_offers < MAX_RELAYED_OFFERS)
    relay_offer (&relay->answer, offer);
}

/* Passes on offers of peers to a member, which does not know all registered instances and is not
 * known to those of other data centres. */
static void
relay_offers (const GgLinkExchange *self, const GgLinkMessage *query)
{
  Relay relay = { .answer = { .exchange = self,
                              .message = { .number = query->number },
                              .address = query->address } };
  uint64_t now_ms = gg_clock_now_ms ();
  guint rank = gg_roster_get_rank (gg_membership_get_roster (self->membership));
  gg_handover_offers_foreach_direct (self->offers, now_ms, count_offer, &relay);
  if (relay.n_offers == 0)
    return;
  gg_counter_add (&relays_total, 1);
  relay.next = (guint) ((query->number + rank) % relay.n_offers) * MAX_RELAYED_OFFERS;
  gg_handover_offers_foreach_direct (self->offers, now_ms, relay_in_turn, &relay);
}

static void
apply_query (const GgLinkExchange *self, const GgLinkMessage *query)
{
  const GgRouter *router = self->router;
  gboolean is_registered
      = gg_roster_has_address (gg_membership_get_roster (self->membership), query->address);
  /* Members are never listed, nor are instances whose calls the store rejects. */
  gboolean is_known = is_registered
                      || gg_load_exchange_has_local (self->load_exchange, query->address)
                      || gg_load_exchange_has_remote (self->load_exchange, query->address);
  if (router->config == NULL || router->is_stopping || !is_known)
    return;
  if (gg_link_monitor_get_state (router->link_monitor, NULL) == GG_LINKS_UP)
    send_own_answer (self, query);
  else if (!is_registered && gg_membership_get_role (self->membership) == GG_ROLE_REGISTERED)
    relay_offers (self, query);
}

/* Reports to the link monitor which services a peer reaches. */
static void
note_services (const GgLinkExchange *self, const GgLinkMessage *answer, uint64_t round_trip_ms)
{
  const GgRoutingConfig *config = self->router->config;
  for (guint i = 0; config != NULL && i < gg_routing_config_count_services (config); i++)
    {
      const char *service = gg_routing_config_get_service (config, i)->name;
      uint32_t hash = g_str_hash (service);
      for (guint k = 0; k < answer->services->len; k++)
        {
          const GgReachedService *reached = &g_array_index (answer->services, GgReachedService, k);
          if (reached->service_hash == hash)
            gg_link_monitor_note_peer_received (self->router->link_monitor, service,
                                                reached->received_age_ms + round_trip_ms);
        }
    }
}

static void
apply_answer (GgLinkExchange *self, const GgLinkMessage *answer)
{
  uint64_t sent_ms = self->sent_ms[answer->number % MAX_PENDING_QUERIES];
  if (!self->is_querying || sent_ms == 0 || self->number - answer->number >= MAX_PENDING_QUERIES
      || strcmp (answer->name, self->router->instance) == 0)
    return;
  uint64_t now_ms = gg_clock_now_ms ();
  uint64_t round_trip_ms = now_ms - sent_ms;
  gboolean is_relayed
      = !gg_roster_has_address (gg_membership_get_roster (self->membership), answer->address);
  if (is_relayed && gg_membership_get_role (self->membership) == GG_ROLE_REGISTERED)
    return; /* it knows all instances that make offers */
  GgPeerOffer offer = { .name = answer->name,
                        .address = answer->address,
                        .data_centre = answer->data_centre,
                        .token = answer->token,
                        .room = answer->room,
                        .load_permille = answer->load_permille };
  gg_handover_offers_put (self->offers, &offer, is_relayed, now_ms);
  for (guint i = 0; i < answer->services->len; i++)
    {
      const GgReachedService *reached = &g_array_index (answer->services, GgReachedService, i);
      gg_handover_offers_put_service (self->offers, answer->name, reached->service_hash,
                                      reached->received_age_ms + round_trip_ms, now_ms);
    }
  note_services (self, answer, round_trip_ms);
}

gboolean
gg_link_exchange_receive (GgLinkExchange *self, char *bytes, size_t size_bytes)
{
  GgLinkMessage message;
  if (!gg_link_message_decode (bytes, size_bytes, &message))
    return FALSE;
  switch (message.kind)
    {
    case GG_LINK_MESSAGE_QUERY:
      apply_query (self, &message);
      break;
    case GG_LINK_MESSAGE_ANSWER:
      apply_answer (self, &message);
      break;
    }
  gg_link_message_clear (&message);
  return TRUE;
}

gboolean
gg_link_exchange_choose_peer (GgLinkExchange *self,
                              const char *service,
                              const char *const *excluded,
                              uint32_t random,
                              GgHandoverOffer *offer_out)
{
  const GgPeerOffer *offer = gg_handover_offers_choose (self->offers, g_str_hash (service),
                                                        excluded, random, gg_clock_now_ms ());
  if (offer == NULL)
    return FALSE;
  *offer_out
      = (GgHandoverOffer){ .name = offer->name, .address = offer->address, .token = offer->token };
  return TRUE;
}

void
gg_link_exchange_avoid_peer (GgLinkExchange *self, const char *name, uint64_t for_ms)
{
  gg_handover_offers_avoid (self->offers, name, gg_clock_now_ms () + for_ms);
  gg_event_log_add (GG_EVENT_ORDINARY, "peer_avoided", "peer=%s for_ms=%" G_GUINT64_FORMAT, name,
                    (guint64) for_ms);
}

gboolean
gg_link_exchange_lacks_room (const GgLinkExchange *self)
{
  uint64_t last_ms
      = MAX (self->querying_since_ms, gg_handover_offers_get_last_room_ms (self->offers));
  return self->is_querying && gg_clock_now_ms () >= last_ms + ROOM_HOLD_MS;
}

gboolean
gg_link_exchange_is_token_valid (const GgLinkExchange *self, uint64_t token)
{
  return token == self->token;
}

GgLinkExchange *
gg_link_exchange_create (GgRouter *router,
                         const GgMembership *membership,
                         const GgLoadExchange *load_exchange)
{
  GgLinkExchange *self = g_new0 (GgLinkExchange, 1);
  self->router = router;
  self->membership = membership;
  self->load_exchange = load_exchange;
  self->offers = gg_handover_offers_create (router->data_centre);
  self->token = get_random_number ();
  self->number = get_random_number ();
  self->timer = gg_loop_timer_create (router->loop, on_timer, self);
  return self;
}

void
gg_link_exchange_destroy (GgLinkExchange *self)
{
  gg_loop_timer_destroy (self->timer);
  gg_handover_offers_destroy (self->offers);
  g_free (self);
}
