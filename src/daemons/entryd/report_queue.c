#include "daemons/entryd/report_queue.h"

#include "base/clock.h"
#include "base/counters.h"

#include <pthread.h>

#define BATCH_SIZE 64
/* Events are queued while the control process is down. Beyond this number, each new one replaces
 * the oldest one that is not in flight. */
#define MAX_PENDING_EVENTS 1024

static GgCounter dropped = GG_COUNTER ("greengage_reports_dropped_total",
                                       "Events dropped while the control process was down");

struct _GgReportQueue
{
  pthread_mutex_t lock;
  char *sender;
  uint64_t sequence;
  GArray *leaving; /* gg_rpc_leaving */
  GArray *events;  /* gg_rpc_account_event */
  guint leaving_in_flight;
  guint events_in_flight;
};

static void
clear_leaving (gpointer data)
{
  g_free (((gg_rpc_leaving *) data)->id);
}

static void
clear_event (gpointer data)
{
  gg_rpc_account_event *event = data;
  g_free (event->kind);
  g_free (event->subject);
  g_free (event->detail);
}

GgReportQueue *
gg_report_queue_create (const char *sender)
{
  GgReportQueue *self = g_new0 (GgReportQueue, 1);
  pthread_mutex_init (&self->lock, NULL);
  self->sender = g_strdup (sender);
  /* The control process ignores a report with a repeated sequence number, so a restarted entry
   * process must not begin below the numbers already used. */
  self->sequence = gg_clock_wall_ms () << 16;
  self->leaving = g_array_new (FALSE, FALSE, sizeof (gg_rpc_leaving));
  self->events = g_array_new (FALSE, FALSE, sizeof (gg_rpc_account_event));
  g_array_set_clear_func (self->leaving, clear_leaving);
  g_array_set_clear_func (self->events, clear_event);
  return self;
}

void
gg_report_queue_destroy (GgReportQueue *self)
{
  if (self == NULL)
    return;
  g_array_unref (self->leaving);
  g_array_unref (self->events);
  g_free (self->sender);
  pthread_mutex_destroy (&self->lock);
  g_free (self);
}

void
gg_report_queue_add_leaving (GgReportQueue *self, const char *id, uint64_t incarnation)
{
  gg_rpc_leaving item = { .id = g_strdup (id), .incarnation = incarnation };
  pthread_mutex_lock (&self->lock);
  g_array_append_val (self->leaving, item);
  pthread_mutex_unlock (&self->lock);
}

void
gg_report_queue_add_event (GgReportQueue *self,
                           const char *kind,
                           const char *subject,
                           const char *detail,
                           gboolean needs_person)
{
  gg_rpc_account_event item = {
    .kind = g_strdup (kind),
    .subject = g_strdup (subject),
    .detail = g_strdup (detail != NULL ? detail : ""),
    .needs_person = needs_person,
    .wall_ms = gg_clock_wall_ms (),
  };
  pthread_mutex_lock (&self->lock);
  if (self->events->len >= MAX_PENDING_EVENTS)
    {
      g_array_remove_index (self->events, self->events_in_flight);
      gg_counter_add (&dropped, 1);
    }
  g_array_append_val (self->events, item);
  pthread_mutex_unlock (&self->lock);
}

gboolean
gg_report_queue_has_pending (GgReportQueue *self)
{
  pthread_mutex_lock (&self->lock);
  gboolean has_pending = self->leaving->len > 0 || self->events->len > 0;
  pthread_mutex_unlock (&self->lock);
  return has_pending;
}

/* Copies the items of a batch, since the arrays may be reallocated while it is in flight. The queue
 * keeps the strings. */
static gpointer
copy_batch (GArray *array, guint n, gsize size)
{
  return n > 0 ? g_memdup2 (array->data, n * size) : NULL;
}

void
gg_report_queue_fill (GgReportQueue *self, gg_rpc_report *report_out)
{
  *report_out = (gg_rpc_report){ .sender = self->sender };
  pthread_mutex_lock (&self->lock);
  if (self->leaving_in_flight == 0 && self->events_in_flight == 0)
    {
      self->sequence++;
      self->leaving_in_flight = MIN (self->leaving->len, BATCH_SIZE);
      self->events_in_flight = MIN (self->events->len, BATCH_SIZE);
    }
  report_out->sequence = self->sequence;
  report_out->leaving.leaving_len = self->leaving_in_flight;
  report_out->leaving.leaving_val
      = copy_batch (self->leaving, self->leaving_in_flight, sizeof (gg_rpc_leaving));
  report_out->events.events_len = self->events_in_flight;
  report_out->events.events_val
      = copy_batch (self->events, self->events_in_flight, sizeof (gg_rpc_account_event));
  pthread_mutex_unlock (&self->lock);
}

void
gg_report_queue_acknowledge (GgReportQueue *self, gboolean delivered)
{
  if (!delivered)
    return;
  pthread_mutex_lock (&self->lock);
  if (self->leaving_in_flight > 0)
    g_array_remove_range (self->leaving, 0, self->leaving_in_flight);
  if (self->events_in_flight > 0)
    g_array_remove_range (self->events, 0, self->events_in_flight);
  self->leaving_in_flight = 0;
  self->events_in_flight = 0;
  pthread_mutex_unlock (&self->lock);
}
