#include "daemons/controld/order_issuer.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/log.h"
#include "core/order.h"

#include <pthread.h>
#include <string.h>

#define CALL_TIMEOUT_MS 1000

static GgCounter sent
    = GG_COUNTER ("greengage_orders_total{result=\"sent\"}", "Orders to runners by result");
static GgCounter rejected
    = GG_COUNTER ("greengage_orders_total{result=\"rejected\"}", "Orders to runners by result");
static GgCounter failed
    = GG_COUNTER ("greengage_orders_total{result=\"failed\"}", "Orders to runners by result");

struct _GgOrderIssuer
{
  GgControlState *state;
  GgHttpPool *http;
  pthread_mutex_t lock;
  GHashTable *orders; /* runner id to GgOrderState */
};

GgOrderIssuer *
gg_order_issuer_create (GgControlState *state, GgHttpPool *http)
{
  GgOrderIssuer *self = g_new0 (GgOrderIssuer, 1);
  self->state = state;
  self->http = http;
  pthread_mutex_init (&self->lock, NULL);
  self->orders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
gg_order_issuer_destroy (GgOrderIssuer *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->orders);
  pthread_mutex_destroy (&self->lock);
  g_free (self);
}

/* Returns the version in force for the runner's service, owned by the caller, or NULL if it is not
 * a declared model. */
static char *
get_desired (GgOrderIssuer *self, const GgMember *runner, uint64_t *generation_out)
{
  char *desired = NULL;
  gg_control_state_lock (self->state);
  const GgService *service = self->state->config != NULL && runner->service != NULL
                                 ? gg_config_find_service (self->state->config, runner->service)
                                 : NULL;
  if (service != NULL && service->kind == GG_SERVICE_MODEL)
    {
      desired = g_strdup (service->version);
      *generation_out = gg_config_document_get_generation (self->state->document);
    }
  gg_control_state_unlock (self->state);
  return desired;
}

static GgOrderDecision
decide (GgOrderIssuer *self,
        const GgMember *runner,
        const char *reported,
        const char *desired,
        uint64_t generation)
{
  pthread_mutex_lock (&self->lock);
  GgOrderState *order = g_hash_table_lookup (self->orders, runner->id);
  if (order == NULL)
    {
      order = g_new0 (GgOrderState, 1);
      g_hash_table_insert (self->orders, g_strdup (runner->id), order);
    }
  GgOrderDecision decision
      = gg_order_decide (order, reported, desired, generation, gg_clock_now_ms ());
  pthread_mutex_unlock (&self->lock);
  return decision;
}

static void
record (GgOrderIssuer *self, const char *kind, const GgMember *runner, const char *version)
{
  gg_log (LOG_NOTICE, "event=%s runner=%s version=%s", kind, runner->id, version);
  gg_account_record (self->state->account, kind, runner->id, version, FALSE, gg_clock_wall_ms ());
}

static void
send_order (GgOrderIssuer *self, const GgMember *runner, const char *version, uint64_t generation)
{
  char *body = g_strdup_printf ("{\"fencing\":%" G_GUINT64_FORMAT ",\"version\":\"%s\"}",
                                (guint64) generation, version);
  GgHttpRequest request = { .method = "POST",
                            .path = "/v1/orders",
                            .body = body,
                            .body_size_bytes = strlen (body),
                            .may_repeat = FALSE };
  GgHttpReply reply = { 0 };
  gg_counter_add (&sent, 1);
  GgHttpResult result = gg_http_pool_call (self->http, runner->address, &request,
                                           gg_clock_now_ms () + CALL_TIMEOUT_MS, &reply);
  /* A rejected order means that the runner has already received an order of a newer configuration,
   * which this process will get through the peer exchange. The next report decides whether to send
   * again. */
  if (result != GG_HTTP_OK)
    gg_counter_add (&failed, 1);
  else if (reply.status != 200)
    gg_counter_add (&rejected, 1);
  gg_http_reply_clear (&reply);
  g_free (body);
}

void
gg_order_issuer_handle_report (GgOrderIssuer *self, const GgMember *runner, const char *version)
{
  uint64_t generation = 0;
  char *desired = get_desired (self, runner, &generation);
  if (desired == NULL)
    return;
  switch (decide (self, runner, version, desired, generation))
    {
    case GG_ORDER_NONE:
      break;
    case GG_ORDER_SEND:
      record (self, "version-ordered", runner, desired);
      send_order (self, runner, desired, generation);
      break;
    case GG_ORDER_APPLIED:
      record (self, "version-in-force", runner, desired);
      break;
    }
  g_free (desired);
}
