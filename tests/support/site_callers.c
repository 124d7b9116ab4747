#include "site_callers.h"

#include "base/clock.h"
#include "http_client.h"

#include <stdio.h>
#include <string.h>

/* Every this many tries come on a new connection. */
#define NEW_CONNECTION_EVERY 5
#define MAX_IDLE_MS 3000
#define CONNECT_TIMEOUT_MS 1000
#define STREAM_DEADLINE_MS 6000
#define N_EVENTS 6
#define N_LONG_EVENTS 40
#define MAX_TARGET_BYTES 64
/* One in so many tries of a kind at a router takes long, so that some are in progress at any time,
 * also when a fault begins. */
#define LONG_EVERY 4

static void send_try (SiteCallers *self, guint number, guint router, gboolean is_first);

static void
free_try (void *data)
{
  SiteTry *try = data;
  gg_loop_timer_destroy (try->timer);
  g_string_free (try->body, TRUE);
  g_free (try);
}

/* Returns whether a status promises that the request has not run and never will. */
static gboolean
is_refusal (uint32_t status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

static char *
print_events (guint n)
{
  GString *text = g_string_new (NULL);
  for (guint i = 1; i <= n; i++)
    g_string_append_printf (text, "id: %u\ndata: token %u\n\n", i, i);
  return g_string_free (text, FALSE);
}

char *
site_print_events (gboolean is_long)
{
  return print_events (is_long ? N_LONG_EVENTS : N_EVENTS);
}

static SiteTryResult
judge (const SiteTry *try, gboolean is_complete)
{
  if (is_refusal (try->status))
    return SITE_REFUSED;
  if (try->status != 200)
    return SITE_FAILED;
  if (try->kind != SITE_STREAM)
    return is_complete ? SITE_SERVED : SITE_FAILED;
  char *expected = print_events (try->n_events);
  gboolean is_whole = strcmp (try->body->str, expected) == 0;
  gboolean is_part = g_str_has_prefix (expected, try->body->str);
  g_free (expected);
  if (!is_part || (is_complete && !is_whole))
    return SITE_MIXED;
  return is_complete ? SITE_SERVED : SITE_FAILED;
}

static void
on_come_again (void *data)
{
  SiteTry *try = data;
  SiteCallers *self = try->callers;
  self->n_open--;
  send_try (self, try->number, (try->router + 1) % self->site->n_routers, FALSE);
}

static void
end_try (SiteTry *try, gboolean is_complete, const char *end)
{
  SiteCallers *self = try->callers;
  try->took_ms = gg_clock_now_ms () - try->sent_ms;
  try->end = end;
  try->call = NULL;
  gg_loop_timer_stop (try->timer);
  try->result = judge (try, is_complete);
  if (try->result == SITE_MIXED)
    self->n_mixed++;
  if (!try->is_first && try->result == SITE_SERVED)
    self->n_repeats_served++;
  if (self->on_ended != NULL)
    self->on_ended (self->data, try);
  /* As callers do: a refused request comes again elsewhere, as a new one. */
  if (try->is_first && try->result == SITE_REFUSED && try->retry_after_s <= 2.0)
    {
      gg_loop_timer_destroy (try->timer);
      try->timer = gg_loop_timer_create (self->loop, on_come_again, try);
      gg_loop_timer_start (try->timer, (uint64_t) (try->retry_after_s * 1000));
      return;
    }
  self->n_open--;
}

static void
on_patience_over (void *data)
{
  SiteTry *try = data;
  gg_loop_call_cancel (try->call);
  end_try (try, FALSE, "caller left");
}

static gboolean
on_call (void *data, const GgCallEvent *event)
{
  static const char *const ends[] = { [GG_CALL_COMPLETE] = "whole answer",
                                      [GG_CALL_UNREACHABLE] = "unreachable",
                                      [GG_CALL_BROKEN] = "broken off",
                                      [GG_CALL_MALFORMED] = "malformed" };
  SiteTry *try = data;
  const char *retry_after;
  switch (event->kind)
    {
    case GG_CALL_HEAD_PART:
      break;
    case GG_CALL_HEAD:
      try->status = gg_message_head_get_status (event->head);
      retry_after = gg_message_head_get (event->head, "Retry-After");
      try->retry_after_s = retry_after != NULL ? g_ascii_strtod (retry_after, NULL) : 0;
      gg_message_head_destroy (event->head);
      break;
    case GG_CALL_BODY:
      g_string_append_len (try->body, event->body.bytes, (gssize) event->body.size_bytes);
      if (try->kind == SITE_STREAM)
        gg_loop_timer_start (try->timer, SITE_PATIENCE_MS);
      break;
    case GG_CALL_END:
      end_try (try, event->end == GG_CALL_COMPLETE, ends[event->end]);
      break;
    }
  return TRUE;
}

static GgMessageHead *
create_head (SiteTry *try, guint number)
{
  guint n_turn = SITE_N_TRY_KINDS * try->callers->site->n_routers;
  gboolean is_long = number / n_turn % LONG_EVERY == 0;
  char target[MAX_TARGET_BYTES] = "";
  switch (try->kind)
    {
    case SITE_LOOKUP:
      g_snprintf (target, sizeof target, "/lookups/%u", number);
      break;
    case SITE_BOOKING:
      g_snprintf (target, sizeof target, "/bookings/%s%u", is_long ? "slow-" : "", number);
      break;
    case SITE_STREAM:
      g_snprintf (target, sizeof target, "/drafts/%s%u", is_long ? "long-" : "", number);
      try->n_events = is_long ? N_LONG_EVENTS : N_EVENTS;
      break;
    }
  GgMessageHead *head
      = gg_message_head_create_request (try->kind == SITE_LOOKUP ? "GET" : "POST", target);
  gg_message_head_add (head, "Host", SITE_HOST);
  gg_message_head_add (head, "Authorization", "Bearer " SITE_KEY);
  gg_message_head_add (head, "X-Attempt-Id", try->attempt);
  gg_message_head_add_uint (head, "X-Deadline-Ms",
                            try->kind == SITE_STREAM ? STREAM_DEADLINE_MS : SITE_PATIENCE_MS);
  if (try->kind == SITE_STREAM)
    gg_message_head_add (head, "X-Token-Count", is_long ? "100,40" : "10,6");
  if (try->kind != SITE_LOOKUP)
    gg_message_head_add_uint (head, "Content-Length", 0);
  return head;
}

/* Returns the router, or the next one that the balancer uses. */
static guint
choose_router (const SiteCallers *self, guint router)
{
  guint n = self->site->n_routers;
  for (guint i = 0; i < n; i++)
    if (!self->is_out[(router + i) % n])
      return (router + i) % n;
  return router;
}

static void
send_try (SiteCallers *self, guint number, guint router, gboolean is_first)
{
  SiteTry *try = g_new0 (SiteTry, 1);
  try->callers = self;
  try->number = number;
  try->kind = (SiteTryKind) (number % SITE_N_TRY_KINDS);
  try->router = choose_router (self, router);
  try->is_first = is_first;
  try->sent_ms = gg_clock_now_ms ();
  try->body = g_string_new (NULL);
  try->timer = gg_loop_timer_create (self->loop, on_patience_over, try);
  g_snprintf (try->attempt, sizeof try->attempt, "caller-%u", self->n_attempts++);
  g_ptr_array_add (self->tries, try);
  self->n_repeats += is_first ? 0 : 1;
  self->n_open++;
  if (self->on_sent != NULL)
    self->on_sent (self->data, try);
  GgMessageHead *head = create_head (try, number);
  GgCallRequest request = { .address = self->site->routers[try->router].callers_address,
                            .head = head,
                            .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                            .max_idle_ms = number % NEW_CONNECTION_EVERY == 0 ? 0 : MAX_IDLE_MS };
  try->call = gg_loop_client_call (self->client, &request, on_call, try);
  gg_message_head_destroy (head);
  gg_loop_timer_start (try->timer, SITE_PATIENCE_MS);
}

static void
on_try_due (void *data)
{
  SiteCallers *self = data;
  uint64_t now_ms = gg_clock_now_ms ();
  /* A late wake-up is made up for, so that the rate does not depend on the machine. */
  while (self->started_ms + self->n_tries * self->try_interval_ms <= now_ms
         && now_ms < self->started_ms + self->end_ms)
    {
      guint number = self->n_tries++;
      send_try (self, number, number / SITE_N_TRY_KINDS % self->site->n_routers, TRUE);
    }
  if (now_ms >= self->started_ms + self->end_ms && self->n_open == 0)
    gg_loop_stop (self->loop);
  else
    gg_loop_timer_start (self->try_timer, self->try_interval_ms / 2);
}

void
site_callers_init (SiteCallers *self, Site *site, uint64_t end_ms)
{
  GgLoop *loop = gg_loop_create ();
  *self = (SiteCallers){ .site = site,
                         .loop = loop,
                         .end_ms = end_ms,
                         .try_interval_ms = SITE_TRY_INTERVAL_MS,
                         .client = gg_loop_client_create (loop),
                         .tries = g_ptr_array_new_with_free_func (free_try) };
  self->try_timer = gg_loop_timer_create (loop, on_try_due, self);
}

void
site_callers_run (SiteCallers *self)
{
  self->started_ms = gg_clock_now_ms ();
  gg_loop_timer_start (self->try_timer, 0);
  gg_loop_run (self->loop);
}

void
site_callers_clear (SiteCallers *self)
{
  g_ptr_array_unref (self->tries);
  gg_loop_timer_destroy (self->try_timer);
  gg_loop_client_destroy (self->client);
  gg_loop_run_deferred (self->loop);
  gg_loop_destroy (self->loop);
}

static void
check_runs_of (GgProof *proof, const SiteCallers *self, GHashTable *runs)
{
  guint n_bookings = 0;
  guint n_twice = 0;
  guint n_refused_and_run = 0;
  for (guint i = 0; i < self->tries->len; i++)
    {
      const SiteTry *try = g_ptr_array_index (self->tries, i);
      if (try->kind != SITE_BOOKING)
        continue;
      guint n = GPOINTER_TO_UINT (g_hash_table_lookup (runs, try->attempt));
      n_bookings++;
      n_twice += n > 1 ? 1 : 0;
      n_refused_and_run += n > 0 && try->result == SITE_REFUSED ? 1 : 0;
    }
  printf ("  %u bookings: %u ran twice, %u ran and were refused\n", n_bookings, n_twice,
          n_refused_and_run);
  if (n_twice > 0 || n_refused_and_run > 0)
    gg_proof_fail (proof, "of %u bookings %u ran twice, %u ran and were refused", n_bookings,
                   n_twice, n_refused_and_run);
}

void
site_callers_check_bookings (const SiteCallers *self, GgProof *proof)
{
  GHashTable *runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < self->site->n_runners; i++)
    if (self->site->runners[i].kind == NULL)
      gg_proof_check (proof, site_add_attempts (&self->site->runners[i], runs));
  check_runs_of (proof, self, runs);
  g_hash_table_unref (runs);
}
