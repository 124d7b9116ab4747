/* Odd inputs for all decoders of what other processes write: each is decoded or rejected, without a
 * crash, a leak or a result that a later step can't handle. Every member of a valid text takes
 * every odd value in turn; after that, and for datagrams, seeded random changes. The first seed is
 * the argument. */
#include "adapters/rpc/limit_message.h"
#include "adapters/rpc/load_report.h"
#include "adapters/rpc/quarantine_report.h"
#include "adapters/rpc/watch_message.h"
#include "base/compress.h"
#include "loop/address.h"
#include "ports/directory.h"
#include "ports/relay_wire.h"
#include "test_main.h"

#include <math.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_RANDOM 4000
#define N_RANDOM_DATAGRAMS 20000
#define MAX_DOCUMENT_BYTES (16 * 1024 * 1024)
#define NOW_MS 100000

#define ENTRY                                                                                      \
  "{\"service\":\"s1\",\"address\":\"10.0.0.1:80\",\"zone\":\"north\",\"version\":\"v1\","         \
  "\"slots\":192,\"state\":\"ready\",\"seq\":4,\"cold_left_ms\":0,\"born\":17,"                    \
  "\"kind\":\"l4\",\"layers\":{\"from_rev\":70,\"to\":80,\"version\":1}}"

#define REPORT                                                                                     \
  "{\"busy\":true,\"seq\":2,\"layers\":{\"from_rev\":1,\"to\":9},\"born\":5,\"pace\":2.5,"         \
  "\"is_stalled\":[{\"id\":\"a1\",\"address\":\"10.0.0.7:80\"}]}"

#define CONFIG                                                                                     \
  "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"a.example\",\"path_prefix\":\"/x/\","    \
  "\"kind\":\"streaming\",\"timeout_ms\":20000,\"goal_ms\":500,\"priority\":1,"                    \
  "\"split\":[{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}],"             \
  "\"max_attempts\":2,\"anonymous\":false,\"stream_resume\":true,\"gap_target_ms\":200},"          \
  "{\"name\":\"r2\",\"host\":\"a.example\",\"path_prefix\":\"/y/\",\"kind\":\"idempotent\","       \
  "\"timeout_ms\":1000,\"service\":\"s2\"}],"                                                      \
  "\"services\":[{\"name\":\"s1\",\"health_path\":\"/health\",\"max_conns\":10,\"engine\":{"       \
  "\"slots\":192,\"kv_token_bytes\":918000,\"stride\":3,\"models\":[{\"name\":\"m\","              \
  "\"load_s\":14.0}],\"step_ms\":1.02,\"per_seq_ms\":0.1,\"context_per_k\":0.01,"                  \
  "\"read_per_s\":105000.0,\"layers\":80,\"layer_mb\":1750.0,\"loads_at_once\":2,"                 \
  "\"act_bytes\":16384,\"pipe_mbps\":1000.0,\"usual\":{\"prompt\":1000,\"answer\":100},"           \
  "\"delays\":[{\"from_rev\":\"north\",\"to\":\"south\",\"delay_ms\":0.75}],"                      \
  "\"kinds\":[{\"name\":\"l4\",\"size_mb\":21600.0,\"pace\":16.0,\"read_factor\":8.2}]}},"         \
  "{\"name\":\"s2\",\"health_path\":\"/health\",\"max_conns\":10}],"                               \
  "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"                             \
  "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"                                         \
  "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":3}]}"

typedef void (*DecodeFunc) (const char *text, size_t size_bytes);

static guint32 first_seed = 1;
static guint n_decoded;
static guint n_accepted;
static GPtrArray *odd_values; /* GString */

static void
add_value (const char *text, size_t size_bytes)
{
  g_ptr_array_add (odd_values, g_string_new_len (text, (gssize) size_bytes));
}

static void
add_repeated (const char *head, const char *unit, guint n, const char *tail)
{
  GString *text = g_string_new (head);
  for (guint i = 0; i < n; i++)
    g_string_append (text, unit);
  g_string_append (text, tail);
  g_ptr_array_add (odd_values, text);
}

static void
create_values (void)
{
  static const char *const texts[] = {
    "0",
    "-0",
    "1",
    "-1",
    "0.5",
    "-0.5",
    "16.5",
    "65536",
    "4294967295",
    "4294967296",
    "9007199254740993",
    "9223372036854775807",
    "9223372036854775808",
    "-9223372036854775808",
    "-9223372036854775809",
    "18446744073709551615",
    "-18446744073709551615",
    "18446744073709551616",
    "1e19",
    "1e400",
    "-1e400",
    "1e-400",
    "99999999999999999999999999999999999999999999999999",
    "0x10",
    "010",
    "null",
    "true",
    "false",
    "[]",
    "{}",
    "[null]",
    "[{}]",
    "[[[]]]",
    "nonsense",
    "",
    "\"\"",
    "\" \"",
    "\"0\"",
    "\"ready\"",
    "\"draining\"",
    "\"10.0.0.1:0\"",
    "\"10.0.0.1:65536\"",
    "\"10.0.0.1:-1\"",
    "\"10.0.0.1:port\"",
    "\"10.0.0.1\"",
    "\"\\u0000\"",
    "\"a\\u0000b\"",
    "\"\\ud800\"",
    "\"\\r\\nX-Odd: 1\"",
    "\"\xff\xfe\"",
    "\"\xc0\x80\"",
  };
  odd_values = g_ptr_array_new ();
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    add_value (texts[i], strlen (texts[i]));
  add_value ("\"a\0b\"", 5);
  add_value ("\0", 1);
  add_repeated ("\"", "x", GG_RUNNER_RECORD_MAX_TEXT_BYTES, "\"");
  add_repeated ("\"", "x", GG_RUNNER_RECORD_MAX_TEXT_BYTES + 1, "\"");
  add_repeated ("\"", "x", 100000, "\"");
  add_repeated ("", "[", 200000, "");
  add_repeated ("", "{\"a\":", 60000, "");
  add_repeated ("[", "0,", 5000, "0]");
}

static void
free_values (void)
{
  for (guint i = 0; i < odd_values->len; i++)
    g_string_free (g_ptr_array_index (odd_values, i), TRUE);
  g_ptr_array_unref (odd_values);
}

/* Returns the end of a string, number, word, list or object at @p at; the end of the text if what
 * was put into it before is not balanced. */
static size_t
find_value_end (const char *text, size_t at)
{
  guint depth = 0;
  gboolean is_string = FALSE;
  for (; text[at] != '\0'; at++)
    {
      char c = text[at];
      if (c == '"')
        is_string = !is_string;
      if (is_string)
        continue;
      if (depth == 0 && (c == ',' || c == '}' || c == ']'))
        return at;
      depth += c == '{' || c == '[' ? 1 : 0;
      depth -= c == '}' || c == ']' ? 1 : 0;
    }
  return at;
}

/* Returns the positions of the values of all members. */
static GArray *
find_values (const char *text)
{
  GArray *positions = g_array_new (FALSE, FALSE, sizeof (size_t));
  for (const char *p = text; (p = strstr (p, "\":")) != NULL; p += 2)
    {
      size_t at = (size_t) (p + 2 - text);
      g_array_append_val (positions, at);
    }
  return positions;
}

static void
decode_counted (DecodeFunc decode, const GString *text)
{
  n_decoded++;
  decode (text->str, text->len);
}

/* Replaces the value at @p at. */
static void
replace_value (GString *text, size_t at, const GString *value)
{
  size_t end = find_value_end (text->str, at);
  g_string_erase (text, (gssize) at, (gssize) (end - at));
  g_string_insert_len (text, (gssize) at, value->str, (gssize) value->len);
}

/* Returns where the member with the value at @p at begins, with its name. */
static size_t
find_member_start (const char *text, size_t at)
{
  for (at -= 2; text[at - 1] != '"'; at--)
    ;
  return at - 1;
}

/* Leaves the member out, with the comma after it, and adds it twice. */
static void
decode_missing_and_double (DecodeFunc decode, const char *valid, size_t at)
{
  size_t start = find_member_start (valid, at);
  size_t end = find_value_end (valid, at);
  GString *text = g_string_new (valid);
  g_string_insert_c (text, (gssize) end, ',');
  g_string_insert_len (text, (gssize) end + 1, valid + start, (gssize) (end - start));
  decode_counted (decode, text);
  g_string_assign (text, valid);
  g_string_erase (text, (gssize) start, (gssize) (end + (valid[end] == ',' ? 1 : 0) - start));
  decode_counted (decode, text);
  g_string_free (text, TRUE);
}

static void
decode_each (DecodeFunc decode, const char *valid)
{
  GArray *positions = find_values (valid);
  for (guint i = 0; i < positions->len; i++)
    {
      size_t at = g_array_index (positions, size_t, i);
      decode_missing_and_double (decode, valid, at);
      for (guint k = 0; k < odd_values->len; k++)
        {
          GString *text = g_string_new (valid);
          replace_value (text, at, g_ptr_array_index (odd_values, k));
          decode_counted (decode, text);
          g_string_free (text, TRUE);
        }
    }
  for (guint k = 0; k < odd_values->len; k++)
    decode_counted (decode, g_ptr_array_index (odd_values, k));
  g_array_unref (positions);
}

/* Replaces up to four values, those with the highest positions first, and damages some bytes. */
static GString *
make_random_text (GRand *rand, const char *valid, const GArray *positions)
{
  GString *text = g_string_new (valid);
  guint last = positions->len;
  for (int i = g_rand_int_range (rand, 0, 5); i > 0 && last > 0; i--)
    {
      last = (guint) g_rand_int_range (rand, 0, (gint32) last);
      replace_value (text, g_array_index (positions, size_t, last),
                     g_ptr_array_index (
                         odd_values, (guint) g_rand_int_range (rand, 0, (gint32) odd_values->len)));
    }
  for (int i = g_rand_int_range (rand, 0, 3); i > 0; i--)
    text->str[g_rand_int_range (rand, 0, (gint32) text->len)]
        = (char) g_rand_int_range (rand, 0, 256);
  if (g_rand_int_range (rand, 0, 4) == 0)
    g_string_truncate (text, (gsize) g_rand_int_range (rand, 0, (gint32) text->len));
  return text;
}

static void
decode_random (DecodeFunc decode, const char *valid)
{
  GArray *positions = find_values (valid);
  for (guint32 seed = first_seed; seed < first_seed + N_RANDOM; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      GString *text = make_random_text (rand, valid, positions);
      guint n_failures = CU_get_number_of_failures ();
      decode_counted (decode, text);
      if (CU_get_number_of_failures () > n_failures)
        printf ("failed with seed %u\n", seed);
      g_string_free (text, TRUE);
      g_rand_free (rand);
    }
  g_array_unref (positions);
}

static void
run (DecodeFunc decode, const char *valid)
{
  n_decoded = 0;
  n_accepted = 0;
  decode (valid, strlen (valid));
  CU_ASSERT_EQUAL (n_accepted, 1);
  decode_each (decode, valid);
  decode_random (decode, valid);
  printf ("seeds from %u: %u texts, %u accepted ", first_seed, n_decoded, n_accepted);
}

/* Returns whether another instance gets the record as it is. */
static gboolean
is_passed_on (const GgRunnerRecord *record)
{
  GgWatchMessage sent;
  GgWatchMessage got;
  GgRunnerChange change = { .revision = 1 };
  gg_watch_message_init (&sent, GG_WATCH_MESSAGE_LIST);
  gg_runner_record_copy (&change.record, record);
  g_array_append_val (sent.report.changes, change);
  GByteArray *document = gg_watch_message_encode_document (&sent);
  gg_watch_message_clear (&sent);
  if (document == NULL)
    return FALSE;
  gboolean is_same = gg_watch_message_decode ((char *) document->data, document->len, &got);
  if (is_same)
    {
      const GgRunnerRecord *r = &g_array_index (got.report.changes, GgRunnerChange, 0).record;
      is_same = strcmp (r->id, record->id) == 0 && strcmp (r->service, record->service) == 0
                && strcmp (r->address, record->address) == 0
                && strcmp (r->data_centre, record->data_centre) == 0
                && g_strcmp0 (r->accelerator, record->accelerator) == 0 && r->slots == record->slots
                && r->started_ms == record->started_ms;
      gg_watch_message_clear (&got);
    }
  g_byte_array_unref (document);
  return is_same;
}

static void
decode_runner (const char *text, size_t size_bytes)
{
  GBytes *value = g_bytes_new (text, size_bytes);
  GgRunnerRecord record;
  GError *error = NULL;
  if (gg_directory_decode_runner ("servers/i-1", value, &record, &error))
    {
      struct sockaddr_in address;
      n_accepted++;
      CU_ASSERT_TRUE (gg_address_resolve (record.address, &address, NULL));
      CU_ASSERT_NOT_EQUAL (address.sin_port, 0);
      CU_ASSERT_TRUE (record.range.end_layer > record.range.first_layer
                      || record.range.end_layer == 0);
      CU_ASSERT_TRUE (is_passed_on (&record));
    }
  else
    CU_ASSERT_PTR_NOT_NULL (error);
  g_clear_error (&error);
  gg_runner_record_clear (&record);
  g_bytes_unref (value);
}

/* Guards against an entry that ends a router or that its peers can't read. */
static void
test_runner (void)
{
  run (decode_runner, ENTRY);
}

static void
decode_report (const char *text, size_t size_bytes)
{
  GgRunnerReport report;
  if (gg_relay_wire_read_report (text, size_bytes, &report))
    {
      n_accepted++;
      CU_ASSERT_TRUE (isfinite (report.slowdown));
      CU_ASSERT_TRUE (report.range.end_layer > report.range.first_layer
                      || report.range.end_layer == 0);
    }
  gg_runner_report_clear (&report);
}

static void
test_report (void)
{
  run (decode_report, REPORT);
}

static gboolean
is_finite_model (const GgEngineModel *model)
{
  gboolean is_finite
      = isfinite (model->layer_mb) && isfinite (model->token_bytes) && isfinite (model->step_ms)
        && isfinite (model->request_ms) && isfinite (model->context_ms_per_1000)
        && isfinite (model->prefill_tokens_per_s) && isfinite (model->load_s)
        && isfinite (model->activation_bytes) && isfinite (model->data_centre_link_mbps);
  for (guint i = 0; i < model->n_accelerators; i++)
    is_finite = is_finite && isfinite (model->accelerators[i].memory_mb)
                && isfinite (model->accelerators[i].step_factor)
                && isfinite (model->accelerators[i].prefill_factor);
  for (guint i = 0; i < model->n_links; i++)
    is_finite = is_finite && isfinite (model->links[i].delay_ms);
  return is_finite;
}

static void
check_config (GBytes *value)
{
  GError *error = NULL;
  GgRoutingConfig *config = gg_directory_decode_config (value, &error);
  if (config != NULL)
    {
      const GgRoutedService *service = gg_routing_config_find_service (config, "s1");
      n_accepted++;
      gg_routing_config_find_route (config, "a.example", "/x/1");
      gg_routing_config_find_team (config, "k1");
      if (service != NULL && service->model != NULL)
        {
          CU_ASSERT_TRUE (is_finite_model (service->model));
          CU_ASSERT_TRUE (service->model->n_layers <= GG_ENGINE_MODEL_MAX_LAYERS);
        }
      gg_routing_config_unref (config);
    }
  else
    CU_ASSERT_PTR_NOT_NULL (error);
  g_clear_error (&error);
}

static void
decode_config (const char *text, size_t size_bytes)
{
  GBytes *value = g_bytes_new (text, size_bytes);
  check_config (value);
  g_bytes_unref (value);
}

/* Guards against a configuration that ends a router, as a number of layers for which no memory can
 * be reserved, or that brings infinite times into the choice of paths. */
static void
test_config (void)
{
  run (decode_config, CONFIG);
}

/* The configuration as a peer hands it out, with damaged bytes. */
static void
test_config_document (void)
{
  GByteArray *valid = gg_compress (CONFIG, strlen (CONFIG));
  n_accepted = 0;
  for (guint32 seed = first_seed; seed < first_seed + N_RANDOM; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      guint8 *bytes = g_memdup2 (valid->data, valid->len);
      for (int i = g_rand_int_range (rand, 0, 3); i > 0; i--)
        bytes[g_rand_int_range (rand, 0, (gint32) valid->len)]
            = (guint8) g_rand_int_range (rand, 0, 256);
      GByteArray *text = gg_decompress (bytes, valid->len, MAX_DOCUMENT_BYTES, NULL);
      if (text != NULL)
        {
          GBytes *value = g_byte_array_free_to_bytes (text);
          check_config (value);
          g_bytes_unref (value);
        }
      g_free (bytes);
      g_rand_free (rand);
    }
  printf ("seeds from %u: %d documents, %u accepted ", first_seed, N_RANDOM, n_accepted);
  CU_ASSERT_TRUE (n_accepted > 0);
  g_byte_array_unref (valid);
}

static gboolean
decode_watch (char *bytes, size_t size_bytes)
{
  GgWatchMessage message;
  if (!gg_watch_message_decode (bytes, size_bytes, &message))
    return FALSE;
  if (message.kind == GG_WATCH_MESSAGE_REPORT || message.kind == GG_WATCH_MESSAGE_LIST)
    for (guint i = 0; i < message.report.changes->len; i++)
      {
        const GgRunnerChange *change = &g_array_index (message.report.changes, GgRunnerChange, i);
        CU_ASSERT_PTR_NOT_NULL (change->record.id);
        CU_ASSERT_TRUE (change->is_removed || change->record.address != NULL);
      }
  gg_watch_message_clear (&message);
  return TRUE;
}

static gboolean
decode_load (char *bytes, size_t size_bytes)
{
  GgLoadReport report;
  gboolean is_valid = gg_load_report_decode (bytes, size_bytes, &report);
  CU_ASSERT_TRUE (!is_valid || report.entries->len <= GG_LOAD_REPORT_MAX_ENTRIES);
  gg_load_report_clear (&report);
  return is_valid;
}

static gboolean
decode_limit (char *bytes, size_t size_bytes)
{
  GgLimitMessage message;
  if (!gg_limit_message_decode (bytes, size_bytes, NOW_MS, &message))
    return FALSE;
  CU_ASSERT_TRUE (message.entries->len <= GG_LIMIT_MESSAGE_MAX_ENTRIES);
  CU_ASSERT_TRUE (message.views->len <= GG_LIMIT_MESSAGE_MAX_VIEWS);
  char copy[GG_LIMIT_MESSAGE_MAX_BYTES];
  CU_ASSERT_TRUE (gg_limit_message_encode (&message, NOW_MS, copy, sizeof copy) > 0);
  gg_limit_message_clear (&message);
  return TRUE;
}

static gboolean
decode_quarantine (char *bytes, size_t size_bytes)
{
  GArray *suspects = g_array_new (FALSE, FALSE, sizeof (GgSuspect));
  GgSuspectKind kind = GG_SUSPECT_PART;
  gboolean is_valid = gg_quarantine_report_decode (bytes, size_bytes, NOW_MS, &kind, suspects);
  CU_ASSERT_TRUE (kind == GG_SUSPECT_PART || kind == GG_SUSPECT_REQUEST);
  for (guint i = 0; i < suspects->len; i++)
    CU_ASSERT_TRUE (g_array_index (suspects, GgSuspect, i).n_crashes <= GG_QUARANTINE_MAX_CRASHES);
  g_array_unref (suspects);
  return is_valid;
}

typedef gboolean (*DatagramFunc) (char *bytes, size_t size_bytes);

/* Each word takes each odd value, and each length is tried; then random changes. */
static void
run_datagram (DatagramFunc decode, const char *valid, size_t n)
{
  static const uint32_t words[]
      = { 0,   1,     2,     40,         46,         64,         65,         128,       256,
          257, 20000, 20001, 0x7fffffff, 0x80000000, 0xfffffffc, 0xfffffffd, 0xffffffff };
  char bytes[GG_WATCH_MESSAGE_MAX_BYTES];
  guint n_valid = 0;
  memcpy (bytes, valid, n);
  CU_ASSERT_TRUE (decode (bytes, n));
  for (size_t short_n = 0; short_n < n; short_n++)
    n_valid += decode (bytes, short_n);
  for (size_t at = 0; at + 4 <= n; at += 4)
    for (guint i = 0; i < G_N_ELEMENTS (words); i++)
      {
        uint32_t word_be = GUINT32_TO_BE (words[i]);
        memcpy (bytes, valid, n);
        memcpy (bytes + at, &word_be, sizeof word_be);
        n_valid += decode (bytes, n);
      }
  for (guint32 seed = first_seed; seed < first_seed + N_RANDOM_DATAGRAMS; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      memcpy (bytes, valid, n);
      for (int i = g_rand_int_range (rand, 1, 5); i > 0; i--)
        bytes[g_rand_int_range (rand, 0, (gint32) n)] = (char) g_rand_int_range (rand, 0, 256);
      n_valid += decode (bytes, (size_t) g_rand_int_range (rand, 0, (gint32) n + 1));
      g_rand_free (rand);
    }
  printf ("seeds from %u: %u accepted ", first_seed, n_valid);
}

static void
add_change (GgWatchMessage *message, uint64_t revision, gboolean is_removed)
{
  GgRunnerChange change = { .revision = revision, .is_removed = is_removed };
  change.record.id = g_strdup ("i-1");
  if (!is_removed)
    {
      change.record.address = g_strdup ("10.1.2.3:8080");
      change.record.service = g_strdup ("reader");
      change.record.data_centre = g_strdup ("karongi");
      change.record.accelerator = g_strdup ("l4");
      change.record.range = (GgLayerRange){ 20, 60 };
    }
  g_array_append_val (message->report.changes, change);
}

static void
run_watch (GgWatchMessage *message)
{
  char bytes[GG_WATCH_MESSAGE_MAX_BYTES];
  size_t n = gg_watch_message_encode (message, bytes, sizeof bytes);
  CU_ASSERT_TRUE_FATAL (n > 0);
  run_datagram (decode_watch, bytes, n);
  gg_watch_message_clear (message);
}

/* Guards against a datagram or a list of a peer that ends the receiver. */
static void
test_watch_messages (void)
{
  static const GgWatchMessageKind kinds[] = { GG_WATCH_MESSAGE_REPORT, GG_WATCH_MESSAGE_LIST };
  GgWatchMessage message;
  for (guint i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      gg_watch_message_init (&message, kinds[i]);
      message.report.sender = g_strdup ("10.0.0.9:7000");
      add_change (&message, 3, FALSE);
      add_change (&message, 4, TRUE);
      run_watch (&message);
    }
  gg_watch_message_init (&message, GG_WATCH_MESSAGE_REQUEST);
  message.request = (GgWatchRequest){ 3, g_strdup ("10.0.0.9:7000"), 99, g_strdup ("karongi"), 12 };
  run_watch (&message);
  gg_watch_message_init (&message, GG_WATCH_MESSAGE_ROSTER);
  g_ptr_array_add (message.roster.peers, gg_peer_create ("a", "10.0.0.9:7000", "karongi", 5));
  g_ptr_array_add (message.roster.peers, gg_peer_create ("b", "10.0.0.8:7000", "kibuye", 6));
  run_watch (&message);
}

static void
test_other_messages (void)
{
  char bytes[GG_LOAD_REPORT_MAX_BYTES] = { 0 };
  GgLoadReport report;
  gg_load_report_init (&report);
  report.instance = strdup ("10.0.0.9:7000");
  report.data_centre = strdup ("karongi");
  g_array_set_size (report.entries, 3);
  size_t n = gg_load_report_encode (&report, bytes, sizeof bytes);
  run_datagram (decode_load, bytes, n);
  gg_load_report_clear (&report);

  GgLimitMessage message;
  gg_limit_message_init (&message, GG_LIMIT_MESSAGE_REQUEST, "10.0.0.9:7000");
  g_array_set_size (message.entries, 3);
  n = gg_limit_message_encode (&message, NOW_MS, bytes, sizeof bytes);
  run_datagram (decode_limit, bytes, n);
  GgLimitView view = { .data_centre_hash = 7, .term = 12, .address = (char *) "10.0.0.8:7000" };
  gg_limit_message_add_view (&message, &view);
  gg_limit_message_add_view (&message, &view);
  n = gg_limit_message_encode (&message, NOW_MS, bytes, sizeof bytes);
  run_datagram (decode_limit, bytes, n);
  gg_limit_message_clear (&message);

  GArray *suspects = g_array_new (FALSE, TRUE, sizeof (GgSuspect));
  g_array_set_size (suspects, 2);
  g_array_index (suspects, GgSuspect, 0).n_crashes = 2;
  for (GgSuspectKind kind = GG_SUSPECT_PART; kind <= GG_SUSPECT_REQUEST; kind++)
    {
      n = gg_quarantine_report_encode (kind, suspects, NOW_MS, bytes, sizeof bytes);
      run_datagram (decode_quarantine, bytes, n);
    }
  g_array_unref (suspects);
}

int
main (int argc, char **argv)
{
  static const GgTestCase cases[] = {
    { "runner", test_runner },
    { "report", test_report },
    { "config", test_config },
    { "config document", test_config_document },
    { "watch messages", test_watch_messages },
    { "other messages", test_other_messages },
  };
  if (argc > 1)
    first_seed = (guint32) strtoul (argv[1], NULL, 10);
  create_values ();
  int status = gg_test_run ("odd inputs", cases, G_N_ELEMENTS (cases));
  free_values ();
  return status;
}
