#include "daemons/entryd/prober.h"

#include "adapters/http/http_pool.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/tsan.h"
#include "core/mutation.h"
#include "core/runner_health.h"

#include <pthread.h>

#define PERIOD_MS 50
#define PROBE_TIMEOUT_MS 300
/* Several probes run in parallel, since each one takes its full timeout if a data centre is
 * unreachable. */
#define MAX_PROBES 8

static GgCounter probes = GG_COUNTER ("greengage_probes_total", "Probes of runners out of use");

struct _GgProber
{
  GgEntry *entry;
  GThreadPool *pool;
  GHashTable *in_progress; /* set of GgRunner; guarded by the lock */
  pthread_mutex_t lock;
  pthread_t thread;
  atomic_bool stopping;
};

static void
probe (gpointer data, gpointer user_data)
{
  GgRunner *runner = data;
  GgProber *self = user_data;
  GG_TSAN_ACQUIRE (runner);
  GgHttpRequest request = { .method = "GET", .path = "/v1/load", .may_repeat = FALSE };
  GgHttpReply reply = { 0 };
  gg_counter_add (&probes, 1);
  GgHttpResult result = gg_http_pool_call (self->entry->pool, runner->address, &request,
                                           gg_clock_now_ms () + PROBE_TIMEOUT_MS, &reply);
  gg_entry_apply_runner_event (self->entry, runner,
                               result == GG_HTTP_OK ? GG_RUNNER_EVENT_PROBE_OK
                                                    : GG_RUNNER_EVENT_FAILED_FRESH);
  gg_http_reply_clear (&reply);

  pthread_mutex_lock (&self->lock);
  g_hash_table_remove (self->in_progress, runner);
  pthread_mutex_unlock (&self->lock);
  gg_runner_unref (runner);
  GG_TSAN_RELEASE (self);
}

static gboolean
claim (GgProber *self, GgRunner *runner)
{
  pthread_mutex_lock (&self->lock);
  gboolean claimed = g_hash_table_add (self->in_progress, runner);
  pthread_mutex_unlock (&self->lock);
  return claimed;
}

static void *
prober_thread (void *data)
{
  GgProber *self = data;
  while (!atomic_load (&self->stopping))
    {
      GPtrArray *due = gg_snapshot_client_list_probes (self->entry->snapshots, gg_clock_now_ms ());
      for (guint i = 0; i < due->len; i++)
        {
          GgRunner *runner = g_ptr_array_index (due, i);
          if (GG_IS_MUTATED ("prober-skip") || !claim (self, runner))
            continue;
          GG_TSAN_RELEASE (runner);
          g_thread_pool_push (self->pool, gg_runner_ref (runner), NULL);
        }
      g_ptr_array_unref (due);
      g_usleep (PERIOD_MS * 1000);
    }
  return NULL;
}

GgProber *
gg_prober_create (GgEntry *entry)
{
  GgProber *self = g_new0 (GgProber, 1);
  self->entry = entry;
  self->in_progress = g_hash_table_new (NULL, NULL);
  pthread_mutex_init (&self->lock, NULL);
  self->pool = g_thread_pool_new (probe, self, MAX_PROBES, FALSE, NULL);
  int failed = pthread_create (&self->thread, NULL, prober_thread, self);
  g_assert (failed == 0);
  return self;
}

void
gg_prober_destroy (GgProber *self)
{
  if (self == NULL)
    return;
  atomic_store (&self->stopping, TRUE);
  pthread_join (self->thread, NULL);
  g_thread_pool_free (self->pool, FALSE, TRUE);
  GG_TSAN_ACQUIRE (self);
  g_hash_table_unref (self->in_progress);
  pthread_mutex_destroy (&self->lock);
  g_free (self);
}
