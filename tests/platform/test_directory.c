/* Guards the decoding of entries and configurations in the platform's store: an entry that
 * describes no usable runner and a configuration that is invalid must be rejected, so that they
 * change nothing in the router. */
#include "ports/directory.h"
#include "test_main.h"

#include <string.h>

#define ENTRY                                                                                      \
  "{\"service\":\"s1\",\"address\":\"10.0.0.1:80\",\"zone\":\"north\",\"version\":\"v1\","         \
  "\"slots\":192,\"state\":\"ready\",\"seq\":4,\"cold_left_ms\":0,\"born\":17,"                    \
  "\"kind\":\"l4\",\"layers\":{\"from_rev\":70,\"to\":80,\"version\":1}}"

#define CONFIG                                                                                     \
  "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"A.example\",\"path_prefix\":\"/x/\","    \
  "\"kind\":\"streaming\",\"timeout_ms\":20000,\"goal_ms\":500,\"priority\":1,"                    \
  "\"split\":[{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}],"             \
  "\"max_attempts\":2,\"anonymous\":false,\"stream_resume\":true,\"gap_target_ms\":200},"          \
  "{\"name\":\"r2\",\"host\":\"a.example\",\"path_prefix\":\"/y/\",\"kind\":\"idempotent\","       \
  "\"timeout_ms\":1000,\"service\":\"s2\"}],"                                                      \
  "\"services\":[{\"name\":\"s1\",\"health_path\":\"/health\",\"max_conns\":10,\"engine\":{"       \
  "\"slots\":192,\"kv_token_bytes\":918000,\"stride\":3,\"models\":[{\"name\":\"m\","              \
  "\"load_s\":14.0}],\"step_ms\":1.02,\"read_per_s\":105000.0,\"layers\":80,\"layer_mb\":1750.0,"  \
  "\"delays\":[{\"from_rev\":\"north\",\"to\":\"south\",\"delay_ms\":0.75}],"                      \
  "\"kinds\":[{\"name\":\"l4\",\"size_mb\":21600.0,\"pace\":16.0,\"read_factor\":8.2}]}},"         \
  "{\"name\":\"s2\",\"health_path\":\"/health\",\"max_conns\":10}],"                               \
  "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"                             \
  "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"                                         \
  "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":3}]}"

static GBytes *
bytes_of (const char *text)
{
  return g_bytes_new (text, strlen (text));
}

static gboolean
decode (const char *text, GgRunnerRecord *record)
{
  GError *error = NULL;
  GBytes *value = bytes_of (text);
  gboolean is_valid = gg_directory_decode_runner ("servers/i-1", value, record, &error);
  CU_ASSERT_EQUAL (is_valid, error == NULL);
  g_clear_error (&error);
  g_bytes_unref (value);
  return is_valid;
}

static void
test_runner (void)
{
  GgRunnerRecord r;
  CU_ASSERT_TRUE_FATAL (decode (ENTRY, &r));
  CU_ASSERT_STRING_EQUAL (r.id, "i-1");
  CU_ASSERT_STRING_EQUAL (r.data_centre, "north");
  CU_ASSERT_STRING_EQUAL (r.accelerator, "l4");
  CU_ASSERT_EQUAL (r.range.first_layer, 70);
  CU_ASSERT_EQUAL (r.range.end_layer, 80);
  CU_ASSERT_EQUAL (r.started_ms, 17);
  CU_ASSERT_FALSE (r.is_leaving);
  gg_runner_record_clear (&r);
}

static void
test_unusable_entries (void)
{
  const char *const broken[] = {
    "",
    "[]",
    "{}",
    "{\"service\":1,\"address\":\"10.0.0.1:80\",\"zone\":\"n\",\"slots\":1,\"state\":\"ready\"}",
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"n\",\"slots\":1,\"state\":"
    "\"other\"}",
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"n\",\"slots\":\"1\","
    "\"state\":\"ready\"}",
    "{\"service\":\"s\",\"address\":null,\"zone\":\"n\",\"slots\":1,\"state\":\"ready\"}",
    "\xff\xfe\x00",
  };
  for (guint i = 0; i < G_N_ELEMENTS (broken); i++)
    {
      GgRunnerRecord r;
      CU_ASSERT_FALSE (decode (broken[i], &r));
      gg_runner_record_clear (&r);
    }
}

/* Returns ENTRY with a text in place of a field's. */
static char *
make_entry (const char *field, const char *old, const char *text)
{
  char *old_pair = g_strdup_printf ("\"%s\":\"%s\"", field, old);
  char *new_pair = g_strdup_printf ("\"%s\":\"%s\"", field, text);
  GString *entry = g_string_new (ENTRY);
  CU_ASSERT_EQUAL (g_string_replace (entry, old_pair, new_pair, 1), 1);
  g_free (new_pair);
  g_free (old_pair);
  return g_string_free (entry, FALSE);
}

static gboolean
is_usable (const char *key, const char *field, const char *old, const char *text)
{
  char *entry = make_entry (field, old, text);
  GBytes *value = bytes_of (entry);
  GgRunnerRecord r;
  gboolean is_valid = gg_directory_decode_runner (key, value, &r, NULL);
  gg_runner_record_clear (&r);
  g_bytes_unref (value);
  g_free (entry);
  return is_valid;
}

/* Guards against entries that one instance can use and not pass to the others. */
static void
test_long_texts (void)
{
  const char *const texts[][2] = {
    { "service", "s1" },
    { "address", "10.0.0.1:80" },
    { "zone", "north" },
    { "kind", "l4" },
  };
  const guint sizes[] = { 257, 300, 100000 };
  char *longest = g_strnfill (GG_RUNNER_RECORD_MAX_TEXT_BYTES, 'x');
  CU_ASSERT_TRUE (is_usable ("servers/i-1", "service", "s1", longest));
  CU_ASSERT_TRUE (is_usable ("servers/i-1", "zone", "north", longest));
  CU_ASSERT_TRUE (is_usable ("servers/i-1", "kind", "l4", longest));
  g_free (longest);
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      char *text = g_strnfill (sizes[i], 'x');
      char *key = g_strconcat ("servers/", text, NULL);
      for (guint k = 0; k < G_N_ELEMENTS (texts); k++)
        CU_ASSERT_FALSE (is_usable ("servers/i-1", texts[k][0], texts[k][1], text));
      CU_ASSERT_FALSE (is_usable (key, "service", "s1", "s1"));
      g_free (key);
      g_free (text);
    }
}

/* Guards against entries that make the lists of one instance unreadable for the others. */
static void
test_empty_texts (void)
{
  CU_ASSERT_FALSE (is_usable ("servers/i-1", "service", "s1", ""));
  CU_ASSERT_FALSE (is_usable ("servers/i-1", "address", "10.0.0.1:80", ""));
  CU_ASSERT_FALSE (is_usable ("servers/i-1", "zone", "north", ""));
  CU_ASSERT_FALSE (is_usable ("servers/", "service", "s1", "s1"));
  char *entry = make_entry ("kind", "l4", "");
  GgRunnerRecord r;
  CU_ASSERT_TRUE_FATAL (decode (entry, &r));
  CU_ASSERT_PTR_NULL (r.accelerator);
  gg_runner_record_clear (&r);
  g_free (entry);
}

/* Guards against entries that keep a router from serving while they are parsed: a list of numbers
 * of 1 MiB took 240 ms. */
static void
test_large_entry (void)
{
  const guint sizes[] = { 60000, 70000, 1048576 };
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      GString *text = g_string_new ("{\"list\":[0");
      while (text->len + strlen (ENTRY) + 4 < sizes[i])
        g_string_append (text, ",0");
      g_string_append_printf (text, "],%s", &ENTRY[1]);
      GgRunnerRecord r;
      CU_ASSERT_EQUAL (decode (text->str, &r), sizes[i] == 60000);
      gg_runner_record_clear (&r);
      g_string_free (text, TRUE);
    }
}

/* Guards against runners to which no connection can be made, and against texts that would end a
 * header field or a log line. */
static void
test_unusable_texts (void)
{
  const char *const addresses[] = { "10.0.0.1",
                                    "10.0.0.1:",
                                    "10.0.0.1:0",
                                    "10.0.0.1:65536",
                                    "10.0.0.1:-1",
                                    "10.0.0.1:x",
                                    "10.0.0.1:80 ",
                                    ":80",
                                    "host:80",
                                    "300.0.0.1:80",
                                    "[::1]:80",
                                    "10.0.0.1:1e3",
                                    "10.0.0.1:+8",
                                    "10.0.0.1:80\\n",
                                    "10.0.0.1:80\\r\\nA: b",
                                    "http://a:80/",
                                    "10.0.0.1:0x50",
                                    "10.0.0.1:99999999999999999999" };
  const char *const texts[] = { "a\\nb", "\\r\\nA: b", "a\\u0001", "a\\u007f", "\\t" };
  for (guint i = 0; i < G_N_ELEMENTS (addresses); i++)
    CU_ASSERT_FALSE (is_usable ("servers/i-1", "address", "10.0.0.1:80", addresses[i]));
  CU_ASSERT_TRUE (is_usable ("servers/i-1", "address", "10.0.0.1:80", "10.0.0.1:1"));
  CU_ASSERT_TRUE (is_usable ("servers/i-1", "address", "10.0.0.1:80", "10.0.0.1:65535"));
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      CU_ASSERT_FALSE (is_usable ("servers/i-1", "service", "s1", texts[i]));
      CU_ASSERT_FALSE (is_usable ("servers/i-1", "zone", "north", texts[i]));
      CU_ASSERT_FALSE (is_usable ("servers/i-1", "kind", "l4", texts[i]));
    }
  CU_ASSERT_FALSE (is_usable ("servers/i\r\nA: b", "service", "s1", "s1"));
  CU_ASSERT_TRUE (is_usable ("servers/i-1", "service", "s1", "s\xc3\xa9 1"));
}

static void
test_config (void)
{
  GBytes *value = bytes_of (CONFIG);
  GError *error = NULL;
  GgRoutingConfig *c = gg_directory_decode_config (value, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  CU_ASSERT_EQUAL (gg_routing_config_get_version (c), 7);
  const GgCallerRoute *route = gg_routing_config_find_route (c, "a.example", "/x/1");
  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  CU_ASSERT_EQUAL (route->kind, GG_REQUEST_STREAMING);
  CU_ASSERT_TRUE (route->is_resumable);
  CU_ASSERT_EQUAL (route->n_shares, 2);
  const GgRoutedService *service = gg_routing_config_find_service (c, "s1");
  CU_ASSERT_PTR_NOT_NULL_FATAL (service->model);
  CU_ASSERT_EQUAL (service->model->n_layers, 80);
  CU_ASSERT_EQUAL (service->model->n_links, 1);
  CU_ASSERT_PTR_NOT_NULL (gg_engine_model_find_accelerator (service->model, "l4"));
  CU_ASSERT_PTR_NULL (gg_routing_config_find_service (c, "s2")->model);
  CU_ASSERT_EQUAL (gg_routing_config_find_team (c, "k2")->priority, 3);
  gg_routing_config_unref (c);
  g_bytes_unref (value);
}

/* Guards against an empty list of teams being read as none: the configuration that revokes the last
 * key would admit requests with any key. */
static void
test_requires_keys (void)
{
  static const char teams[] = "\"tenants\":";
  static const struct
  {
    const char *text;
    gboolean is_valid;
    gboolean requires_keys;
  } cases[] = {
    { "\"tenants\":[]}", TRUE, TRUE },
    { "\"tenants\":[{\"name\":\"t1\"}]}", TRUE, TRUE },
    { "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[]}]}", TRUE, TRUE },
    { "\"x\":[]}", TRUE, FALSE },
    { "\"tenants\":null}", FALSE, FALSE },
    { "\"tenants\":{}}", FALSE, FALSE },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GString *text = g_string_new (CONFIG);
      g_string_truncate (text, (gsize) (strstr (text->str, teams) - text->str));
      g_string_append (text, cases[i].text);
      GBytes *value = g_string_free_to_bytes (text);
      GgRoutingConfig *c = gg_directory_decode_config (value, NULL);
      CU_ASSERT_EQUAL (c != NULL, cases[i].is_valid);
      if (c != NULL)
        {
          CU_ASSERT_EQUAL (gg_routing_config_requires_keys (c), cases[i].requires_keys);
          CU_ASSERT_PTR_NULL (gg_routing_config_find_team (c, "k1"));
        }
      gg_routing_config_unref (c);
      g_bytes_unref (value);
    }
}

/* Operators may write a time limit or a share with a fraction; a configuration that is dropped for
 * that would leave the older one in force. */
static void
test_fractional_quantities (void)
{
  GString *text = g_string_new (CONFIG);
  g_string_replace (text, "\"timeout_ms\":1000", "\"timeout_ms\":1500.75", 0);
  g_string_replace (text, "\"weight\":10", "\"weight\":0.5", 0);
  g_string_replace (text, "\"idle_timeout_ms\":15000", "\"idle_timeout_ms\":15000.0", 0);
  GBytes *value = bytes_of (text->str);
  GgRoutingConfig *c = gg_directory_decode_config (value, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  CU_ASSERT_EQUAL (gg_routing_config_find_route (c, "a.example", "/y/1")->timeout_ms, 1500);
  CU_ASSERT_EQUAL (gg_routing_config_get_limits (c)->idle_timeout_ms, 15000);
  gg_routing_config_unref (c);
  g_bytes_unref (value);
  g_string_replace (text, "\"timeout_ms\":1500.75", "\"timeout_ms\":-1.5", 0);
  value = bytes_of (text->str);
  CU_ASSERT_PTR_NULL (gg_directory_decode_config (value, NULL));
  g_bytes_unref (value);
  g_string_free (text, TRUE);
}

static gboolean
is_config_usable (const char *old, const char *odd)
{
  GString *text = g_string_new (CONFIG);
  CU_ASSERT_EQUAL (g_string_replace (text, old, odd, 0), 1);
  GBytes *value = bytes_of (text->str);
  GgRoutingConfig *config = gg_directory_decode_config (value, NULL);
  gboolean is_valid = config != NULL;
  if (is_valid)
    gg_routing_config_unref (config);
  g_bytes_unref (value);
  g_string_free (text, TRUE);
  return is_valid;
}

/* Guards against a number of layers for which no memory can be reserved, and against a model
 * service that is taken for a plain one since the number can't be read. */
static void
test_numbers_of_models (void)
{
  CU_ASSERT_TRUE (is_config_usable ("\"layers\":80", "\"layers\":1024"));
  CU_ASSERT_FALSE (is_config_usable ("\"layers\":80", "\"layers\":1025"));
  CU_ASSERT_FALSE (is_config_usable ("\"layers\":80", "\"layers\":4294967295"));
  CU_ASSERT_FALSE (is_config_usable ("\"layers\":80", "\"layers\":4294967296"));
  CU_ASSERT_FALSE (is_config_usable ("\"layers\":80", "\"layers\":1e400"));
  CU_ASSERT_FALSE (is_config_usable ("\"layers\":80", "\"layers\":-1"));
  CU_ASSERT_FALSE (is_config_usable ("\"layers\":80", "\"layers\":\"80\""));
  CU_ASSERT_FALSE (is_config_usable ("\"layer_mb\":1750.0", "\"layer_mb\":1e400"));
  CU_ASSERT_FALSE (is_config_usable ("\"pace\":16.0", "\"pace\":1e400"));
  CU_ASSERT_FALSE (is_config_usable ("\"delay_ms\":0.75", "\"delay_ms\":-1e400"));
  CU_ASSERT_TRUE (is_config_usable ("\"layers\":80,", ""));
  CU_ASSERT_TRUE (is_config_usable ("\"layers\":80", "\"layers\":null"));
}

/* Random damage to a valid text: it is decoded or rejected, without a crash or a leak. */
static void
test_damaged_texts (void)
{
  for (guint32 seed = 1; seed <= 4000; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      gboolean is_config = g_rand_boolean (rand);
      GString *text = g_string_new (is_config ? CONFIG : ENTRY);
      for (int i = g_rand_int_range (rand, 1, 4); i > 0; i--)
        {
          gssize at = g_rand_int_range (rand, 0, (gint32) text->len);
          if (g_rand_boolean (rand))
            text->str[at] = (char) g_rand_int_range (rand, 0, 256);
          else
            g_string_erase (text, at, g_rand_int_range (rand, 0, (gint32) text->len - (gint32) at));
          if (text->len == 0)
            break;
        }
      GBytes *value = g_bytes_new (text->str, text->len);
      if (is_config)
        gg_routing_config_unref (gg_directory_decode_config (value, NULL));
      else
        {
          GgRunnerRecord r;
          gg_directory_decode_runner ("servers/i-1", value, &r, NULL);
          gg_runner_record_clear (&r);
        }
      g_bytes_unref (value);
      g_string_free (text, TRUE);
      g_rand_free (rand);
    }
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "runner", test_runner },
    { "unusable entries", test_unusable_entries },
    { "long texts", test_long_texts },
    { "empty texts", test_empty_texts },
    { "large entry", test_large_entry },
    { "unusable texts", test_unusable_texts },
    { "config", test_config },
    { "requires keys", test_requires_keys },
    { "fractional quantities", test_fractional_quantities },
    { "numbers of models", test_numbers_of_models },
    { "damaged texts", test_damaged_texts },
  };
  return gg_test_run ("directory", cases, G_N_ELEMENTS (cases));
}
