#include "tools/ctl/ctl_explain.h"

#include "base/event_log.h"
#include "base/json.h"

#include <stdio.h>
#include <string.h>

/* The state of the runners and the store shortly before a request arrived also explains it. */
#define CONTEXT_BEFORE_S 3.0
#define MS_PER_S 1000.0

typedef struct
{
  double time_s;
  char *text; /* the line from "time=" on */
  char *instance;
  char *event;
  gboolean is_of_request; /* it belongs to the request */
} Line;

/* Meaning of each outcome, and where to look next. */
static const struct
{
  const char *outcome;
  const char *meaning;
} meanings[] = {
  { "delivered", "the runner's answer was forwarded to the caller" },
  { "no_room", "no path had memory free within the time that a request waits; look for "
               "runner_gone, runner_suspected and layers_ordered lines, and at the load" },
  { "team_over_share", "it was held back because its team was over its share of the service while "
                       "other teams found no capacity: see team_over_share lines" },
  { "no_room_to_resume", "a stream was broken and no path had memory free to go on" },
  { "no_room_to_repeat", "a send was lost and no runner was free to repeat it" },
  { "no_runner_took_it", "each runner that was tried refused it; their entries may lag behind what "
                         "they were ordered to hold, or they are leaving" },
  { "part_quarantined", "a part of its prompt crashes runners: see answer_cut_at_start and "
                        "part_quarantined lines" },
  { "request_quarantined",
    "runners crash when they begin to run it: see answer_cut, runner_crashed "
    "and request_quarantined lines" },
  { "answer_lost",
    "it was sent, and the answer was lost, truncated or not signed; it may have run" },
  { "refusal_unconfirmed",
    "its runner answered 408, 429 or 503, which means that it did not run, but without the "
    "statement that goes with it; it may have run" },
  { "stream_lost", "its stream was cut and could not go on elsewhere" },
  { "deadline", "its deadline, or the time limit of its route, passed" },
  { "keys_not_fresh",
    "this instance could not prove that the keys are still valid: see store_lost" },
  { "no_configuration", "this instance had not read a configuration yet" },
  { "stopping", "this instance was about to stop" },
  { "unknown_key", "the configuration in force does not hold its key" },
  { "no_route", "the configuration in force has no such host and path" },
  { "no_attempt_id", "it carried no attempt id" },
  { "no_host", "it carried no host" },
  { "no_service", "its route names a service that the configuration does not hold" },
  { "may_have_run",
    "another instance handed it over after a send that may have run, but it may run "
    "once only here; their configurations differ" },
  { "caller_left", "the caller closed its connection before the answer was complete" },
  { "caller_stalled", "the caller accepted nothing more of its answer for too long" },
};

static void
free_line (void *data)
{
  Line *line = data;
  g_free (line->text);
  g_free (line->instance);
  g_free (line->event);
  g_free (line);
}

/* Returns the value of a field "NAME=VALUE", owned by the caller, or NULL. */
static char *
get_field (const char *text, const char *name)
{
  size_t length = strlen (name);
  for (const char *p = text; p != NULL && *p != '\0'; p = strchr (p, ' '))
    {
      p += strspn (p, " ");
      if (strncmp (p, name, length) == 0 && p[length] == '=')
        return g_strndup (p + length + 1, strcspn (p + length + 1, " "));
    }
  return NULL;
}

static guint64
get_number (const char *text, const char *name)
{
  char *value = get_field (text, name);
  guint64 number = value != NULL ? g_ascii_strtoull (value, NULL, 10) : 0;
  g_free (value);
  return number;
}

static Line *
parse_line (const char *text, const char *request)
{
  /* A log collector may have added a prefix. */
  const char *start = strstr (text, "time=");
  if (start == NULL)
    return NULL;
  char *time = get_field (start, "time");
  char *line_request = get_field (start, "request");
  char line_id[GG_EVENT_LOG_ID_BYTES + 1];
  char id[GG_EVENT_LOG_ID_BYTES + 1];
  gg_event_log_format_id (line_request, line_id);
  gg_event_log_format_id (request, id);
  Line *line = g_new0 (Line, 1);
  line->time_s = g_ascii_strtod (time, NULL);
  line->text = g_strdup (start);
  line->instance = get_field (start, "instance");
  line->event = get_field (start, "event");
  line->is_of_request = line_request != NULL && strcmp (line_id, id) == 0;
  g_free (line_request);
  g_free (time);
  if (line->event != NULL && line->instance != NULL)
    return line;
  free_line (line);
  return NULL;
}

static gboolean
read_file (const char *path, const char *request, GPtrArray *lines, GError **error)
{
  GIOChannel *channel = strcmp (path, "-") == 0 ? g_io_channel_unix_new (fileno (stdin))
                                                : g_io_channel_new_file (path, "r", error);
  if (channel == NULL)
    {
      g_prefix_error (error, "%s: ", path);
      return FALSE;
    }
  /* Read bytes without conversion: logs may contain invalid UTF-8. */
  g_io_channel_set_encoding (channel, NULL, NULL);
  char *text = NULL;
  gsize end = 0;
  while (g_io_channel_read_line (channel, &text, NULL, &end, NULL) == G_IO_STATUS_NORMAL)
    {
      text[end] = '\0';
      Line *line = parse_line (text, request);
      if (line != NULL)
        g_ptr_array_add (lines, line);
      g_free (text);
    }
  g_io_channel_unref (channel);
  return TRUE;
}

static gint
compare_time (gconstpointer a, gconstpointer b)
{
  const Line *x = *(Line *const *) a;
  const Line *y = *(Line *const *) b;
  return x->time_s < y->time_s ? -1 : x->time_s > y->time_s ? 1 : 0;
}

/* Returns whether a line that does not belong to the request is relevant context: the store, the
 * configuration, the process, orders, the leader election, the delegated watch, or a runner that
 * appears in the lines of the request. */
static gboolean
is_context (const Line *line, const GString *request_text)
{
  static const char *const events[]
      = { "store_lost",       "store_regained", "config_applied", "process_started",
          "process_stopping", "settings_read",  "layers_ordered", "leader_elected",
          "feed_begun",       "feed_ended",     "zone_shares",    "team_over_share" };
  for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
    if (strcmp (line->event, events[i]) == 0)
      return TRUE;
  if (!g_str_has_prefix (line->event, "runner_"))
    return FALSE;
  char *runner = get_field (line->text, "runner");
  gboolean is_named = runner != NULL && strstr (request_text->str, runner) != NULL;
  g_free (runner);
  return is_named;
}

static const Line *
find_last (const GPtrArray *timeline, const char *event)
{
  for (guint i = timeline->len; i-- > 0;)
    {
      const Line *line = g_ptr_array_index (timeline, i);
      if (line->is_of_request && strcmp (line->event, event) == 0)
        return line;
    }
  return NULL;
}

static guint
count (const GPtrArray *timeline, const char *event)
{
  guint n = 0;
  for (guint i = 0; i < timeline->len; i++)
    {
      const Line *line = g_ptr_array_index (timeline, i);
      n += line->is_of_request && strcmp (line->event, event) == 0 ? 1 : 0;
    }
  return n;
}

/* Appends why the last send went to another data centre, if it did. */
static void
append_zone_reason (const GPtrArray *timeline, GString *text)
{
  const Line *sent = find_last (timeline, "request_sent");
  char *reason = sent != NULL ? get_field (sent->text, "zone_reason") : NULL;
  char *data_centre = sent != NULL ? get_field (sent->text, "data_centre") : NULL;
  if (g_strcmp0 (reason, "share") == 0)
    g_string_append_printf (text, "; it was sent to %s by the shares: see zone_shares lines",
                            data_centre);
  else if (g_strcmp0 (reason, "comparison") == 0)
    g_string_append_printf (text, "; it was sent to %s, whose runners were faster or had room",
                            data_centre);
  g_free (data_centre);
  g_free (reason);
}

/* Returns a sentence that explains the outcome, owned by the caller. */
static char *
explain_outcome (const GPtrArray *timeline)
{
  const Line *ended = find_last (timeline, "request_ended");
  if (ended == NULL)
    return g_strdup ("no end is logged: the instance was lost, or its line is not in these files");
  char *outcome = get_field (ended->text, "outcome");
  const char *meaning = "an outcome that this program does not know; the versions may differ";
  for (size_t i = 0; i < G_N_ELEMENTS (meanings); i++)
    if (g_strcmp0 (outcome, meanings[i].outcome) == 0)
      meaning = meanings[i].meaning;
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "%s: %s", outcome, meaning);
  g_free (outcome);
  guint64 first_ms = get_number (ended->text, "first_event_ms");
  guint64 target_ms = get_number (ended->text, "goal_ms");
  guint retry_after_ms = (guint) get_number (ended->text, "retry_after_ms");
  guint n_waits = count (timeline, "request_waits");
  guint n_pauses = count (timeline, "stream_paused");
  guint n_failed = count (timeline, "send_ended");
  guint n_moves = count (timeline, "request_moved");
  if (first_ms > target_ms && target_ms > 0)
    g_string_append_printf (text, "; its first event came after %u ms, its objective is %u ms",
                            (guint) first_ms, (guint) target_ms);
  append_zone_reason (timeline, text);
  if (n_pauses > 0)
    g_string_append_printf (text, "; its events paused too long %u times, %u ms at most", n_pauses,
                            (guint) get_number (ended->text, "longest_gap_ms"));
  if (n_waits > 0)
    g_string_append_printf (text, "; it waited for room %u times", n_waits);
  if (n_failed > 0)
    g_string_append_printf (text, "; %u sends did not bring its answer", n_failed);
  if (retry_after_ms > 0)
    g_string_append_printf (text, "; its caller was told to come back after %u ms", retry_after_ms);
  if (n_moves > 0)
    g_string_append_printf (text, "; it was moved off a stalled path %u times", n_moves);
  return g_string_free (text, FALSE);
}

/* Returns the lines of the request and their context, sorted by time. */
static GPtrArray *
select_timeline (const GPtrArray *lines)
{
  GPtrArray *timeline = g_ptr_array_new ();
  GHashTable *instances = g_hash_table_new (g_str_hash, g_str_equal);
  GString *request_text = g_string_new (NULL);
  double first_s = G_MAXDOUBLE;
  double last_s = 0;
  for (guint i = 0; i < lines->len; i++)
    {
      const Line *line = g_ptr_array_index (lines, i);
      if (!line->is_of_request)
        continue;
      g_hash_table_add (instances, line->instance);
      g_string_append_printf (request_text, "%s\n", line->text);
      first_s = MIN (first_s, line->time_s);
      last_s = MAX (last_s, line->time_s);
    }
  for (guint i = 0; i < lines->len; i++)
    {
      Line *line = g_ptr_array_index (lines, i);
      gboolean is_in_period = line->time_s >= first_s - CONTEXT_BEFORE_S && line->time_s <= last_s;
      if (line->is_of_request
          || (is_in_period && g_hash_table_contains (instances, line->instance)
              && is_context (line, request_text)))
        g_ptr_array_add (timeline, line);
    }
  g_ptr_array_sort (timeline, compare_time);
  g_string_free (request_text, TRUE);
  g_hash_table_unref (instances);
  return timeline;
}

/* Returns the fields that are not printed in separate columns. */
static const char *
get_fields (const Line *line)
{
  const char *p = strstr (line->text, line->event);
  p += strlen (line->event);
  return p + strspn (p, " ");
}

static void
print_text (const GPtrArray *timeline, const char *cause, GString *out)
{
  double first_s = 0;
  for (guint i = timeline->len; i-- > 0;)
    if (((const Line *) g_ptr_array_index (timeline, i))->is_of_request)
      first_s = ((const Line *) g_ptr_array_index (timeline, i))->time_s;
  for (guint i = 0; i < timeline->len; i++)
    {
      const Line *line = g_ptr_array_index (timeline, i);
      g_string_append_printf (out, "%c %+8.0f ms  %s  %s  %s\n", line->is_of_request ? '*' : ' ',
                              (line->time_s - first_s) * MS_PER_S, line->instance, line->event,
                              get_fields (line));
    }
  g_string_append_printf (out, "cause: %s\n", cause);
}

static void
print_json (const GPtrArray *timeline, const char *cause, GString *out)
{
  JsonBuilder *b = json_builder_new ();
  json_builder_begin_object (b);
  json_builder_set_member_name (b, "lines");
  json_builder_begin_array (b);
  for (guint i = 0; i < timeline->len; i++)
    {
      const Line *line = g_ptr_array_index (timeline, i);
      json_builder_begin_object (b);
      json_builder_set_member_name (b, "time_s");
      json_builder_add_double_value (b, line->time_s);
      gg_json_add_string (b, "instance", line->instance);
      gg_json_add_string (b, "event", line->event);
      gg_json_add_boolean (b, "is_of_request", line->is_of_request);
      gg_json_add_string (b, "fields", get_fields (line));
      json_builder_end_object (b);
    }
  json_builder_end_array (b);
  gg_json_add_string (b, "cause", cause);
  json_builder_end_object (b);
  char *text = gg_json_print (b);
  g_string_append_printf (out, "%s\n", text);
  g_free (text);
}

gboolean
gg_ctl_explain (
    const char *request, const char *const *files, gboolean json, GString *text_out, GError **error)
{
  GPtrArray *lines = g_ptr_array_new_with_free_func (free_line);
  gboolean is_done = FALSE;
  for (; *files != NULL; files++)
    if (!read_file (*files, request, lines, error))
      goto out;
  GPtrArray *timeline = select_timeline (lines);
  if (timeline->len > 0)
    {
      char *cause = explain_outcome (timeline);
      if (json)
        print_json (timeline, cause, text_out);
      else
        print_text (timeline, cause, text_out);
      g_free (cause);
      is_done = TRUE;
    }
  else
    g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_NOENT,
                 "no line names the request '%s'; give the logs of all instances (refusals before "
                 "authorization may have none: see refusals_left_out)",
                 request);
  g_ptr_array_unref (timeline);

out:
  g_ptr_array_unref (lines);
  return is_done;
}
