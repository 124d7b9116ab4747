#include "adapters/http/http_pool.h"

#include "adapters/http/http_connection.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/settings.h"

#include <ne_socket.h>
#include <time.h>

#define GG_HTTP_STACK_SIZE_BYTES ((size_t) 128 * 1024)
#define GG_HTTP_OVERDUE_CHECK_MS 250

static GgCounter calls = GG_COUNTER ("greengage_http_calls_total", "Outward HTTP calls");
static GgCounter not_sent = GG_COUNTER ("greengage_http_failures_total{result=\"not_sent\"}",
                                        "Outward HTTP calls without a whole reply");
static GgCounter in_doubt = GG_COUNTER ("greengage_http_failures_total{result=\"in_doubt\"}",
                                        "Outward HTTP calls without a whole reply");
static GgCounter repeats = GG_COUNTER ("greengage_http_repeated_total",
                                       "Outward HTTP calls sent again after a kept connection "
                                       "had failed");
static GgCounter cancelled = GG_COUNTER (
    "greengage_http_cancelled_total", "Threads of abandoned connections that had to be cancelled");
static GgCounter threads = GG_GAUGE ("greengage_http_threads", "Threads of HTTP connections");

struct _GgHttpPool
{
  gint references; /* the owner, the reaper and each worker */
  GgHttpPoolLimits limits;
  pthread_mutex_t lock;
  pthread_cond_t wake_reaper;
  GHashTable *idle; /* address to GQueue of Worker, last used first */
  GQueue busy;      /* Worker, linked by busy_link */
  gboolean closing;
};

/* A connection and its thread. */
typedef struct
{
  pthread_t thread;
  GgHttpPool *pool;
  char *address;
  GgHttpConnection *connection;
  uint64_t created_ms;
  GgHttpExchange *current; /* owned; being served */

  pthread_cond_t wake; /* guarded by the pool's lock, like the next fields */
  GList busy_link;
  gboolean is_busy; /* busy_link is in the pool's busy queue */
  uint64_t current_deadline_ms;
  GgHttpExchange *assigned; /* owned; served next */
  uint64_t idle_since_ms;
  gboolean stopping;
  gboolean cancelled; /* the reaper frees it */
} Worker;

static void
init_neon (void)
{
  int failed = ne_sock_init ();
  g_assert (failed == 0);
}

static void
init_monotonic_cond (pthread_cond_t *cond)
{
  pthread_condattr_t attr;
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (cond, &attr);
  pthread_condattr_destroy (&attr);
}

static int
wait_until (pthread_cond_t *cond, pthread_mutex_t *lock, uint64_t until_ms)
{
  struct timespec until
      = { .tv_sec = (time_t) (until_ms / 1000), .tv_nsec = (long) (until_ms % 1000) * 1000000 };
  return pthread_cond_timedwait (cond, lock, &until);
}

static void
free_queue (gpointer data)
{
  g_queue_free (data);
}

static void
unref_pool (GgHttpPool *self)
{
  if (!g_atomic_int_dec_and_test (&self->references))
    return;
  g_hash_table_unref (self->idle);
  pthread_cond_destroy (&self->wake_reaper);
  pthread_mutex_destroy (&self->lock);
  g_free (self);
}

/* Call the functions up to stop_queue() with the lock held. */

static void
set_busy (Worker *worker)
{
  worker->current_deadline_ms = worker->current->deadline_ms;
  worker->is_busy = TRUE;
  g_queue_push_tail_link (&worker->pool->busy, &worker->busy_link);
}

static void
set_not_busy (Worker *worker)
{
  if (worker->is_busy)
    g_queue_unlink (&worker->pool->busy, &worker->busy_link);
  worker->is_busy = FALSE;
}

static void
push_idle (GgHttpPool *self, Worker *worker)
{
  GQueue *queue = g_hash_table_lookup (self->idle, worker->address);
  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (self->idle, g_strdup (worker->address), queue);
    }
  worker->idle_since_ms = gg_clock_now_ms ();
  g_queue_push_head (queue, worker);
}

static void
remove_idle (GgHttpPool *self, Worker *worker)
{
  GQueue *queue = g_hash_table_lookup (self->idle, worker->address);
  g_queue_remove (queue, worker);
  if (g_queue_is_empty (queue))
    g_hash_table_remove (self->idle, worker->address);
}

static gboolean
has_room (GgHttpPool *self, const char *address)
{
  GQueue *queue = g_hash_table_lookup (self->idle, address);
  return queue == NULL || g_queue_get_length (queue) < self->limits.max_idle_per_address;
}

static gboolean
is_usable (const GgHttpPool *self, const Worker *worker, uint64_t now)
{
  return now - worker->created_ms < self->limits.max_age_ms
         && now - worker->idle_since_ms < self->limits.idle_timeout_ms;
}

static void
stop_worker (Worker *worker)
{
  worker->stopping = TRUE;
  pthread_cond_signal (&worker->wake);
}

static Worker *
pop_idle (GgHttpPool *self, const char *address)
{
  uint64_t now = gg_clock_now_ms ();
  GQueue *queue;
  while ((queue = g_hash_table_lookup (self->idle, address)) != NULL)
    {
      Worker *worker = g_queue_peek_head (queue);
      remove_idle (self, worker);
      if (is_usable (self, worker, now))
        return worker;
      stop_worker (worker);
    }
  return NULL;
}

static void
stop_queue (GQueue *queue)
{
  for (GList *l = queue->head; l != NULL; l = l->next)
    stop_worker (l->data);
}

void
gg_http_pool_discard (GgHttpPool *self, const char *address)
{
  pthread_mutex_lock (&self->lock);
  GQueue *queue = g_hash_table_lookup (self->idle, address);
  if (queue != NULL)
    {
      stop_queue (queue);
      g_hash_table_remove (self->idle, address);
    }
  pthread_mutex_unlock (&self->lock);
}

void
gg_http_pool_destroy (GgHttpPool *self)
{
  if (self == NULL)
    return;
  pthread_mutex_lock (&self->lock);
  self->closing = TRUE;
  GHashTableIter it;
  gpointer queue;
  g_hash_table_iter_init (&it, self->idle);
  while (g_hash_table_iter_next (&it, NULL, &queue))
    stop_queue (queue);
  g_hash_table_remove_all (self->idle);
  pthread_cond_signal (&self->wake_reaper);
  pthread_mutex_unlock (&self->lock);
  unref_pool (self);
}

static gboolean
can_keep (GgHttpPool *self, const Worker *worker)
{
  return !self->closing && has_room (self, worker->address)
         && gg_clock_now_ms () - worker->created_ms < self->limits.max_age_ms;
}

/* Returns the worker to the pool before its caller wakes, so that the caller's next call finds it.
 * Returns FALSE if the worker must end. */
static gboolean
release_worker (Worker *worker, gboolean is_reusable)
{
  GgHttpPool *pool = worker->pool;
  pthread_mutex_lock (&pool->lock);
  gboolean keep = is_reusable && can_keep (pool, worker);
  if (keep)
    {
      set_not_busy (worker);
      push_idle (pool, worker);
    }
  pthread_mutex_unlock (&pool->lock);
  return keep;
}

static gboolean
serve (Worker *worker)
{
  GgHttpExchange *exchange = worker->current;
  gboolean keep = gg_http_connection_is_open (worker->connection);
  if (gg_http_exchange_begin (exchange, keep))
    {
      gboolean is_complete = gg_http_connection_dispatch (worker->connection, exchange);
      keep = gg_http_exchange_complete (exchange, is_complete)
             && gg_http_connection_is_open (worker->connection);
    }
  worker->current = NULL;
  keep = release_worker (worker, keep);
  gg_http_exchange_notify (exchange);
  gg_http_exchange_unref (exchange);
  return keep;
}

/* Returns FALSE if the worker must end. */
static gboolean
wait_for_exchange (Worker *worker)
{
  GgHttpPool *pool = worker->pool;
  pthread_mutex_lock (&pool->lock);
  uint64_t until_ms = worker->idle_since_ms + pool->limits.idle_timeout_ms;
  struct timespec until
      = { .tv_sec = (time_t) (until_ms / 1000), .tv_nsec = (long) (until_ms % 1000) * 1000000 };
  int failed = 0;
  while (worker->assigned == NULL && !worker->stopping && failed == 0)
    failed = pthread_cond_timedwait (&worker->wake, &pool->lock, &until);
  if (worker->assigned == NULL && !worker->stopping)
    remove_idle (pool, worker);
  worker->current = g_steal_pointer (&worker->assigned);
  if (worker->current != NULL)
    set_busy (worker);
  pthread_mutex_unlock (&pool->lock);
  return worker->current != NULL;
}

static void
free_worker (Worker *worker)
{
  gg_http_connection_destroy (worker->connection);
  if (worker->current != NULL)
    gg_http_exchange_unref (worker->current);
  pthread_cond_destroy (&worker->wake);
  g_free (worker->address);
  unref_pool (worker->pool);
  g_free (worker);
  gg_counter_add (&threads, -1);
}

static void
register_worker (Worker *worker)
{
  pthread_mutex_lock (&worker->pool->lock);
  worker->thread = pthread_self ();
  set_busy (worker);
  pthread_mutex_unlock (&worker->pool->lock);
}

/* Returns FALSE if the reaper frees the worker. */
static gboolean
retire_worker (Worker *worker)
{
  pthread_mutex_lock (&worker->pool->lock);
  gboolean is_owner = !worker->cancelled;
  if (is_owner)
    {
      set_not_busy (worker);
      pthread_detach (pthread_self ());
    }
  pthread_mutex_unlock (&worker->pool->lock);
  return is_owner;
}

static void *
run_worker (void *data)
{
  Worker *worker = data;
  pthread_setcancelstate (PTHREAD_CANCEL_DISABLE, NULL);
  register_worker (worker);
  while (serve (worker) && wait_for_exchange (worker))
    ;
  if (retire_worker (worker))
    free_worker (worker);
  return NULL;
}

/* Cancels the thread of one worker that still runs after its call's deadline plus the read timeout.
 * Returns the worker, or NULL. Call it with the lock held. */
static Worker *
cancel_overdue (GgHttpPool *self)
{
  uint64_t now = gg_clock_now_ms ();
  uint64_t grace_ms = (uint64_t) self->limits.read_timeout_s * 1000;
  for (GList *l = self->busy.head; l != NULL; l = l->next)
    {
      Worker *worker = l->data;
      if (worker->current_deadline_ms + grace_ms > now)
        continue;
      set_not_busy (worker);
      worker->cancelled = TRUE;
      pthread_cancel (worker->thread);
      return worker;
    }
  return NULL;
}

/* Cancels threads that neon blocks beyond the read timeout. */
static void *
run_reaper (void *data)
{
  GgHttpPool *self = data;
  pthread_mutex_lock (&self->lock);
  while (!self->closing || g_atomic_int_get (&self->references) > 1)
    {
      Worker *worker = cancel_overdue (self);
      if (worker == NULL)
        {
          wait_until (&self->wake_reaper, &self->lock,
                      gg_clock_now_ms () + GG_HTTP_OVERDUE_CHECK_MS);
          continue;
        }
      pthread_mutex_unlock (&self->lock);
      pthread_join (worker->thread, NULL);
      free_worker (worker);
      gg_counter_add (&cancelled, 1);
      pthread_mutex_lock (&self->lock);
    }
  pthread_mutex_unlock (&self->lock);
  unref_pool (self);
  return NULL;
}

static gboolean
start_thread (void *(*run) (void *), void *data, gboolean detached)
{
  pthread_t thread;
  pthread_attr_t attr;
  pthread_attr_init (&attr);
  if (detached)
    pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attr, GG_HTTP_STACK_SIZE_BYTES);
  int failed = pthread_create (&thread, &attr, run, data);
  pthread_attr_destroy (&attr);
  return failed == 0;
}

GgHttpPool *
gg_http_pool_create (const GgHttpPoolLimits *limits)
{
  static pthread_once_t once = PTHREAD_ONCE_INIT;
  pthread_once (&once, init_neon);
  GgHttpPool *self = g_new0 (GgHttpPool, 1);
  self->references = 2; /* the caller's and the reaper's */
  self->limits = *limits;
  pthread_mutex_init (&self->lock, NULL);
  init_monotonic_cond (&self->wake_reaper);
  self->idle = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_queue);
  gboolean started = start_thread (run_reaper, self, TRUE);
  g_assert (started);
  return self;
}

static gboolean
start_worker (GgHttpPool *self, const char *address, GgHttpExchange *exchange)
{
  Worker *worker = g_new0 (Worker, 1);
  worker->pool = self;
  g_atomic_int_inc (&self->references);
  worker->busy_link.data = worker;
  worker->address = g_strdup (address);
  worker->connection = gg_http_connection_create (address, self->limits.read_timeout_s);
  worker->created_ms = gg_clock_now_ms ();
  worker->current = gg_http_exchange_ref (exchange);
  init_monotonic_cond (&worker->wake);
  gg_counter_add (&threads, 1);
  if (worker->connection != NULL && start_thread (run_worker, worker, FALSE))
    return TRUE;
  free_worker (worker);
  return FALSE;
}

static gboolean
assign_idle (GgHttpPool *self, const char *address, GgHttpExchange *exchange)
{
  pthread_mutex_lock (&self->lock);
  Worker *worker = pop_idle (self, address);
  if (worker != NULL)
    {
      worker->assigned = gg_http_exchange_ref (exchange);
      pthread_cond_signal (&worker->wake);
    }
  pthread_mutex_unlock (&self->lock);
  return worker != NULL;
}

static gboolean
has_only_printable (const char *text, gboolean allow_space)
{
  for (const char *p = text; *p != '\0'; p++)
    if (g_ascii_iscntrl (*p) || (*p == ' ' && !allow_space))
      return FALSE;
  return TRUE;
}

/* neon copies method, path and headers verbatim, so a line break in them would start another header
 * or request. */
static gboolean
is_well_formed (const GgHttpRequest *request)
{
  if (!has_only_printable (request->method, FALSE) || !has_only_printable (request->path, FALSE)
      || request->path[0] != '/')
    return FALSE;
  for (const char *const *h = request->headers; h != NULL && *h != NULL; h++)
    if (!has_only_printable (*h, TRUE))
      return FALSE;
  return TRUE;
}

static void
count_result (GgHttpResult result, const GgHttpReply *reply)
{
  gg_counter_add (&calls, 1);
  if (reply->was_repeated)
    gg_counter_add (&repeats, 1);
  switch (result)
    {
    case GG_HTTP_OK:
      break;
    case GG_HTTP_NOT_SENT:
      gg_counter_add (&not_sent, 1);
      break;
    case GG_HTTP_IN_DOUBT:
      gg_counter_add (&in_doubt, 1);
      break;
    }
}

static gboolean
start_exchange (GgHttpPool *self, const char *address, GgHttpExchange *exchange)
{
  return (exchange->may_repeat && assign_idle (self, address, exchange))
         || start_worker (self, address, exchange);
}

GgHttpResult
gg_http_pool_call (GgHttpPool *self,
                   const char *address,
                   const GgHttpRequest *request,
                   uint64_t deadline_ms,
                   GgHttpReply *reply_out)
{
  GgHttpResult result = GG_HTTP_NOT_SENT;
  *reply_out = (GgHttpReply){ 0 };
  if (is_well_formed (request) && gg_clock_now_ms () < deadline_ms)
    {
      GgHttpExchange *exchange
          = gg_http_exchange_create (request, deadline_ms, self->limits.max_reply_bytes);
      if (start_exchange (self, address, exchange))
        result = gg_http_exchange_wait (exchange, reply_out);
      gg_http_exchange_unref (exchange);
    }
  count_result (result, reply_out);
  return result;
}

void
gg_http_pool_send (GgHttpPool *self,
                   const char *address,
                   const GgHttpRequest *request,
                   uint64_t deadline_ms)
{
  gg_counter_add (&calls, 1);
  GgHttpExchange *exchange
      = gg_http_exchange_create (request, deadline_ms, self->limits.max_reply_bytes);
  if (!is_well_formed (request) || !start_exchange (self, address, exchange))
    gg_counter_add (&not_sent, 1);
  gg_http_exchange_unref (exchange);
}

/* Returns TRUE if the call needs no further try: a complete reply, or a failure on a fresh
 * connection. */
static gboolean
read_on_reused (GgHttpPool *self,
                const char *address,
                const GgHttpRequest *request,
                uint64_t deadline_ms,
                GgHttpReply *reply_out,
                GgHttpResult *result_out)
{
  GgHttpExchange *exchange
      = gg_http_exchange_create (request, deadline_ms, self->limits.max_reply_bytes);
  gboolean decided = FALSE;
  if (assign_idle (self, address, exchange))
    {
      *result_out = gg_http_exchange_wait (exchange, reply_out);
      count_result (*result_out, reply_out);
      decided = *result_out == GG_HTTP_OK || reply_out->connection_was_fresh;
      if (!decided)
        gg_http_pool_discard (self, address);
    }
  gg_http_exchange_unref (exchange);
  return decided;
}

GgHttpResult
gg_http_pool_read (GgHttpPool *self,
                   const char *address,
                   const char *path,
                   uint64_t deadline_ms,
                   GgHttpReply *reply_out)
{
  GgHttpRequest request = { .method = "GET", .path = path, .may_repeat = TRUE };
  GgHttpResult result = GG_HTTP_NOT_SENT;
  uint64_t now = gg_clock_now_ms ();
  *reply_out = (GgHttpReply){ 0 };
  if (now < deadline_ms && is_well_formed (&request)
      && read_on_reused (self, address, &request, now + (deadline_ms - now) / 2, reply_out,
                         &result))
    return result;
  request.may_repeat = FALSE;
  return gg_http_pool_call (self, address, &request, deadline_ms, reply_out);
}
