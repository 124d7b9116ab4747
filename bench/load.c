#include "load.h"

#include "base/clock.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/utsname.h>
#include <unistd.h>

#define PATH "/v1/completions"
#define IDLE_TIMEOUT_MS 10000

struct _GgLoad
{
  GgLoadPlan plan;
  GgLoadRun *run;
  GThreadPool *workers;
  GThread *thread;
};

static gint
compare_numbers (gconstpointer a, gconstpointer b)
{
  uint64_t left = *(const uint64_t *) a;
  uint64_t right = *(const uint64_t *) b;
  return (left > right) - (left < right);
}

static void
request_free (gpointer data)
{
  GgLoadRequest *request = data;
  g_array_unref (request->token_us);
  g_free (request);
}

static uint32_t
choose_team (const GgLoadPlan *plan, GRand *rand)
{
  if (!plan->weights)
    return (uint32_t) g_rand_int_range (rand, 0, (gint32) plan->n_teams);
  double sum = 0.0;
  for (uint32_t i = 0; i < plan->n_teams; i++)
    sum += plan->weights[i];
  double at = g_rand_double (rand) * sum;
  uint32_t team = 0;
  while (team + 1 < plan->n_teams && at >= plan->weights[team])
    at -= plan->weights[team++];
  return team;
}

static void
plan_requests (GgLoad *self, GRand *rand)
{
  const GgLoadPlan *plan = &self->plan;
  uint32_t n = (uint32_t) (plan->rate_per_s * (double) plan->duration_ms / 1000.0 + 0.5);
  GArray *times = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (uint32_t i = 0; i < n; i++)
    {
      uint64_t at = (uint64_t) (g_rand_double (rand) * (double) plan->duration_ms * 1000.0);
      g_array_append_val (times, at);
    }
  g_array_sort (times, compare_numbers);
  for (uint32_t i = 0; i < n; i++)
    {
      GgLoadRequest *request = g_new0 (GgLoadRequest, 1);
      request->due_us = self->run->started_us + g_array_index (times, uint64_t, i);
      request->team = plan->first_team + choose_team (plan, rand);
      request->address = (uint32_t) g_rand_int_range (rand, 0, (gint32) plan->n_addresses);
      request->token_us = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      g_ptr_array_add (self->run->requests, request);
    }
  g_array_unref (times);
}

static void
apply_event (GgLoadRequest *request, const GgEvent *event, gboolean *ended)
{
  if (event->id)
    {
      uint64_t now = gg_clock_now_us ();
      g_array_append_val (request->token_us, now);
    }
  if (g_strcmp0 (event->data, "[DONE]") == 0)
    request->outcome = GG_LOAD_COMPLETE;
  *ended = request->outcome == GG_LOAD_COMPLETE;
}

static void
read_answer (GgLoadRequest *request, GgEventStream *stream, uint64_t deadline_us)
{
  gboolean ended = FALSE;
  request->outcome = GG_LOAD_FAILED;
  while (!ended)
    {
      uint64_t now = gg_clock_now_us ();
      GgEvent event;
      GgEventResult result
          = now < deadline_us
                ? gg_event_stream_next (stream, (deadline_us - now) / 1000 + 1, &event)
                : GG_EVENT_TIMEOUT;
      if (result == GG_EVENT_READ)
        {
          apply_event (request, &event, &ended);
          gg_event_clear (&event);
        }
      else
        {
          if (result == GG_EVENT_TIMEOUT)
            request->outcome = GG_LOAD_LATE;
          ended = TRUE;
        }
    }
}

static void
send_request (gpointer data, gpointer user_data)
{
  GgLoadRequest *request = data;
  const GgLoad *self = user_data;
  char *bearer = g_strdup_printf (GG_CLUSTER_TEAM_BEARER, request->team);
  char *body = g_strdup_printf ("{\"model\":\"reader\",\"prompt\":\"prompt %" G_GUINT64_FORMAT
                                "\",\"max_tokens\":%u,\"stream\":true}",
                                (guint64) request->due_us, self->plan.max_tokens);
  const char *headers[] = { "Authorization", bearer, "Content-Type", "application/json", NULL };
  GgEventStream *stream
      = gg_event_stream_open ("POST", self->plan.addresses[request->address], PATH, headers, body);
  unsigned status = stream ? gg_event_stream_get_status (stream) : 0;
  if (status == 200)
    read_answer (request, stream, request->due_us + self->plan.timeout_ms * 1000);
  else
    request->outcome = status == 429 || status == 503 ? GG_LOAD_REFUSED : GG_LOAD_FAILED;
  request->ended_us = gg_clock_now_us ();
  if (request->outcome == GG_LOAD_COMPLETE
      && request->ended_us > request->due_us + self->plan.timeout_ms * 1000)
    request->outcome = GG_LOAD_LATE;
  gg_event_stream_close (stream);
  g_free (bearer);
  g_free (body);
}

static void *
run (void *data)
{
  GgLoad *self = data;
  for (guint i = 0; i < self->run->requests->len; i++)
    {
      GgLoadRequest *request = self->run->requests->pdata[i];
      uint64_t now = gg_clock_now_us ();
      if (request->due_us > now)
        g_usleep ((gulong) (request->due_us - now));
      g_thread_pool_push (self->workers, request, NULL);
    }
  return NULL;
}

GgLoad *
gg_load_start (const GgLoadPlan *plan, GRand *rand)
{
  GgLoad *self = g_new0 (GgLoad, 1);
  self->plan = *plan;
  self->run = g_new0 (GgLoadRun, 1);
  self->run->requests = g_ptr_array_new_with_free_func (request_free);
  self->run->started_us = gg_clock_now_us ();
  plan_requests (self, rand);
  self->workers = g_thread_pool_new (send_request, self, -1, FALSE, NULL);
  self->thread = g_thread_new ("load", run, self);
  return self;
}

GgLoadRun *
gg_load_finish (GgLoad *self)
{
  GgLoadRun *finished = self->run;
  g_thread_join (self->thread);
  g_thread_pool_free (self->workers, FALSE, TRUE);
  g_free (self);
  return finished;
}

void
gg_load_run_destroy (GgLoadRun *self)
{
  g_ptr_array_unref (self->requests);
  g_free (self);
}

static gboolean
are_engines_idle (void *data)
{
  const GgCluster *cluster = data;
  gboolean idle = TRUE;
  for (uint32_t i = 0; i < cluster->n_engines && idle; i++)
    {
      char *load = gg_test_get (cluster->runners[i].address, "/v1/load");
      idle = !load || strstr (load, "\"outstanding_tokens\":0,");
      g_free (load);
    }
  return idle;
}

void
gg_load_wait_idle (const GgCluster *cluster)
{
  (void) gg_wait_until (are_engines_idle, (void *) cluster, IDLE_TIMEOUT_MS);
}

uint64_t
gg_load_count_tokens (const GgLoadRun *self, uint64_t from_us, uint64_t to_us)
{
  uint64_t n = 0;
  for (guint i = 0; i < self->requests->len; i++)
    {
      const GgLoadRequest *request = self->requests->pdata[i];
      for (guint k = 0; k < request->token_us->len; k++)
        {
          uint64_t at = g_array_index (request->token_us, uint64_t, k) - self->started_us;
          n += at >= from_us && at < to_us;
        }
    }
  return n;
}

uint64_t
gg_load_count_answered (const GgLoadRun *self, int team, uint64_t from_us, uint64_t to_us)
{
  uint64_t n = 0;
  for (guint i = 0; i < self->requests->len; i++)
    {
      const GgLoadRequest *request = self->requests->pdata[i];
      uint64_t at = request->ended_us - self->started_us;
      if (request->outcome == GG_LOAD_COMPLETE && at >= from_us && at < to_us
          && (team < 0 || request->team == (uint32_t) team))
        n += request->token_us->len;
    }
  return n;
}

uint32_t
gg_load_count (const GgLoadRun *self, GgLoadOutcome outcome)
{
  uint32_t n = 0;
  for (guint i = 0; i < self->requests->len; i++)
    n += ((const GgLoadRequest *) self->requests->pdata[i])->outcome == outcome;
  return n;
}

uint64_t
gg_load_quantile (GArray *values, double q)
{
  if (values->len == 0)
    return 0;
  g_array_sort (values, compare_numbers);
  return g_array_index (values, uint64_t, (guint) (q * (values->len - 1) + 0.5));
}

static void
print_quantiles (const char *name, GArray *values)
{
  printf (" %s_p50_ms=%.1f %s_p95_ms=%.1f", name, (double) gg_load_quantile (values, 0.5) / 1000.0,
          name, (double) gg_load_quantile (values, 0.95) / 1000.0);
  g_array_unref (values);
}

void
gg_load_print (const GgLoadRun *self)
{
  GArray *first = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GArray *gaps = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GArray *refusals = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (guint i = 0; i < self->requests->len; i++)
    {
      const GgLoadRequest *request = self->requests->pdata[i];
      uint64_t took = request->ended_us - request->due_us;
      uint64_t before = request->due_us;
      if (request->outcome == GG_LOAD_REFUSED)
        g_array_append_val (refusals, took);
      for (guint k = 0; k < request->token_us->len; k++)
        {
          uint64_t at = g_array_index (request->token_us, uint64_t, k);
          uint64_t gap = at - before;
          g_array_append_val (k == 0 ? first : gaps, gap);
          before = at;
        }
    }
  printf (" requests=%u complete=%u refused=%u late=%u failed=%u", self->requests->len,
          gg_load_count (self, GG_LOAD_COMPLETE), gg_load_count (self, GG_LOAD_REFUSED),
          gg_load_count (self, GG_LOAD_LATE), gg_load_count (self, GG_LOAD_FAILED));
  print_quantiles ("first_token", first);
  print_quantiles ("gap", gaps);
  print_quantiles ("refusal", refusals);
}

double
gg_load_read_processor_s (int process)
{
  char *path = g_strdup_printf ("/proc/%d/stat", process);
  char *text = NULL;
  unsigned long user = 0;
  unsigned long system = 0;
  if (g_file_get_contents (path, &text, NULL, NULL))
    (void) sscanf (strrchr (text, ')') + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
                   &user, &system);
  g_free (text);
  g_free (path);
  return (double) (user + system) / (double) sysconf (_SC_CLK_TCK);
}

uint64_t
gg_load_read_memory_kib (int process)
{
  char *path = g_strdup_printf ("/proc/%d/status", process);
  char *text = NULL;
  uint64_t kib = 0;
  const char *line = NULL;
  if (g_file_get_contents (path, &text, NULL, NULL) && (line = strstr (text, "VmRSS:")))
    kib = g_ascii_strtoull (line + strlen ("VmRSS:"), NULL, 10);
  g_free (text);
  g_free (path);
  return kib;
}

void
gg_load_print_machine (const char *name, uint32_t seed)
{
  struct utsname system;
  uname (&system);
  printf ("bench=%s seed=%u cores=%ld kernel=%s shared=yes\n", name, seed,
          sysconf (_SC_NPROCESSORS_ONLN), system.release);
  fflush (stdout);
}
