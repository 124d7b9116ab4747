#include "core/wait_order.h"

/* Callers abandon a stream after two seconds without an event; a request that is queued for longer
 * than this would hardly have its first event by then. */
#define MAX_WAIT_MS 1300
/* Time from sending a request to its first event, under load. */
#define FIRST_EVENT_MS 150
/* Requests that may be queued even if none was sent recently. */
#define MIN_QUEUE_LENGTH 6
#define MS_PER_S 1000.0

/* A service without capacity for requests that may use this part of the memory, or less. */
typedef struct
{
  const char *service;
  double usable_memory;
} FullService;

struct _GgWaitPass
{
  GArray *full; /* FullService, one for each service */
};

static gboolean
is_in_time (const GgQueuedRequest *request, uint64_t now_ms)
{
  return now_ms + FIRST_EVENT_MS <= request->received_ms + request->latency_target_ms;
}

gboolean
gg_wait_order_is_before (const GgQueuedRequest *a, const GgQueuedRequest *b, uint64_t now_ms)
{
  gboolean a_in_time = is_in_time (a, now_ms);
  gboolean b_in_time = is_in_time (b, now_ms);
  if (a_in_time != b_in_time)
    return a_in_time;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->received_ms < b->received_ms;
}

GgWaitPass *
gg_wait_pass_create (void)
{
  GgWaitPass *self = g_new0 (GgWaitPass, 1);
  self->full = g_array_new (FALSE, FALSE, sizeof (FullService));
  return self;
}

void
gg_wait_pass_destroy (GgWaitPass *self)
{
  g_array_unref (self->full);
  g_free (self);
}

static FullService *
find_full (const GgWaitPass *self, const char *service)
{
  for (guint i = 0; i < self->full->len; i++)
    {
      FullService *full = &g_array_index (self->full, FullService, i);
      if (g_str_equal (full->service, service))
        return full;
    }
  return NULL;
}

void
gg_wait_pass_note_full (GgWaitPass *self, const GgQueuedRequest *request)
{
  FullService *full = find_full (self, request->service);
  if (full != NULL)
    {
      full->usable_memory = MAX (full->usable_memory, request->usable_memory);
      return;
    }
  FullService added = { .service = request->service, .usable_memory = request->usable_memory };
  g_array_append_val (self->full, added);
}

gboolean
gg_wait_pass_is_blocked (const GgWaitPass *self, const GgQueuedRequest *request)
{
  const FullService *full = find_full (self, request->service);
  return full != NULL && request->usable_memory <= full->usable_memory;
}

gboolean
gg_wait_order_may_queue (guint n_waiting, double n_per_s)
{
  return n_waiting < MIN_QUEUE_LENGTH || n_waiting < n_per_s * MAX_WAIT_MS / MS_PER_S;
}

gboolean
gg_wait_order_is_expired (const GgQueuedRequest *request, uint64_t now_ms)
{
  return now_ms - request->waiting_since_ms > MAX_WAIT_MS;
}

uint64_t
gg_wait_order_get_max_wait_ms (void)
{
  return MAX_WAIT_MS;
}
