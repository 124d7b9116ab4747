#include "daemons/routerd/handover.h"

#include "base/counters.h"
#include "base/event_log.h"
#include "daemons/routerd/client_limits.h"
#include "daemons/routerd/link_exchange.h"
#include "daemons/routerd/link_monitor.h"
#include "daemons/routerd/problem.h"
#include "daemons/routerd/relay_private.h"

/* Bounds the memory that peers take here; a request in progress takes some tens of KiB. */
#define MAX_OPEN 256
#define STATUS_FORBIDDEN 403

static GgCounter declined_total
    = GG_COUNTER ("greengage_router_handovers_declined_total",
                  "Requests of peers that were declined, since there was no room");
static GgCounter forged_total
    = GG_COUNTER ("greengage_router_handovers_forged_total",
                  "Requests at the address for peers that named no valid token");

guint
gg_handover_get_room (const GgRouter *router)
{
  gboolean is_able = gg_router_is_ready (router) && !router->is_refusing
                     && gg_link_monitor_get_state (router->link_monitor, NULL) == GG_LINKS_UP;
  return is_able && router->n_handed_over < MAX_OPEN ? MAX_OPEN - router->n_handed_over : 0;
}

static void
decline (GgRouter *router,
         GgServerConnection *connection,
         const GgServerEvent *event,
         uint32_t status,
         const char *detail)
{
  char log_id[GG_EVENT_LOG_ID_BYTES + 1];
  gboolean is_peer = status != STATUS_FORBIDDEN;
  gg_event_log_format_id (gg_relay_wire_get_attempt_id (event->request.head), log_id);
  if (gg_client_limits_may_log (router->client_limits,
                                is_peer ? GG_REFUSAL_NONE : GG_REFUSAL_NO_VALID_TOKEN))
    gg_event_log_add (is_peer ? GG_EVENT_ORDINARY : GG_EVENT_NOTABLE, "handover_declined",
                      "request=%s reason=%s", log_id, detail);
  gg_problem_reply_handover (connection, status, detail,
                             status == GG_STATUS_UNAVAILABLE ? GG_RETRY_AFTER_FULL_MS : 0,
                             GG_HANDOVER_DECLINED);
  gg_message_head_destroy (event->request.head);
  if (event->request.body != NULL)
    g_byte_array_unref (event->request.body);
}

static void
on_request (GgRouter *router, GgServerConnection *connection, const GgServerEvent *event)
{
  GgHandoverFields fields;
  if (!gg_relay_wire_read_handover (event->request.head, &fields)
      || !gg_link_exchange_is_token_valid (router->link_exchange, fields.token))
    {
      gg_counter_add (&forged_total, 1);
      decline (router, connection, event, STATUS_FORBIDDEN, "no_valid_token");
    }
  else if (gg_handover_get_room (router) == 0)
    {
      gg_counter_add (&declined_total, 1);
      decline (router, connection, event, GG_STATUS_UNAVAILABLE, "no_room_for_peers");
    }
  else
    gg_relay_take_over (router, connection, event, &fields);
}

void
gg_handover_on_server_event (GgRouter *router,
                             GgServerConnection *connection,
                             const GgServerEvent *event)
{
  if (event->kind == GG_SERVER_REQUEST)
    on_request (router, connection, event);
  else
    gg_relay_on_server_event (router, connection, event);
}
