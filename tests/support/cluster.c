#include "cluster.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>

#define START_TIMEOUT_MS 5000
#define READY_TIMEOUT_MS 15000
#define PUBLISH_TIMEOUT_MS 10000
#define DEFAULT_STEP_US 1000
#define DEFAULT_SLOTS 8
#define N_DATA_CENTRES 2
#define FOLDERS_MAX 16
#define TEAM_REQUESTS_PER_S 1000
#define BEARER_PREFIX "Bearer "

/* Folders of existing clusters; read by another thread after an interrupt. */
static char *folders[FOLDERS_MAX];

static const char *const data_centres[N_DATA_CENTRES] = { "rubavu", "karongi" };

/* Shorter than the defaults of the daemons, so that faults take effect quickly. */
static const char *const test_entry_settings[] = {
  "control", "poll_ms",       "50",   "drain",  "balancer_settle_ms", "300",
  "streams", "grace_ms",      "2000", "ledger", "write_timeout_ms",   "500",
  "ledger",  "owner_lost_ms", "1500", NULL,
};

static const char *const test_control_settings[] = {
  "platform", "list_poll_ms",   "100", "platform", "watch_ms",    "2000",
  "platform", "backoff_max_ms", "300", "peers",    "exchange_ms", "100",
  "loads",    "poll_ms",        "50",  "members",  "hold_ms",     "2000",
  "account",  "save_ms",        "200", NULL,
};

static const char reader_declaration[] = "[service reader]\n"
                                         "kind = model\n"
                                         "layers = 12\n"
                                         "version = 1\n"
                                         "first_token_timeout_ms = 1000\n"
                                         "token_timeout_ms = 300\n";

static const char moorings_declaration[] = "[service moorings]\n"
                                           "kind = plain\n"
                                           "timeout_ms = 1000\n"
                                           "idempotent_calls = GET /catalogue;GET /berths\n";

static const char team_declaration[] = "[team %s]\n"
                                       "key_sha256 = %s\n"
                                       "weight = 1\n"
                                       "services = %s\n"
                                       "requests_per_s = %u\n"
                                       "max_body_bytes = 65536\n\n";

static void
write_file (const char *path, const char *text)
{
  char *folder = g_path_get_dirname (path);
  g_mkdir_with_parents (folder, 0700);
  g_free (folder);
  GError *error = NULL;
  if (!g_file_set_contents (path, text, -1, &error))
    g_error ("%s", error->message);
}

static void
remove_tree (const char *path)
{
  GDir *folder = g_file_test (path, G_FILE_TEST_IS_SYMLINK) ? NULL : g_dir_open (path, 0, NULL);
  const char *name = NULL;
  while (folder && (name = g_dir_read_name (folder)))
    {
      char *child = g_build_filename (path, name, NULL);
      remove_tree (child);
      g_free (child);
    }
  g_clear_pointer (&folder, g_dir_close);
  g_remove (path);
}

/* Replaces the entry @p old in the table of folders; NULL is a free entry. */
static void
set_folder (const char *old, char *replacement)
{
  for (size_t i = 0; i < FOLDERS_MAX; i++)
    if (folders[i] == old)
      {
        folders[i] = replacement;
        return;
      }
}

void
gg_cluster_remove_folders (void)
{
  for (size_t i = 0; i < FOLDERS_MAX; i++)
    if (folders[i])
      remove_tree (folders[i]);
}

static gboolean
start_program (GgProcess **process, const char *program, const char *const *args, char **address)
{
  *process = gg_process_start (program, args);
  const char *listening = gg_process_wait_listening (*process, START_TIMEOUT_MS);
  *address = g_strdup (listening);
  return listening != NULL;
}

static gboolean
start_relay (GgClusterRunner *runner, const GgClusterOptions *options)
{
  gboolean is_remote = strcmp (runner->data_centre, data_centres[0]) != 0;
  char *delay = g_strdup_printf ("%u", is_remote ? options->remote_delay_us : 0);
  const char *args[]
      = { "--listen", "127.0.0.1:0", "--to", runner->address, "--delay-us", delay, NULL };
  g_free (runner->listed_address);
  gboolean started = start_program (&runner->relay, "gg-fake-relay", args, &runner->listed_address);
  g_free (delay);
  return started;
}

static uint32_t
get_engines_per_range (const GgClusterOptions *options)
{
  return options->engines_per_range ? options->engines_per_range : GG_CLUSTER_ENGINES_PER_RANGE;
}

static void
prepare_engine (GgClusterRunner *runner, uint32_t number, const GgClusterOptions *options)
{
  uint32_t layers = GG_CLUSTER_LAYERS / GG_CLUSTER_RANGES;
  uint32_t per_range = get_engines_per_range (options);
  runner->service = "reader";
  runner->first_layer = number / per_range * layers;
  runner->end_layer = runner->first_layer + layers;
  runner->id
      = g_strdup_printf ("reader-%u%c", number / per_range, 'a' + (int) (number % per_range));
}

static const char *
get_listen_address (const GgClusterRunner *runner)
{
  return runner->address ? runner->address : "127.0.0.1:0";
}

static uint32_t
get_engine_index (const GgClusterRunner *runner)
{
  return (uint32_t) (runner->id[strlen (runner->id) - 1] - 'a');
}

static uint32_t
get_step_us (const GgClusterRunner *runner, const GgClusterOptions *options)
{
  if (options->steps_us)
    return options->steps_us[get_engine_index (runner)];
  return options->step_us ? options->step_us : DEFAULT_STEP_US;
}

static gboolean
start_engine (GgClusterRunner *runner, const GgClusterOptions *options)
{
  char *range = g_strdup_printf ("%u-%u", runner->first_layer, runner->end_layer);
  char *step = g_strdup_printf ("%u", get_step_us (runner, options));
  char *slots = g_strdup_printf ("%u", options->slots ? options->slots : DEFAULT_SLOTS);
  char *lag = g_strdup_printf ("%u", options->load_lag_ms);
  char *address = g_strdup (get_listen_address (runner));
  /* The second engine of each range checks fencing tokens; the others ignore them. */
  gboolean checks_fencing = get_engine_index (runner) == 1;
  const char *args[] = { "--listen",
                         address,
                         "--id",
                         runner->id,
                         "--model",
                         "reader",
                         "--version",
                         "1",
                         "--layers",
                         range,
                         "--of",
                         G_STRINGIFY (GG_CLUSTER_LAYERS),
                         "--step-us",
                         step,
                         "--slots",
                         slots,
                         "--load-lag-ms",
                         lag,
                         "--records",
                         options->without_records ? "0" : "1",
                         "--checks-fencing",
                         checks_fencing ? "1" : "0",
                         NULL };
  g_free (runner->address);
  gboolean started = start_program (&runner->process, "gg-fake-engine", args, &runner->address);
  g_free (address);
  g_free (range);
  g_free (step);
  g_free (slots);
  g_free (lag);
  return started;
}

static void
prepare_service (GgClusterRunner *runner, uint32_t number)
{
  runner->service = "moorings";
  runner->id = g_strdup_printf ("moorings-%u", number);
}

static gboolean
start_service (GgClusterRunner *runner)
{
  char *address = g_strdup (get_listen_address (runner));
  const char *args[] = { "--listen", address, "--id", runner->id, NULL };
  g_free (runner->address);
  gboolean started = start_program (&runner->process, "gg-fake-service", args, &runner->address);
  g_free (address);
  return started;
}

static gboolean
start_runner (const GgCluster *self, GgClusterRunner *runner)
{
  return runner->end_layer > 0 ? start_engine (runner, &self->options) : start_service (runner);
}

gboolean
gg_cluster_start_runner (GgCluster *self, uint32_t number)
{
  GgClusterRunner *runner = &self->runners[number];
  char *output = gg_cluster_read_output (self, number);
  g_free (runner->past_output);
  runner->past_output = output;
  gg_process_destroy (runner->process);
  return start_runner (self, runner);
}

static gboolean
start_runners (GgCluster *self, const GgClusterOptions *options)
{
  self->n_engines = get_engines_per_range (options) * GG_CLUSTER_RANGES;
  self->n_runners = self->n_engines + GG_CLUSTER_SERVICES;
  g_assert (self->n_runners <= GG_CLUSTER_RUNNERS_MAX);
  for (uint32_t i = 0; i < self->n_runners; i++)
    {
      GgClusterRunner *runner = &self->runners[i];
      runner->data_centre = data_centres[i % N_DATA_CENTRES];
      runner->incarnation = 1;
      if (i < self->n_engines)
        prepare_engine (runner, i, options);
      else
        prepare_service (runner, i - self->n_engines);
      if (!start_runner (self, runner))
        return FALSE;
      runner->listed_address = g_strdup (runner->address);
      if (options->with_relays && !start_relay (runner, options))
        return FALSE;
    }
  return TRUE;
}

static void
set_all (GKeyFile *file, const char *const *triples)
{
  for (size_t i = 0; triples && triples[i]; i += 3)
    g_key_file_set_string (file, triples[i], triples[i + 1], triples[i + 2]);
}

static char *
write_settings (GgCluster *self, GKeyFile *file, const char *instance, const char *program)
{
  char *name = g_strdup_printf ("%s-%s.ini", instance, program);
  char *path = g_build_filename (self->folder, name, NULL);
  char *text = g_key_file_to_data (file, NULL, NULL);
  write_file (path, text);
  g_free (text);
  g_free (name);
  g_key_file_unref (file);
  return path;
}

static GKeyFile *
create_settings (const GgCluster *self,
                 const GgClusterInstance *instance,
                 const char *const *defaults)
{
  GKeyFile *file = g_key_file_new ();
  g_key_file_set_string (file, "instance", "name", instance->name);
  g_key_file_set_string (file, "instance", "data_centre", instance->data_centre);
  g_key_file_set_string (file, "platform", "kv", self->kv);
  set_all (file, defaults);
  return file;
}

static void
prepare_instance (GgCluster *self, uint32_t number, const GgClusterOptions *options)
{
  GgClusterInstance *instance = &self->instances[number];
  instance->name = g_strdup_printf ("entry-%u", number);
  instance->data_centre = data_centres[options->one_entry_centre ? 0 : number % N_DATA_CENTRES];
  instance->incarnation = 1;
  instance->callers = gg_process_reserve_address ();
  instance->entry_rpc = gg_process_reserve_address ();
  instance->control_rpc = gg_process_reserve_address ();
  instance->control_http = gg_process_reserve_address ();
  GKeyFile *entry = create_settings (self, instance, test_entry_settings);
  g_key_file_set_string (entry, "listen", "callers", instance->callers);
  g_key_file_set_string (entry, "listen", "rpc", instance->entry_rpc);
  g_key_file_set_string (entry, "control", "rpc", instance->control_rpc);
  set_all (entry, options->entry_settings);
  if (options->instance_entry_settings)
    set_all (entry, options->instance_entry_settings[number]);
  instance->entry_settings = write_settings (self, entry, instance->name, "entryd");
  GKeyFile *control = create_settings (self, instance, test_control_settings);
  g_key_file_set_string (control, "listen", "rpc", instance->control_rpc);
  g_key_file_set_string (control, "listen", "http", instance->control_http);
  g_key_file_set_string (control, "platform", "list", self->list);
  set_all (control, options->control_settings);
  instance->control_settings = write_settings (self, control, instance->name, "controld");
}

void
gg_cluster_start_entry (GgCluster *self, uint32_t number)
{
  GgClusterInstance *instance = &self->instances[number];
  const char *args[] = { "--settings", instance->entry_settings, NULL };
  gg_process_destroy (instance->entry);
  instance->entry = gg_process_start ("greengage-entryd", args);
}

void
gg_cluster_start_control (GgCluster *self, uint32_t number)
{
  GgClusterInstance *instance = &self->instances[number];
  const char *args[] = { "--settings", instance->control_settings, NULL };
  gg_process_destroy (instance->control);
  instance->control = gg_process_start ("greengage-controld", args);
}

static gboolean
is_ready_or_ended (void *data)
{
  GgClusterInstance *instance = data;
  if (gg_process_get_status (instance->entry) >= 0)
    return TRUE;
  char *body = gg_test_get (instance->callers, "/readyz");
  g_free (body);
  return body != NULL;
}

gboolean
gg_cluster_wait_ready (GgCluster *self, uint32_t number, uint64_t timeout_ms)
{
  GgClusterInstance *instance = &self->instances[number];
  return gg_wait_until (is_ready_or_ended, instance, timeout_ms)
         && gg_process_get_status (instance->entry) < 0;
}

static void
append_element (GString *text, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_string_append (text, text->str[text->len - 1] == '}' ? "," : "");
  g_string_append_vprintf (text, format, args);
  va_end (args);
}

static const char *
get_state_text (GgListed listed)
{
  return listed == GG_LISTED_LEAVING ? "leaving" : "live";
}

gboolean
gg_cluster_publish_list (GgCluster *self)
{
  GString *text = g_string_new ("{\"instances\":[");
  for (uint32_t i = 0; i < self->n_runners; i++)
    {
      const GgClusterRunner *runner = &self->runners[i];
      if (runner->listed != GG_LISTED_ABSENT)
        append_element (text,
                        "{\"id\":\"%s\",\"incarnation\":%" G_GUINT64_FORMAT
                        ",\"role\":\"runner\",\"address\":\"%s\",\"data_centre\":\"%s\","
                        "\"service\":\"%s\",\"first_layer\":%u,\"end_layer\":%u,"
                        "\"accelerator\":\"fake\",\"state\":\"%s\"}",
                        runner->id, runner->incarnation, runner->listed_address,
                        runner->data_centre, runner->service, runner->first_layer,
                        runner->end_layer, get_state_text (runner->listed));
    }
  for (uint32_t i = 0; i < self->n_instances; i++)
    {
      const GgClusterInstance *instance = &self->instances[i];
      if (instance->listed != GG_LISTED_ABSENT)
        append_element (text,
                        "{\"id\":\"%s\",\"incarnation\":%" G_GUINT64_FORMAT
                        ",\"role\":\"entry\",\"address\":\"%s\",\"control\":\"%s\","
                        "\"entry_rpc\":\"%s\",\"data_centre\":\"%s\",\"state\":\"%s\"}",
                        instance->name, instance->incarnation, instance->callers,
                        instance->control_rpc, instance->entry_rpc, instance->data_centre,
                        get_state_text (instance->listed));
    }
  g_string_append (text, "]}");
  gboolean done = gg_test_send ("PUT", self->list, "/v1/instances", text->str);
  g_string_free (text, TRUE);
  return done;
}

void
gg_cluster_write_declaration (GgCluster *self, const char *file, const char *text)
{
  char *path = g_build_filename (self->services_folder, file, NULL);
  write_file (path, text);
  g_free (path);
}

static void
append_team (GString *text, const char *name, const char *key, const char *services, uint32_t limit)
{
  char *hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
  g_string_append_printf (text, team_declaration, name, hash, services, limit);
  g_free (hash);
}

static void
write_declarations (GgCluster *self)
{
  gg_cluster_write_declaration (
      self, "reader.ini", self->reader_declaration ? self->reader_declaration : reader_declaration);
  gg_cluster_write_declaration (self, "moorings.ini", moorings_declaration);
  const char *const teams[][3] = {
    { "karongi-schools", GG_CLUSTER_SCHOOLS_KEY, "reader;moorings" },
    { "rubavu-readers", GG_CLUSTER_READERS_KEY, "reader" },
  };
  GString *text = g_string_new (NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (teams); i++)
    append_team (text, teams[i][0], teams[i][1], teams[i][2], TEAM_REQUESTS_PER_S);
  for (uint32_t i = 0; i < self->n_teams; i++)
    {
      char *name = g_strdup_printf ("team-%u", i);
      char *key = g_strdup_printf (GG_CLUSTER_TEAM_BEARER, i);
      append_team (text, name, key + strlen (BEARER_PREFIX), "reader;moorings",
                   i + 1 == self->n_teams ? self->last_team_requests_per_s : 0);
      g_free (name);
      g_free (key);
    }
  gg_cluster_write_declaration (self, "teams.ini", text->str);
  g_string_free (text, TRUE);
}

int
gg_cluster_publish_config (GgCluster *self, char **output_out)
{
  const char *args[] = { "--kv", self->kv, "--prefix", "authority", self->services_folder, NULL };
  return gg_process_run ("greengage-publish", args, PUBLISH_TIMEOUT_MS, output_out);
}

static gboolean
start_platform (GgCluster *self)
{
  const char *args[] = { "--listen", "127.0.0.1:0", NULL };
  return start_program (&self->platform_process, "gg-fake-platform", args, &self->kv)
         && start_program (&self->list_process, "gg-fake-list", args, &self->list);
}

static gboolean
publish_first_config (GgCluster *self)
{
  char *output = NULL;
  write_declarations (self);
  int status = gg_cluster_publish_config (self, &output);
  if (status != 0)
    fprintf (stderr, "greengage-publish exited with status %d: %s\n", status, output);
  g_free (output);
  return status == 0;
}

static gboolean
start_instances (GgCluster *self)
{
  for (uint32_t i = 0; i < self->n_instances; i++)
    {
      gg_cluster_start_control (self, i);
      gg_cluster_start_entry (self, i);
    }
  for (uint32_t i = 0; i < self->n_instances; i++)
    if (!gg_cluster_wait_ready (self, i, READY_TIMEOUT_MS))
      {
        fprintf (stderr, "%s did not become ready in time\n", self->instances[i].name);
        return FALSE;
      }
  return TRUE;
}

GgCluster *
gg_cluster_create (const GgClusterOptions *options)
{
  GgCluster *self = g_new0 (GgCluster, 1);
  g_assert (options->n_instances <= GG_CLUSTER_INSTANCES_MAX);
  self->n_instances = options->n_instances;
  self->options = *options;
  self->n_teams = options->n_teams;
  self->last_team_requests_per_s = options->last_team_requests_per_s;
  self->reader_declaration = options->reader_declaration;
  self->folder = g_dir_make_tmp ("greengage-XXXXXX", NULL);
  g_assert (self->folder);
  set_folder (NULL, self->folder);
  self->services_folder = g_build_filename (self->folder, "services", NULL);
  gboolean started = start_platform (self) && start_runners (self, options);
  for (uint32_t i = 0; started && i < self->n_instances; i++)
    prepare_instance (self, i, options);
  if (started && publish_first_config (self) && gg_cluster_publish_list (self)
      && start_instances (self))
    return self;
  fprintf (stderr, "the cluster could not be started\n");
  gg_cluster_print_errors (self);
  gg_cluster_destroy (self);
  return NULL;
}

static void
clear_instance (GgClusterInstance *instance)
{
  gg_process_destroy (instance->entry);
  gg_process_destroy (instance->control);
  char *texts[] = { instance->name,
                    instance->callers,
                    instance->entry_rpc,
                    instance->control_rpc,
                    instance->control_http,
                    instance->entry_settings,
                    instance->control_settings };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    g_free (texts[i]);
}

void
gg_cluster_destroy (GgCluster *self)
{
  if (!self)
    return;
  for (uint32_t i = 0; i < self->n_instances; i++)
    clear_instance (&self->instances[i]);
  for (uint32_t i = 0; i < self->n_runners; i++)
    {
      gg_process_destroy (self->runners[i].process);
      gg_process_destroy (self->runners[i].relay);
      g_free (self->runners[i].id);
      g_free (self->runners[i].address);
      g_free (self->runners[i].listed_address);
      g_free (self->runners[i].past_output);
    }
  gg_process_destroy (self->platform_process);
  gg_process_destroy (self->list_process);
  remove_tree (self->folder);
  set_folder (self->folder, NULL);
  g_free (self->folder);
  g_free (self->services_folder);
  g_free (self->kv);
  g_free (self->list);
  g_free (self);
}

gboolean
gg_cluster_control_runner (GgCluster *self, uint32_t runner, const char *json)
{
  return gg_test_send ("POST", self->runners[runner].address, "/control", json);
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  const GgClusterRecord *left = a;
  const GgClusterRecord *right = b;
  return (left->time_us > right->time_us) - (left->time_us < right->time_us);
}

char *
gg_cluster_read_output (GgCluster *self, uint32_t number)
{
  const GgClusterRunner *runner = &self->runners[number];
  char *output = gg_process_read_output (runner->process);
  char *all = g_strconcat (runner->past_output ? runner->past_output : "", output, NULL);
  g_free (output);
  return all;
}

GArray *
gg_cluster_read_records (GgCluster *self)
{
  GArray *records = g_array_new (FALSE, TRUE, sizeof (GgClusterRecord));
  for (uint32_t i = 0; i < self->n_engines; i++)
    {
      char *text = gg_cluster_read_output (self, i);
      char **lines = g_strsplit (text, "\n", -1);
      for (size_t k = 0; lines[k]; k++)
        {
          GgClusterRecord record = { .runner = i };
          if (sscanf (lines[k], "record %32s %32s %u %u %u %" G_GUINT64_FORMAT, record.request,
                      record.attempt, &record.epoch, &record.position, &record.layer,
                      &record.time_us)
              == 6)
            g_array_append_val (records, record);
        }
      g_strfreev (lines);
      g_free (text);
    }
  /* The sort is stable: layers that one engine ran in the same microsecond keep their order. */
  g_array_sort (records, compare_times);
  return records;
}

gboolean
gg_cluster_layers_ran_once (GgCluster *self, const char *request, uint32_t n_positions)
{
  GArray *records = gg_cluster_read_records (self);
  const char *attempts[GG_CLUSTER_LAYERS] = { NULL };
  uint32_t found = 0;
  gboolean in_order = TRUE;
  for (guint i = 0; i < records->len; i++)
    {
      const GgClusterRecord *record = &g_array_index (records, GgClusterRecord, i);
      if (strcmp (record->request, request) != 0)
        continue;
      uint32_t layer = found % GG_CLUSTER_LAYERS;
      if (!attempts[layer])
        attempts[layer] = record->attempt;
      in_order = in_order && record->layer == layer && record->position == found / GG_CLUSTER_LAYERS
                 && strcmp (record->attempt, attempts[layer]) == 0;
      found++;
    }
  g_array_unref (records);
  return in_order && found == n_positions * GG_CLUSTER_LAYERS;
}

char *
gg_cluster_read_calls (GgCluster *self)
{
  GString *calls = g_string_new (NULL);
  for (uint32_t i = self->n_engines; i < self->n_runners; i++)
    {
      char *text = gg_test_get (self->runners[i].address, "/records");
      g_string_append (calls, text ? text : "");
      g_free (text);
    }
  return g_string_free (calls, FALSE);
}

static void
print_errors (const char *name, const GgProcess *process)
{
  char *text = process ? gg_process_read_errors (process) : g_strdup ("not started\n");
  if (*text)
    fprintf (stderr, "--- %s\n%s", name, text);
  g_free (text);
}

void
gg_cluster_print_errors (GgCluster *self)
{
  print_errors ("platform", self->platform_process);
  print_errors ("list", self->list_process);
  for (uint32_t i = 0; i < self->n_runners; i++)
    print_errors (self->runners[i].id, self->runners[i].process);
  for (uint32_t i = 0; i < self->n_instances; i++)
    {
      print_errors ("controld", self->instances[i].control);
      print_errors ("entryd", self->instances[i].entry);
    }
}
