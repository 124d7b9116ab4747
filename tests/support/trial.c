#include "trial.h"

#include "base/clock.h"

#include <signal.h>
#include <string.h>

#define BOOKING_PATH "/services/moorings/berths/7"
#define CHAT_PATH "/v1/chat/completions"
#define CHAT_BODY                                                                                  \
  "{\"model\":\"reader\",\"prompt\":\"x\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}],"   \
  "\"max_tokens\":2}"
#define REPEAT_PAUSE_US (20 * 1000)
#define STATUS_IN_PROGRESS 409

static void
booking_free (void *data)
{
  GgBooking *self = data;
  g_free (self->key);
  g_free (self->barge);
  g_free (self->outcome);
  g_free (self->request);
  g_free (self->headers);
  g_free (self->body);
  g_free (self);
}

GgTrial *
gg_trial_begin (GgProof *proof, const GgClusterOptions *options)
{
  GgCluster *cluster = gg_cluster_create (options);
  if (cluster == NULL)
    {
      gg_proof_fail (proof, "the cluster did not start");
      return NULL;
    }
  GgTrial *self = g_new0 (GgTrial, 1);
  self->proof = proof;
  self->cluster = cluster;
  self->bookings = g_ptr_array_new_with_free_func (booking_free);
  self->lost_records = g_string_new (NULL);
  return self;
}

static guint
count_calls (const char *calls, const char *barge)
{
  /* The fake service escapes the quotation marks of the body. */
  char *pattern = g_strdup_printf ("\\\"barge\\\":\\\"%s\\\"}", barge);
  guint n = 0;
  for (const char *at = strstr (calls, pattern); at != NULL; at = strstr (at + 1, pattern))
    n++;
  g_free (pattern);
  return n;
}

static char *
read_calls (GgTrial *self)
{
  char *calls = gg_cluster_read_calls (self->cluster);
  char *all = g_strconcat (self->lost_records->str, calls, NULL);
  g_free (calls);
  return all;
}

static gboolean
is_in_engines (GgTrial *self, const char *request)
{
  GArray *records = gg_cluster_read_records (self->cluster);
  gboolean found = FALSE;
  for (guint i = 0; i < records->len && !found; i++)
    found = strcmp (g_array_index (records, GgClusterRecord, i).request, request) == 0;
  g_array_unref (records);
  return found;
}

/* Fails the case if a call that was answered not-run is in any record, or has no request id. */
static void
check_not_run (const GgBooking *booking, const char *calls)
{
  if (strcmp (booking->outcome, "not-run") != 0)
    return;
  gboolean ran = booking->is_chat ? is_in_engines (booking->trial, booking->request)
                                  : strstr (calls, booking->request) != NULL;
  if (ran || *booking->request == '\0')
    gg_proof_fail (booking->trial->proof, "'%s' at instance %u was answered not-run but ran",
                   booking->barge, booking->instance);
}

static void
check_all_bookings (GgTrial *self)
{
  for (guint i = 0; i < self->bookings->len; i++)
    gg_booking_wait (g_ptr_array_index (self->bookings, i));
  char *calls = read_calls (self);
  for (guint i = 0; i < self->bookings->len; i++)
    {
      const GgBooking *booking = g_ptr_array_index (self->bookings, i);
      check_not_run (booking, calls);
      guint n = booking->is_chat ? 0 : count_calls (calls, booking->barge);
      if (n > 1)
        gg_proof_fail (self->proof, "'%s' ran %u times", booking->barge, n);
    }
  g_free (calls);
}

void
gg_trial_end (GgTrial *self)
{
  if (self == NULL)
    return;
  check_all_bookings (self);
  if (self->proof->failed)
    gg_cluster_print_errors (self->cluster);
  gg_cluster_destroy (self->cluster);
  g_ptr_array_unref (self->bookings);
  g_string_free (self->lost_records, TRUE);
  g_free (self);
}

static char *
copy_header (const GgHttpReply *reply, const char *name)
{
  const char *value = reply->headers ? g_hash_table_lookup (reply->headers, name) : NULL;
  return g_strdup (value ? value : "");
}

static char *
format_headers (const GgHttpReply *reply)
{
  GString *text = g_string_new (NULL);
  GList *names = reply->headers ? g_hash_table_get_keys (reply->headers) : NULL;
  names = g_list_sort (names, (GCompareFunc) strcmp);
  for (const GList *name = names; name; name = name->next)
    if (strcmp (name->data, "date") != 0)
      g_string_append_printf (text, "%s: %s\n", (const char *) name->data,
                              (const char *) g_hash_table_lookup (reply->headers, name->data));
  g_list_free (names);
  return g_string_free (text, FALSE);
}

static void *
send_booking (void *data)
{
  GgBooking *self = data;
  const char *headers[] = { "Authorization",
                            GG_CLUSTER_SCHOOLS_BEARER,
                            "Content-Type",
                            "application/json",
                            self->key ? "Idempotency-Key" : NULL,
                            self->key,
                            NULL };
  char *body
      = self->is_chat ? g_strdup (CHAT_BODY) : g_strdup_printf ("{\"barge\":\"%s\"}", self->barge);
  GgHttpReply reply;
  gg_test_call ("POST", self->trial->cluster->instances[self->instance].callers,
                self->is_chat ? CHAT_PATH : BOOKING_PATH, headers, body, &reply);
  self->status = reply.status;
  self->outcome = copy_header (&reply, "greengage-outcome");
  self->request = copy_header (&reply, "greengage-request");
  self->headers = format_headers (&reply);
  self->body = g_strdup (reply.body ? reply.body : "");
  gg_http_reply_clear (&reply);
  g_free (body);
  return NULL;
}

static GgBooking *
add_booking (GgTrial *self, uint32_t instance, const char *key, const char *barge)
{
  GgBooking *booking = g_new0 (GgBooking, 1);
  booking->trial = self;
  booking->instance = instance;
  booking->key = g_strdup (key);
  booking->barge = g_strdup (barge);
  g_ptr_array_add (self->bookings, booking);
  return booking;
}

GgBooking *
gg_trial_start_booking (GgTrial *self, uint32_t instance, const char *key, const char *barge)
{
  GgBooking *booking = add_booking (self, instance, key, barge);
  booking->thread = g_thread_new ("booking", send_booking, booking);
  return booking;
}

/* Checks the records immediately; they are checked again when the trial ends. */
static void
check_booking (const GgBooking *self)
{
  char *calls = read_calls (self->trial);
  check_not_run (self, calls);
  g_free (calls);
}

void
gg_booking_wait (GgBooking *self)
{
  if (self->thread == NULL)
    return;
  g_thread_join (g_steal_pointer (&self->thread));
  check_booking (self);
}

GgBooking *
gg_trial_book (GgTrial *self, uint32_t instance, const char *key, const char *barge)
{
  GgBooking *booking = add_booking (self, instance, key, barge);
  send_booking (booking);
  check_booking (booking);
  return booking;
}

GgBooking *
gg_trial_chat (GgTrial *self, uint32_t instance)
{
  GgBooking *booking = add_booking (self, instance, NULL, "chat");
  booking->is_chat = TRUE;
  send_booking (booking);
  check_booking (booking);
  return booking;
}

void
gg_booking_expect (const GgBooking *self, const char *outcome)
{
  if (strcmp (self->outcome, outcome) != 0)
    gg_proof_fail (self->trial->proof, "'%s' at instance %u: outcome '%s' instead of '%s', %u %s",
                   self->barge, self->instance, self->outcome, outcome, self->status, self->body);
}

void
gg_booking_expect_same (const GgBooking *self, const GgBooking *other)
{
  if (self->status != other->status || strcmp (self->body, other->body) != 0)
    gg_proof_fail (self->trial->proof, "'%s': %u %s differs from %u %s", self->barge, self->status,
                   self->body, other->status, other->body);
}

typedef gboolean (*BookingPredicate) (const GgBooking *booking, const char *outcome);

static gboolean
is_not_in_progress (const GgBooking *booking, const char *outcome)
{
  return booking->status != STATUS_IN_PROGRESS;
}

static gboolean
has_outcome (const GgBooking *booking, const char *outcome)
{
  return strcmp (booking->outcome, outcome) == 0;
}

static GgBooking *
repeat (GgTrial *self,
        uint32_t instance,
        const char *key,
        const char *barge,
        BookingPredicate is_done,
        const char *outcome)
{
  uint64_t deadline_ms = gg_clock_now_ms () + GG_TRIAL_WAIT_MS;
  GgBooking *booking = gg_trial_book (self, instance, key, barge);
  while (!is_done (booking, outcome) && gg_clock_now_ms () < deadline_ms)
    {
      g_usleep (REPEAT_PAUSE_US);
      booking = gg_trial_book (self, instance, key, barge);
    }
  return booking;
}

GgBooking *
gg_trial_chat_until (GgTrial *self, uint32_t instance, const char *outcome)
{
  uint64_t deadline_ms = gg_clock_now_ms () + GG_TRIAL_WAIT_MS;
  GgBooking *booking = gg_trial_chat (self, instance);
  while (!has_outcome (booking, outcome) && gg_clock_now_ms () < deadline_ms)
    booking = gg_trial_chat (self, instance);
  gg_booking_expect (booking, outcome);
  return booking;
}

GgBooking *
gg_trial_repeat (GgTrial *self, uint32_t instance, const char *key, const char *barge)
{
  return repeat (self, instance, key, barge, is_not_in_progress, NULL);
}

GgBooking *
gg_trial_repeat_until (
    GgTrial *self, uint32_t instance, const char *key, const char *barge, const char *outcome)
{
  GgBooking *booking = repeat (self, instance, key, barge, has_outcome, outcome);
  gg_booking_expect (booking, outcome);
  return booking;
}

guint
gg_trial_count_runs (GgTrial *self, const char *barge)
{
  char *calls = read_calls (self);
  guint n = count_calls (calls, barge);
  g_free (calls);
  return n;
}

void
gg_trial_expect_runs (GgTrial *self, const char *barge, guint n)
{
  guint found = gg_trial_count_runs (self, barge);
  if (found != n)
    gg_proof_fail (self->proof, "'%s' ran %u times instead of %u", barge, found, n);
}

void
gg_trial_expect_until (
    GgTrial *self, GgCondition condition, void *data, uint64_t timeout_ms, const char *what)
{
  if (!gg_wait_until (condition, data, timeout_ms))
    gg_proof_fail (self->proof, "did not happen within %u ms: %s", (unsigned) timeout_ms, what);
}

typedef struct
{
  GgTrial *trial;
  const char *barge;
  uint32_t runner;
} RunWait;

static gboolean
has_started (void *data)
{
  RunWait *wait = data;
  for (uint32_t i = GG_CLUSTER_ENGINES; i < GG_CLUSTER_RUNNERS; i++)
    {
      char *text = gg_test_get (wait->trial->cluster->runners[i].address, "/records");
      gboolean found = text && count_calls (text, wait->barge) > 0;
      g_free (text);
      wait->runner = i;
      if (found)
        return TRUE;
    }
  return FALSE;
}

uint32_t
gg_trial_wait_run (GgTrial *self, const char *barge)
{
  RunWait wait = { .trial = self, .barge = barge };
  gg_trial_expect_until (self, has_started, &wait, GG_TRIAL_WAIT_MS, "the call reaches a service");
  return wait.runner;
}

static gboolean
has_lost_reply (void *data)
{
  char *stats = gg_test_get (((GgTrial *) data)->cluster->kv, "/stats");
  gboolean lost = stats && !strstr (stats, "\"lost\":0,");
  g_free (stats);
  return lost;
}

void
gg_trial_wait_lost_reply (GgTrial *self)
{
  gg_trial_expect_until (self, has_lost_reply, self, GG_TRIAL_WAIT_MS, "a write loses its reply");
}

void
gg_trial_control_services (GgTrial *self, const char *json)
{
  for (uint32_t i = GG_CLUSTER_ENGINES; i < GG_CLUSTER_RUNNERS; i++)
    if (gg_process_get_status (self->cluster->runners[i].process) < 0)
      gg_proof_check (self->proof, gg_cluster_control_runner (self->cluster, i, json));
}

void
gg_trial_delay_services (GgTrial *self, unsigned delay_ms)
{
  char *json = g_strdup_printf ("{\"delay_ms\":%u}", delay_ms);
  gg_trial_control_services (self, json);
  g_free (json);
}

void
gg_trial_control_platform (GgTrial *self, const char *json)
{
  gg_proof_check (self->proof, gg_test_send ("POST", self->cluster->kv, "/control", json));
}

typedef struct
{
  const GgProcess *relay;
  guint n;
} AppliedWait;

static guint
count_applied (const GgProcess *relay)
{
  char *output = gg_process_read_output (relay);
  guint n = 0;
  for (const char *at = strstr (output, "applied"); at; at = strstr (at + 1, "applied"))
    n++;
  g_free (output);
  return n;
}

static gboolean
has_applied (void *data)
{
  const AppliedWait *wait = data;
  return count_applied (wait->relay) >= wait->n;
}

static void
signal_relay (GgTrial *self, GgProcess *relay, int number)
{
  AppliedWait wait = { .relay = relay, .n = count_applied (relay) + 1 };
  gg_process_signal (relay, number);
  gg_trial_expect_until (self, has_applied, &wait, GG_TRIAL_WAIT_MS, "a relay applies the fault");
}

void
gg_trial_signal_relays (GgTrial *self, const char *data_centre, int number)
{
  for (uint32_t i = 0; i < GG_CLUSTER_RUNNERS; i++)
    if (!data_centre || strcmp (self->cluster->runners[i].data_centre, data_centre) == 0)
      signal_relay (self, self->cluster->runners[i].relay, number);
}

void
gg_trial_kill_service (GgTrial *self, uint32_t runner)
{
  char *text = gg_test_get (self->cluster->runners[runner].address, "/records");
  g_string_append (self->lost_records, text ? text : "");
  g_free (text);
  gg_process_signal (self->cluster->runners[runner].process, SIGKILL);
  (void) gg_process_wait_exit (self->cluster->runners[runner].process, GG_TRIAL_WAIT_MS);
}

void
gg_trial_note_fault (GgTrial *self)
{
  self->fault_ms = gg_clock_now_ms ();
}

void
gg_trial_note_recovered (GgTrial *self)
{
  self->proof->recovery_ms = (int64_t) (gg_clock_now_ms () - self->fault_ms);
}

void
gg_trial_wait_recovery (GgTrial *self, uint32_t instance)
{
  uint64_t deadline_ms = gg_clock_now_ms () + GG_TRIAL_WAIT_MS;
  const GgBooking *booking = NULL;
  do
    {
      char *barge = g_strdup_printf ("fresh-%u", ++self->n_fresh);
      if (booking)
        g_usleep (REPEAT_PAUSE_US);
      booking = gg_trial_book (self, instance, barge, barge);
      g_free (barge);
    }
  while (strcmp (booking->outcome, "complete") != 0 && gg_clock_now_ms () < deadline_ms);
  gg_booking_expect (booking, "complete");
  gg_trial_note_recovered (self);
}

/* Replaces values that differ between runs besides ids and times: the chosen runner, its call
 * number, and versions. */
static void
append_normalized (GgGolden *golden, const char *text)
{
  GRegex *runner = g_regex_new ("\"number\":\\d+,\"runner\":\"moorings-\\d\"", 0, 0, NULL);
  GRegex *version = g_regex_new ("cas=[1-9]\\d*", 0, 0, NULL);
  /* The length of a short answer depends on the number of digits of the call number. */
  GRegex *length = g_regex_new ("content-length: \\d\\d$", G_REGEX_MULTILINE, 0, NULL);
  char *named = g_regex_replace_literal (runner, text, -1, 0,
                                         "\"number\":<number>,\"runner\":<runner>", 0, NULL);
  char *versioned = g_regex_replace_literal (version, named, -1, 0, "cas=<version>", 0, NULL);
  char *all
      = g_regex_replace_literal (length, versioned, -1, 0, "content-length: <length>", 0, NULL);
  gg_golden_append (golden, "%s", all);
  g_free (all);
  g_free (versioned);
  g_free (named);
  g_regex_unref (length);
  g_regex_unref (version);
  g_regex_unref (runner);
}

void
gg_trial_append_booking (GgGolden *golden, const GgBooking *booking)
{
  char *text = g_strdup_printf (
      "POST %s at instance %u, Idempotency-Key %s, barge %s\nstatus %u\n%s\n%s\n\n", BOOKING_PATH,
      booking->instance, booking->key ? booking->key : "(none)", booking->barge, booking->status,
      booking->headers, booking->body);
  append_normalized (golden, text);
  g_free (text);
}

static void
append_lines (GgGolden *golden, const char *text, const char *pattern)
{
  GRegex *wanted = g_regex_new (pattern, 0, 0, NULL);
  char **lines = g_strsplit (text, "\n", -1);
  for (size_t i = 0; lines[i]; i++)
    if (g_regex_match (wanted, lines[i], 0, NULL))
      {
        append_normalized (golden, lines[i]);
        gg_golden_append (golden, "\n");
      }
  g_strfreev (lines);
  g_regex_unref (wanted);
}

static gboolean
is_first_of_barge (const GgTrial *self, guint number)
{
  const GgBooking *booking = g_ptr_array_index (self->bookings, number);
  for (guint i = 0; i < number; i++)
    if (strcmp (((GgBooking *) g_ptr_array_index (self->bookings, i))->barge, booking->barge) == 0)
      return FALSE;
  return TRUE;
}

void
gg_trial_append_calls (GgTrial *self, GgGolden *golden, guint first, const char *prefix)
{
  char *calls = read_calls (self);
  char *platform = gg_test_get (self->cluster->kv, "/records");
  gg_golden_append (golden, "calls of the services\n");
  for (guint i = first; i < self->bookings->len; i++)
    if (is_first_of_barge (self, i))
      {
        const GgBooking *booking = g_ptr_array_index (self->bookings, i);
        char *pattern = g_strdup_printf ("\"%s\\\\\"}$", booking->barge);
        append_lines (golden, calls, pattern);
        g_free (pattern);
      }
  char *pattern = g_strdup_printf ("^PUT %s.*(true|false)$", prefix);
  gg_golden_append (golden, "writes at the platform\n");
  append_lines (golden, platform ? platform : "", pattern);
  g_free (pattern);
  g_free (platform);
  g_free (calls);
}
