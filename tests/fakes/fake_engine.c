/* Fake model engine that holds a range of layers. Its outputs are digests over all inputs of the
 * lineage, so that a wrong or missing KV cache changes the answer. */
#include "common_runner.h"

#include "base/clock.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define DIGEST_LENGTH 16
#define CROSS_WAIT_MS 50
#define SYLLABLES 4
#define CONSONANTS "bdfgklmnprstvzhj"
#define VOWELS "aeiouaeiouaeioua"

typedef struct
{
  char *request;
  char *chain; /* digest over all inputs so far */
  uint32_t epoch;
  uint32_t next_position;
  gboolean cancelled;
} Lineage;

/* A reply that waits to be swapped with that of another step. */
typedef struct
{
  char *body;
  gboolean swapped;
} CrossSlot;

static char *id;
static char *model = "reader";
static char *_Atomic version = "1";
static char *layers_text = "0-12";
static unsigned first_layer;
static unsigned end_layer;
static int model_layers = 12;
static int step_us = 1000;
static int slots = 8;
static int load_lag_ms;
static int end_position;
static int keep_records = 1;
static int checks_fencing;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t slot_freed = PTHREAD_COND_INITIALIZER;
static pthread_cond_t replies_swapped;
static GHashTable *lineages; /* attempt to Lineage * */
static int64_t highest_fencing;
static int busy_slots;
static CrossSlot *waiting_reply;
static RunnerProfile profile;

static char *
digest (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  char *hex = g_compute_checksum_for_string (G_CHECKSUM_SHA256, text, -1);
  g_free (text);
  return hex;
}

/* Returns a token for the last layer range, a digest for the others. */
static char *
make_output (const char *chain)
{
  char *hex = digest ("%s|%u|%u|%s", model, first_layer, end_layer, chain);
  if ((int) end_layer < model_layers)
    {
      hex[DIGEST_LENGTH] = '\0';
      return hex;
    }
  GString *word = g_string_new (" ");
  for (int i = 0; i < SYLLABLES; i++)
    {
      g_string_append_c (word, CONSONANTS[g_ascii_xdigit_value (hex[2 * i])]);
      g_string_append_c (word, VOWELS[g_ascii_xdigit_value (hex[2 * i + 1])]);
    }
  g_free (hex);
  return g_string_free (word, FALSE);
}

static void
lineage_free (void *data)
{
  Lineage *lineage = data;
  g_free (lineage->request);
  g_free (lineage->chain);
  g_free (lineage);
}

static Lineage *
add_lineage_locked (const char *attempt, const char *request, uint32_t epoch)
{
  Lineage *lineage = g_new0 (Lineage, 1);
  lineage->request = g_strdup (request);
  lineage->chain = g_strdup ("");
  lineage->epoch = epoch;
  g_hash_table_insert (lineages, g_strdup (attempt), lineage);
  /* As in continuous batching, an active lineage counts as one outstanding token. */
  runner_add_outstanding (1);
  return lineage;
}

static const char *
get_text (JsonObject *object, const char *member)
{
  return json_object_get_string_member_with_default (object, member, "");
}

static uint32_t
get_number (JsonObject *object, const char *member)
{
  return (uint32_t) json_object_get_int_member_with_default (object, member, 0);
}

/* Adds the inputs to the digest chain; returns their outputs. */
static GPtrArray *
advance_locked (Lineage *lineage, JsonArray *inputs)
{
  GPtrArray *outputs = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < json_array_get_length (inputs); i++)
    {
      char *chain = digest ("%s|%s", lineage->chain, json_array_get_string_element (inputs, i));
      g_free (lineage->chain);
      lineage->chain = chain;
      g_ptr_array_add (outputs, make_output (chain));
    }
  lineage->next_position += outputs->len;
  return outputs;
}

/* Returns the outputs of a step, or NULL with @p reply set; a rejected step does not change the
 * lineage. */
static GPtrArray *
accept_step_locked (JsonObject *step, RunnerReply *reply)
{
  RunnerFaults faults = runner_faults ();
  const char *attempt = get_text (step, "attempt");
  uint32_t epoch = get_number (step, "epoch");
  uint32_t position = get_number (step, "position");
  Lineage *lineage = g_hash_table_lookup (lineages, attempt);
  if (lineage && lineage->cancelled)
    runner_reply_reason (reply, 410, "reason", "cancelled");
  else if (strcmp (get_text (step, "version"), version) != 0)
    runner_reply_reason (reply, 409, "reason", "version");
  else if (!lineage && faults.leaving)
    runner_reply_reason (reply, 503, "reason", "leaving");
  else if (!lineage && faults.busy)
    runner_reply_reason (reply, 503, "reason", "busy");
  else if (lineage && lineage->epoch != epoch)
    runner_reply_reason (reply, 409, "reason", "epoch");
  else if (position != (lineage ? lineage->next_position : 0))
    runner_reply_reason (reply, 409, "reason", "position");
  else
    {
      if (!lineage)
        lineage = add_lineage_locked (attempt, get_text (step, "request"), epoch);
      return advance_locked (lineage, json_object_get_array_member (step, "inputs"));
    }
  return NULL;
}

/* Occupies a slot for the execution time of the positions; returns FALSE if the lineage was
 * cancelled. */
static gboolean
execute (JsonObject *step, uint32_t n)
{
  const char *attempt = get_text (step, "attempt");
  pthread_mutex_lock (&lock);
  while (busy_slots >= slots)
    pthread_cond_wait (&slot_freed, &lock);
  busy_slots++;
  const Lineage *lineage = g_hash_table_lookup (lineages, attempt);
  gboolean cancelled = lineage->cancelled;
  pthread_mutex_unlock (&lock);
  if (!cancelled)
    runner_sleep_us (n * (uint64_t) step_us + runner_faults ().delay_ms * UINT64_C (1000));
  pthread_mutex_lock (&lock);
  cancelled = lineage->cancelled;
  busy_slots--;
  pthread_cond_signal (&slot_freed);
  pthread_mutex_unlock (&lock);
  return !cancelled;
}

static void
record_step (JsonObject *step, uint32_t n)
{
  uint32_t position = get_number (step, "position");
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t p = position; p < position + n; p++)
    for (unsigned layer = first_layer; layer < end_layer; layer++)
      g_ptr_array_add (lines,
                       g_strdup_printf ("%s %s %u %u %u %" G_GUINT64_FORMAT,
                                        get_text (step, "request"), get_text (step, "attempt"),
                                        get_number (step, "epoch"), p, layer, gg_clock_now_us ()));
  runner_record_all (lines);
  g_ptr_array_unref (lines);
}

static char *
make_step_reply (JsonObject *step, const GPtrArray *outputs)
{
  uint32_t position = get_number (step, "position");
  JsonBuilder *builder = json_builder_new ();
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "request");
  json_builder_add_string_value (builder, get_text (step, "request"));
  json_builder_set_member_name (builder, "attempt");
  json_builder_add_string_value (builder, get_text (step, "attempt"));
  json_builder_set_member_name (builder, "epoch");
  json_builder_add_int_value (builder, get_number (step, "epoch"));
  json_builder_set_member_name (builder, "position");
  json_builder_add_int_value (builder, position);
  json_builder_set_member_name (builder, "outputs");
  json_builder_begin_array (builder);
  for (guint i = 0; i < outputs->len; i++)
    json_builder_add_string_value (builder, outputs->pdata[i]);
  json_builder_end_array (builder);
  json_builder_set_member_name (builder, "end");
  gboolean last_range = (int) end_layer == model_layers;
  json_builder_add_boolean_value (builder, last_range && end_position > 0
                                               && position + outputs->len > (guint) end_position);
  json_builder_end_object (builder);
  return runner_json_text (builder);
}

/* Swaps the replies of two concurrent steps; returns @p body itself if no other step arrives within
 * CROSS_WAIT_MS. */
static char *
cross_reply (char *body)
{
  CrossSlot own = { body, FALSE };
  struct timespec until;
  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_nsec += CROSS_WAIT_MS * 1000000;
  until.tv_sec += until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  pthread_mutex_lock (&lock);
  CrossSlot *other = waiting_reply;
  if (other)
    {
      own.body = other->body;
      other->body = body;
      other->swapped = TRUE;
      waiting_reply = NULL;
      pthread_cond_broadcast (&replies_swapped);
    }
  else
    {
      waiting_reply = &own;
      int result = 0;
      while (!own.swapped && result != ETIMEDOUT)
        result = pthread_cond_timedwait (&replies_swapped, &lock, &until);
      if (!own.swapped)
        waiting_reply = NULL;
    }
  pthread_mutex_unlock (&lock);
  return own.body;
}

static gboolean
step_is_well_formed (JsonObject *step)
{
  return strcmp (get_text (step, "model"), model) == 0
         && get_number (step, "first_layer") == first_layer
         && get_number (step, "end_layer") == end_layer && *get_text (step, "attempt")
         && json_object_has_member (step, "inputs")
         && JSON_NODE_HOLDS_ARRAY (json_object_get_member (step, "inputs"))
         && json_array_get_length (json_object_get_array_member (step, "inputs")) > 0;
}

static void
handle_step (JsonObject *step, RunnerReply *reply)
{
  if (!step_is_well_formed (step))
    {
      runner_reply_reason (reply, 400, "reason", "malformed");
      return;
    }
  pthread_mutex_lock (&lock);
  GPtrArray *outputs = accept_step_locked (step, reply);
  pthread_mutex_unlock (&lock);
  if (!outputs)
    return;
  if (execute (step, outputs->len))
    {
      record_step (step, outputs->len);
      reply->status = 200;
      reply->ran = TRUE;
      reply->body = make_step_reply (step, outputs);
      if (runner_faults ().cross_replies)
        reply->body = cross_reply (reply->body);
    }
  else
    runner_reply_reason (reply, 410, "reason", "cancelled");
  g_ptr_array_unref (outputs);
}

/* Writes "call TIME KIND REQUEST ATTEMPT EPOCH POSITION N STATUS" when the reply is ready; TIME is
 * when the call arrived (us, monotonic), N the number of inputs. */
static void
trace_call (const char *kind, JsonObject *call, uint64_t time_us, const RunnerReply *reply)
{
  JsonNode *inputs = json_object_get_member (call, "inputs");
  guint n = inputs && JSON_NODE_HOLDS_ARRAY (inputs)
                ? json_array_get_length (json_node_get_array (inputs))
                : 0;
  runner_trace ("call %" G_GUINT64_FORMAT " %s %s %s %u %u %u %u", time_us, kind,
                json_object_get_string_member_with_default (call, "request", "-"),
                get_text (call, "attempt"), get_number (call, "epoch"),
                get_number (call, "position"), n, reply->status);
}

/* Also marks unknown attempts as cancelled, since their step may arrive after the cancel. */
static void
handle_cancel (JsonObject *order, RunnerReply *reply)
{
  const char *attempt = get_text (order, "attempt");
  pthread_mutex_lock (&lock);
  Lineage *lineage = g_hash_table_lookup (lineages, attempt);
  if (!lineage)
    lineage = add_lineage_locked (attempt, "", 0);
  if (!lineage->cancelled)
    runner_add_outstanding (-1);
  lineage->cancelled = TRUE;
  pthread_mutex_unlock (&lock);
  runner_reply_reason (reply, 200, "attempt", attempt);
}

static void
handle_export (const RunnerCall *call, RunnerReply *reply)
{
  const char *attempt
      = MHD_lookup_connection_value (call->connection, MHD_GET_ARGUMENT_KIND, "attempt");
  pthread_mutex_lock (&lock);
  const Lineage *lineage = attempt ? g_hash_table_lookup (lineages, attempt) : NULL;
  if (!lineage)
    runner_reply_reason (reply, 404, "reason", "position");
  else if (lineage->cancelled)
    runner_reply_reason (reply, 410, "reason", "cancelled");
  else
    {
      char *kv = g_strdup_printf ("%s %u %u %s %u %s", model, first_layer, end_layer,
                                  lineage->request, lineage->next_position, lineage->chain);
      reply->status = 200;
      reply->body = g_strdup_printf ("{\"attempt\":\"%s\",\"kv\":\"%s\"}", attempt, kv);
      g_free (kv);
    }
  pthread_mutex_unlock (&lock);
}

static gboolean
restore_lineage_locked (JsonObject *import, const char *kv)
{
  char **parts = g_strsplit (kv, " ", -1);
  gboolean valid = g_strv_length (parts) == 6 && strcmp (parts[0], model) == 0
                   && strtoul (parts[1], NULL, 10) == first_layer
                   && strtoul (parts[2], NULL, 10) == end_layer;
  if (valid)
    {
      Lineage *lineage = add_lineage_locked (get_text (import, "attempt"), parts[3],
                                             get_number (import, "epoch"));
      lineage->next_position = (uint32_t) strtoul (parts[4], NULL, 10);
      g_free (lineage->chain);
      lineage->chain = g_strdup (parts[5]);
    }
  g_strfreev (parts);
  return valid;
}

static void
handle_import (JsonObject *import, RunnerReply *reply)
{
  const char *attempt = get_text (import, "attempt");
  RunnerFaults faults = runner_faults ();
  pthread_mutex_lock (&lock);
  const Lineage *lineage = g_hash_table_lookup (lineages, attempt);
  if (lineage && lineage->cancelled)
    runner_reply_reason (reply, 410, "reason", "cancelled");
  else if (lineage)
    runner_reply_reason (reply, 409, "reason", "position");
  else if (faults.leaving || faults.busy)
    runner_reply_reason (reply, 503, "reason", faults.leaving ? "leaving" : "busy");
  else if (!restore_lineage_locked (import, get_text (import, "kv")))
    runner_reply_reason (reply, 400, "reason", "malformed");
  else
    runner_reply_reason (reply, 200, "attempt", attempt);
  pthread_mutex_unlock (&lock);
}

/* Replaced version strings are not freed, since load reports read them without this lock. */
static void
handle_order (JsonObject *order, RunnerReply *reply)
{
  int64_t fencing = json_object_get_int_member_with_default (order, "fencing", 0);
  pthread_mutex_lock (&lock);
  gboolean rejected = checks_fencing && fencing < highest_fencing;
  if (!rejected)
    {
      highest_fencing = MAX (highest_fencing, fencing);
      version = g_strdup (json_object_get_string_member_with_default (order, "version", version));
      profile.version = version;
    }
  pthread_mutex_unlock (&lock);
  if (rejected)
    runner_reply_reason (reply, 409, "reason", "fencing");
  else
    runner_reply_reason (reply, 200, "version", version);
}

static void
handle (const RunnerCall *call, RunnerReply *reply)
{
  uint64_t time_us = gg_clock_now_us ();
  gboolean is_get = strcmp (call->method, "GET") == 0;
  JsonObject *object = is_get ? NULL : runner_json_parse (call->body->str);
  if (is_get && strcmp (call->path, "/v1/stage/kv") == 0)
    handle_export (call, reply);
  else if (is_get)
    runner_reply_reason (reply, 404, "reason", "path");
  else if (!object)
    runner_reply_reason (reply, 400, "reason", "malformed");
  else if (strcmp (call->path, "/v1/stage/step") == 0)
    {
      handle_step (object, reply);
      trace_call ("step", object, time_us, reply);
    }
  else if (strcmp (call->path, "/v1/stage/cancel") == 0)
    {
      handle_cancel (object, reply);
      trace_call ("cancel", object, time_us, reply);
    }
  else if (strcmp (call->path, "/v1/stage/kv") == 0)
    handle_import (object, reply);
  else if (strcmp (call->path, "/v1/orders") == 0)
    handle_order (object, reply);
  else
    runner_reply_reason (reply, 404, "reason", "path");
  g_clear_pointer (&object, json_object_unref);
}

static void
init_swap_condition (void)
{
  pthread_condattr_t attributes;
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&replies_swapped, &attributes);
  pthread_condattr_destroy (&attributes);
}

int
main (int argc, char **argv)
{
  const GOptionEntry entries[] = {
    { "id", 0, 0, G_OPTION_ARG_STRING, &id, "Name of the runner", "NAME" },
    { "model", 0, 0, G_OPTION_ARG_STRING, &model, "Model", "NAME" },
    { "version", 0, 0, G_OPTION_ARG_STRING, &version, "Version of the model", "TEXT" },
    { "layers", 0, 0, G_OPTION_ARG_STRING, &layers_text, "Half-open range of layers", "A-B" },
    { "of", 0, 0, G_OPTION_ARG_INT, &model_layers, "Layers of the model", "L" },
    { "step-us", 0, 0, G_OPTION_ARG_INT, &step_us, "Time per position", "N" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &slots, "Concurrent steps", "N" },
    { "load-lag-ms", 0, 0, G_OPTION_ARG_INT, &load_lag_ms, "Age of the reported load", "N" },
    { "checks-fencing", 0, 0, G_OPTION_ARG_INT, &checks_fencing, "Reject stale fencing tokens",
      "0|1" },
    { "end-position", 0, 0, G_OPTION_ARG_INT, &end_position,
      "Position of the last token; 0 for no end", "N" },
    { "records", 0, 0, G_OPTION_ARG_INT, &keep_records, "Keep records", "0|1" },
    G_OPTION_ENTRY_NULL,
  };
  char *listen = runner_parse_options (argc, argv, entries);
  if (sscanf (layers_text, "%u-%u", &first_layer, &end_layer) != 2 || first_layer >= end_layer)
    {
      fprintf (stderr, "gg-fake-engine: --layers %s: expected A-B with A < B\n", layers_text);
      return 2;
    }
  init_swap_condition ();
  lineages = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, lineage_free);
  profile.version = version;
  profile.tokens_per_s = (uint32_t) (slots * INT64_C (1000000) / MAX (step_us, 1));
  profile.load_lag_ms = (uint32_t) load_lag_ms;
  profile.without_records = !keep_records;
  return runner_serve (listen, &profile, handle);
}
