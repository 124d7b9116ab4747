#include "daemons/routerd/client_limits.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "base/metric_family.h"

#include <malloc.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

#define BYTES_PER_MB 1e6
/* Share of the instance's memory for buffers of clients. */
#define BUFFER_DIVISOR 5
/* Enough for sixteen requests of 4 MB; the memory that the system reports may not all be there for
 * this process. */
#define MAX_BUFFER_BYTES (64 * 1000 * 1000)
/* Added to the largest body, for its head and what other clients hold. */
#define BODY_MARGIN_DIVISOR 4
/* Most of the instance's memory that a large body may take: with the reserve of small holders and
 * the rest of the process, some 120 of 160 MB are used. */
#define LARGEST_DIVISOR 2
/* Part of the buffers that answers may take, so that faulty runners leave room for callers. */
#define ANSWER_DIVISOR 2
#define DEFAULT_DESCRIPTORS 1024
/* Parts of the descriptors; a quarter is left for outgoing connections. */
#define CALLERS_DIVISOR 2
#define PEERS_DIVISOR 8
#define MONITORS_DIVISOR 16
#define MIN_CONNECTIONS 4
#define LOG_INTERVAL_MS 1000
/* Allocations from this size on are returned to the system when they are freed. glibc would raise
 * the threshold with the first large body, and keep the memory of later ones. */
#define MMAP_THRESHOLD_BYTES (128 * 1024)

struct _GgClientLimits
{
  GgBufferAccount *buffers;
  GgLoopTimer *log_timer;
  guint max_callers; /* 0: half of the descriptors */
  guint n_descriptors;
  uint64_t memory_bytes; /* of the instance; 0: not known */
  uint64_t buffer_bytes;
  gboolean is_buffer_set;                               /* by the operators */
  guint n_gave_way[GG_SERVER_GAVE_WAY_CONNECTIONS + 1]; /* since the last log line */
  gboolean is_log_pending;
  GgRefusalLog refusals;
  GgLoopTimer *refusal_timer;
  gboolean is_refusal_pending;
};

static GgMetricFamily gave_way_total
    = GG_COUNTER_FAMILY ("greengage_router_clients_gave_way_total",
                         "Requests and connections of clients that were ended for lack of room",
                         "cause");

static GgCounter unlogged_total
    = GG_COUNTER ("greengage_router_refusals_unlogged_total",
                  "Refused requests without authorization that have no log line");

static uint64_t
get_memory_bytes (const GgSettings *settings)
{
  double memory_mb = gg_settings_get_decimal (settings, "limits", "memory_mb");
  struct sysinfo info;
  if (memory_mb > 0)
    return (uint64_t) (memory_mb * BYTES_PER_MB);
  return sysinfo (&info) == 0 ? (uint64_t) info.totalram * info.mem_unit : 0;
}

static uint64_t
get_buffer_bytes (const GgSettings *settings)
{
  double buffer_mb = gg_settings_get_decimal (settings, "limits", "buffer_mb");
  uint64_t memory_bytes = get_memory_bytes (settings);
  if (buffer_mb > 0)
    return (uint64_t) (buffer_mb * BYTES_PER_MB);
  return memory_bytes > 0 ? MIN (memory_bytes / BUFFER_DIVISOR, MAX_BUFFER_BYTES)
                          : MAX_BUFFER_BYTES;
}

static guint
count_descriptors (void)
{
  struct rlimit limit;
  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return DEFAULT_DESCRIPTORS;
  return (guint) MIN (limit.rlim_cur, G_MAXINT);
}

static void
on_log_timer (void *data)
{
  GgClientLimits *self = data;
  self->is_log_pending = FALSE;
  gg_event_log_add (
      GG_EVENT_NOTABLE, "clients_gave_way",
      "for_memory=%u for_connections=%u buffer_bytes=%" G_GUINT64_FORMAT
      " limit_bytes=%" G_GUINT64_FORMAT,
      self->n_gave_way[GG_SERVER_GAVE_WAY_MEMORY], self->n_gave_way[GG_SERVER_GAVE_WAY_CONNECTIONS],
      (guint64) gg_buffer_account_get_held (self->buffers), (guint64) self->buffer_bytes);
  for (guint i = 0; i < G_N_ELEMENTS (self->n_gave_way); i++)
    self->n_gave_way[i] = 0;
}

/* There may be thousands in a second, so they are logged together. */
static void
on_gave_way (void *data, GgServerGaveWay cause)
{
  GgClientLimits *self = data;
  gg_metric_family_add (&gave_way_total,
                        cause == GG_SERVER_GAVE_WAY_MEMORY ? "memory" : "connections", 1);
  self->n_gave_way[cause]++;
  if (self->is_log_pending)
    return;
  self->is_log_pending = TRUE;
  gg_loop_timer_start (self->log_timer, LOG_INTERVAL_MS);
}

static void
on_refusal_timer (void *data)
{
  GgClientLimits *self = data;
  self->is_refusal_pending = FALSE;
  gg_event_log_add (GG_EVENT_NOTABLE, "refusals_left_out", "count=%" G_GUINT64_FORMAT,
                    (guint64) gg_refusal_log_take_left_out (&self->refusals));
}

gboolean
gg_client_limits_may_log (GgClientLimits *self, GgRefusalKind kind)
{
  if (gg_refusal_log_admit (&self->refusals, kind, gg_clock_now_ms ()))
    return TRUE;
  gg_counter_add (&unlogged_total, 1);
  if (!self->is_refusal_pending)
    gg_loop_timer_start (self->refusal_timer, LOG_INTERVAL_MS);
  self->is_refusal_pending = TRUE;
  return FALSE;
}

GgClientLimits *
gg_client_limits_create (GgLoop *loop, const GgSettings *settings)
{
  GgClientLimits *self = g_new0 (GgClientLimits, 1);
  mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
  self->memory_bytes = get_memory_bytes (settings);
  self->buffer_bytes = get_buffer_bytes (settings);
  self->is_buffer_set = gg_settings_get_decimal (settings, "limits", "buffer_mb") > 0;
  self->buffers = gg_buffer_account_create (self->buffer_bytes);
  self->max_callers = (guint) gg_settings_get_uint (settings, "limits", "connections");
  self->n_descriptors = count_descriptors ();
  self->log_timer = gg_loop_timer_create (loop, on_log_timer, self);
  self->refusal_timer = gg_loop_timer_create (loop, on_refusal_timer, self);
  gg_counter_register (&unlogged_total);
  return self;
}

void
gg_client_limits_destroy (GgClientLimits *self)
{
  gg_loop_timer_destroy (self->log_timer);
  gg_loop_timer_destroy (self->refusal_timer);
  gg_buffer_account_destroy (self->buffers);
  g_free (self);
}

void
gg_client_limits_set_max_body (GgClientLimits *self, uint64_t max_body_bytes)
{
  uint64_t needed_bytes = max_body_bytes + max_body_bytes / BODY_MARGIN_DIVISOR;
  if (self->memory_bytes > 0)
    needed_bytes = MIN (needed_bytes, self->memory_bytes / LARGEST_DIVISOR);
  if (!self->is_buffer_set)
    gg_buffer_account_set_limit (self->buffers, MAX (self->buffer_bytes, needed_bytes));
}

uint64_t
gg_client_limits_get_answer_bytes (const GgClientLimits *self)
{
  return self->buffer_bytes / ANSWER_DIVISOR;
}

void
gg_client_limits_apply (GgClientLimits *self, GgLoopServer *server, GgClientKind kind)
{
  guint n = 0;
  switch (kind)
    {
    case GG_CLIENTS_CALLERS:
      n = self->max_callers > 0 ? self->max_callers : self->n_descriptors / CALLERS_DIVISOR;
      break;
    case GG_CLIENTS_PEERS:
      n = self->n_descriptors / PEERS_DIVISOR;
      break;
    case GG_CLIENTS_MONITORS:
      n = self->n_descriptors / MONITORS_DIVISOR;
      break;
    }
  gg_loop_server_set_capacity (server, self->buffers, MAX (n, MIN_CONNECTIONS), on_gave_way, self);
}
