#include "site.h"

#include "base/clock.h"
#include "http_client.h"

#include <arpa/inet.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define START_TIMEOUT_MS 15000
#define CALL_TIMEOUT_MS 8000
#define LISTEN_TIMEOUT_MS 5000
#define EXTRA_RETRIES 1000
#define MAX_ATTEMPTS 2
#define N_DESKS 2

/* Ten accelerators in two data centres; each has memory for a complete copy of the model and for
 * requests. */
static const struct
{
  const char *data_centre;
  const char *kind;
} accelerators[] = {
  { "north", "large" }, { "north", "large" }, { "north", "small" }, { "north", "small" },
  { "north", "small" }, { "south", "large" }, { "south", "large" }, { "south", "small" },
  { "south", "small" }, { "south", "small" },
};

static void
write_to_store (const Site *self, const char *key, const char *body)
{
  if (!gg_test_send ("POST", self->store_address, "/test/put", body))
    fprintf (stderr, "site: can't write %s to the store\n", key);
}

void
site_put_bytes (const Site *self, const char *key, const char *value, size_t size_bytes)
{
  char *encoded = g_base64_encode ((const guchar *) value, size_bytes);
  char *body = g_strdup_printf ("{\"puts\":[{\"key\":\"%s\",\"value\":\"%s\"}]}", key, encoded);
  write_to_store (self, key, body);
  g_free (body);
  g_free (encoded);
}

void
site_put (const Site *self, const char *key, const char *value)
{
  site_put_bytes (self, key, value, strlen (value));
}

void
site_delete (const Site *self, const char *key)
{
  char *body = g_strdup_printf ("{\"deletes\":[\"%s\"]}", key);
  write_to_store (self, key, body);
  g_free (body);
}

static char *
print_config (guint version, gboolean has_key, guint max_attempts)
{
  return g_strdup_printf (
      "{\"version\":%u,\"routes\":["
      "{\"name\":\"drafts\",\"host\":\"%s\",\"path_prefix\":\"/drafts/\",\"kind\":\"streaming\","
      "\"timeout_ms\":6000,\"goal_ms\":500,\"priority\":1,\"service\":\"reader\","
      "\"max_attempts\":%u,\"stream_resume\":true,\"gap_target_ms\":200},"
      "{\"name\":\"bookings\",\"host\":\"%s\",\"path_prefix\":\"/bookings/\","
      "\"kind\":\"non_idempotent\",\"timeout_ms\":2000,\"goal_ms\":100,\"priority\":2,"
      "\"service\":\"desk\",\"max_attempts\":1},"
      "{\"name\":\"lookups\",\"host\":\"%s\",\"path_prefix\":\"/lookups/\","
      "\"kind\":\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":100,\"priority\":2,"
      "\"service\":\"desk\",\"max_attempts\":2}],"
      "\"services\":[{\"name\":\"reader\",\"health_path\":\"/health\",\"max_conns\":100,"
      "\"engine\":{\"slots\":16,\"kv_token_bytes\":80000,\"step_ms\":1.0,\"layers\":%u,"
      "\"layer_mb\":100.0,\"load_s\":1.0,\"models\":[{\"name\":\"m\",\"load_s\":0.1}],"
      "\"usual\":{\"prompt\":100,\"answer\":20},\"kinds\":["
      "{\"name\":\"large\",\"size_mb\":600.0,\"pace\":1.0,\"read_factor\":1.0},"
      "{\"name\":\"small\",\"size_mb\":300.0,\"pace\":4.0,\"read_factor\":2.0}]}},"
      "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":100}],"
      "\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":65536,"
      "\"header_timeout_ms\":1000,\"idle_timeout_ms\":5000},"
      "\"tenants\":[{\"name\":\"school\",\"api_keys\":[\"%s\"]}]}",
      version, SITE_HOST, max_attempts, SITE_HOST, SITE_HOST, SITE_LAYERS,
      has_key ? SITE_KEY : "another-key");
}

char *
site_print_config (guint version, gboolean has_key)
{
  return print_config (version, has_key, MAX_ATTEMPTS);
}

void
site_write_config (const Site *self, guint version, gboolean has_key)
{
  char *config
      = print_config (version, has_key, self->max_attempts > 0 ? self->max_attempts : MAX_ATTEMPTS);
  site_put (self, "op/config", config);
  g_free (config);
}

void
site_start_runner (Site *self, SiteRunner *runner)
{
  char layers[8];
  g_snprintf (layers, sizeof layers, "%d", SITE_LAYERS);
  const char *args[] = { "--listen",
                         runner->own_address != NULL ? runner->own_address : runner->address,
                         "--address",
                         runner->address,
                         "--id",
                         runner->id,
                         "--service",
                         runner->service,
                         "--zone",
                         runner->data_centre,
                         "--store",
                         self->store_address,
                         "--layers",
                         layers,
                         runner->kind != NULL ? "--kind" : NULL,
                         runner->kind,
                         NULL };
  gg_process_destroy (runner->process);
  runner->process = gg_process_start ("gg-fake-runner", args);
  gg_process_wait_listening (runner->process, LISTEN_TIMEOUT_MS);
}

static void
start_runner (Site *self, const char *service, const char *data_centre, const char *kind)
{
  SiteRunner *runner = &self->runners[self->n_runners];
  runner->id = g_strdup_printf ("%s-%s-%u", service, data_centre, self->n_runners);
  if (runner->address == NULL)
    runner->address = gg_process_reserve_address ();
  runner->service = service;
  runner->data_centre = data_centre;
  runner->kind = kind;
  site_start_runner (self, runner);
  self->n_runners++;
}

void
site_add_desk (Site *self, const char *data_centre)
{
  start_runner (self, "desk", data_centre, NULL);
}

GgProcess *
site_replace_desks (Site *self, char **address_out)
{
  for (guint i = 0; i < self->n_runners; i++)
    if (g_str_has_prefix (self->runners[i].id, "desk"))
      gg_process_signal (self->runners[i].process, SIGUSR2);
  *address_out = gg_process_reserve_address ();
  const char *args[]
      = { "--listen", *address_out, "--id",    "desk-that-repeats", "--service", "desk",
          "--zone",   "north",      "--store", self->store_address, NULL };
  GgProcess *process = gg_process_start ("gg-fake-desk", args);
  if (gg_process_wait_listening (process, LISTEN_TIMEOUT_MS) != NULL)
    return process;
  gg_process_destroy (process);
  return NULL;
}

guint
site_revive_runners (Site *self)
{
  guint n = 0;
  for (guint i = 0; i < self->n_runners; i++)
    if (gg_process_wait_exit (self->runners[i].process, 0))
      {
        site_start_runner (self, &self->runners[i]);
        n++;
      }
  return n;
}

void
site_start_router (Site *self, guint i)
{
  SiteRouter *router = &self->routers[i];
  const char *args[] = { "--settings", router->settings_path, NULL };
  gg_process_destroy (router->process);
  router->process
      = gg_process_start (router->program != NULL ? router->program : "greengage-routerd", args);
}

static const char *
get_size_settings (const Site *self, guint i)
{
  if (self->n_large == 0)
    return "";
  return i < self->n_large ? "processor_share = 0.5\nfirst_start = true\n"
                           : "processor_share = 0.12\nfirst_start = true\n";
}

static void
add_router (Site *self)
{
  SiteRouter *router = &self->routers[self->n_routers];
  router->name = g_strdup_printf ("router-%u", self->n_routers);
  router->program = self->n_routers < self->n_old ? g_getenv ("GG_OLD_BIN") : NULL;
  router->callers_address = gg_process_reserve_address ();
  router->ready_address = gg_process_reserve_address ();
  router->metrics_address = gg_process_reserve_address ();
  router->peers_address = gg_process_reserve_address ();
  router->settings_path = g_strdup_printf ("%s/%s.ini", self->folder, router->name);
  char *text = g_strdup_printf (
      "[instance]\nname = %s\ndata_centre = %s\n"
      "[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n"
      "[store]\naddress = %s\n[stop]\ngrace_s = 5\n"
      "[retries]\nextra = %u\n[instance]\n%s",
      router->name, self->n_routers % 2 == 0 ? "north" : "south", router->callers_address,
      router->ready_address, router->peers_address, router->metrics_address,
      self->routers_store_address, self->extra_retries, get_size_settings (self, self->n_routers));
  g_file_set_contents (router->settings_path, text, -1, NULL);
  g_free (text);
  site_start_router (self, self->n_routers++);
}

gboolean
site_is_ready (const Site *self, guint router)
{
  return gg_test_send ("GET", self->routers[router].ready_address, "/api/ready", NULL);
}

/* Returns whether every router serves a stream, which requires a configuration, runners and a
 * placed model. */
static gboolean
is_serving (void *data)
{
  const Site *self = data;
  for (guint i = 0; i < self->n_routers; i++)
    {
      if (!site_is_ready (self, i))
        return FALSE;
      char *answer = site_call (self, i, "POST", "/drafts/start", "X-Token-Count: 10,10\r\n", "x");
      gboolean is_served = answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 200");
      g_free (answer);
      if (!is_served)
        return FALSE;
    }
  return TRUE;
}

/* Starts the links to all runners that create() starts, whose addresses it sets. */
static void
start_links (Site *self)
{
  GString *list = g_string_new (NULL);
  for (guint i = 0; i < G_N_ELEMENTS (accelerators) + N_DESKS; i++)
    {
      self->runners[i].address = gg_process_reserve_address ();
      self->runners[i].own_address = gg_process_reserve_address ();
      g_string_append_printf (list, "%s%s=%s", i > 0 ? "," : "", self->runners[i].address,
                              self->runners[i].own_address);
    }
  self->links_address = gg_process_reserve_address ();
  const char *args[] = { "--listen", self->links_address, "--links", list->str, NULL };
  self->links = gg_process_start ("gg-fake-links", args);
  gg_process_wait_listening (self->links, LISTEN_TIMEOUT_MS);
  g_string_free (list, TRUE);
}

static void
start_store_links (Site *self)
{
  self->routers_store_address = gg_process_reserve_address ();
  self->store_links_address = gg_process_reserve_address ();
  char *link = g_strdup_printf ("%s=%s", self->routers_store_address, self->store_address);
  const char *args[] = { "--listen", self->store_links_address, "--links", link, NULL };
  self->store_links = gg_process_start ("gg-fake-links", args);
  gg_process_wait_listening (self->store_links, LISTEN_TIMEOUT_MS);
  g_free (link);
}

typedef enum
{
  WITHOUT_LINKS,
  WITH_RUNNER_LINKS,
  WITH_STORE_LINKS,
  WITH_ALL_LINKS,
} Links;

static Site *
create (guint n_routers, guint n_large, guint n_old, guint extra_retries, Links links)
{
  Site *self = g_new0 (Site, 1);
  self->n_large = n_large;
  self->n_old = n_old;
  self->extra_retries = extra_retries;
  self->folder = g_dir_make_tmp ("greengage-XXXXXX", NULL);
  self->store_address = gg_process_reserve_address ();
  const char *args[] = { "--listen", self->store_address, NULL };
  self->store = gg_process_start ("gg-fake-store", args);
  gg_process_wait_listening (self->store, LISTEN_TIMEOUT_MS);
  site_write_config (self, 1, TRUE);
  if (links == WITH_RUNNER_LINKS || links == WITH_ALL_LINKS)
    start_links (self);
  if (links == WITH_STORE_LINKS || links == WITH_ALL_LINKS)
    start_store_links (self);
  else
    self->routers_store_address = g_strdup (self->store_address);
  for (guint i = 0; i < G_N_ELEMENTS (accelerators); i++)
    start_runner (self, "reader", accelerators[i].data_centre, accelerators[i].kind);
  start_runner (self, "desk", "north", NULL);
  start_runner (self, "desk", "south", NULL);
  for (guint i = 0; i < n_routers; i++)
    add_router (self);
  if (gg_wait_until (is_serving, self, START_TIMEOUT_MS))
    return self;
  for (guint i = 0; i < n_routers; i++)
    {
      char *output = gg_process_read_output (self->routers[i].process);
      fprintf (stderr, "site: %s served no stream in time:\n%s", self->routers[i].name, output);
      g_free (output);
    }
  site_destroy (self);
  return NULL;
}

Site *
site_create (guint n_routers)
{
  return create (n_routers, 0, 0, EXTRA_RETRIES, WITHOUT_LINKS);
}

Site *
site_create_sized (guint n_routers, guint n_large)
{
  return create (n_routers, n_large, 0, EXTRA_RETRIES, WITHOUT_LINKS);
}

Site *
site_create_with_retries (guint n_routers, guint extra_retries)
{
  return create (n_routers, 0, 0, extra_retries, WITHOUT_LINKS);
}

Site *
site_create_mixed (guint n_routers, guint n_old)
{
  return create (n_routers, 0, n_old, EXTRA_RETRIES, WITHOUT_LINKS);
}

Site *
site_create_with_links (guint n_routers)
{
  return create (n_routers, 0, 0, EXTRA_RETRIES, WITH_RUNNER_LINKS);
}

Site *
site_create_with_store_links (guint n_routers)
{
  return create (n_routers, 0, 0, EXTRA_RETRIES, WITH_STORE_LINKS);
}

Site *
site_create_with_all_links (guint n_routers)
{
  return create (n_routers, 0, 0, EXTRA_RETRIES, WITH_ALL_LINKS);
}

static gboolean
cut_links (const Site *self, const char *address, const gboolean *is_cut, const char *mode)
{
  GString *target = g_string_new (NULL);
  g_string_append_printf (target, "/test/cut/%s/", mode);
  for (guint i = 0; i < self->n_routers; i++)
    if (is_cut[i])
      g_string_append_printf (target, "%s%d", g_str_has_suffix (target->str, "/") ? "" : ",",
                              gg_process_get_id (self->routers[i].process));
  gboolean is_sent = gg_test_send ("GET", address, target->str, NULL);
  g_string_free (target, TRUE);
  return is_sent;
}

gboolean
site_cut (const Site *self, const gboolean *is_cut, const char *mode)
{
  return cut_links (self, self->links_address, is_cut, mode);
}

gboolean
site_cut_store (const Site *self, const gboolean *is_cut, const char *mode)
{
  /* Connections that were silent go on. */
  return gg_test_send ("GET", self->store_links_address, "/test/heal", NULL)
         && cut_links (self, self->store_links_address, is_cut, mode);
}

void
site_heal (const Site *self)
{
  if (!gg_test_send ("GET", self->links_address, "/test/heal", NULL))
    fprintf (stderr, "site: can't end the cut\n");
}

guint
site_count_cut (const Site *self)
{
  char *text = gg_test_get (self->links_address, "/test/count");
  guint n = text != NULL ? (guint) atoi (text) : 0;
  g_free (text);
  return n;
}

void
site_destroy (Site *self)
{
  for (guint i = 0; i < self->n_routers; i++)
    {
      SiteRouter *router = &self->routers[i];
      gg_process_destroy (router->process);
      g_unlink (router->settings_path);
      g_free (router->settings_path);
      g_free (router->name);
      g_free (router->callers_address);
      g_free (router->ready_address);
      g_free (router->metrics_address);
      g_free (router->peers_address);
    }
  for (guint i = 0; i < self->n_runners; i++)
    {
      gg_process_destroy (self->runners[i].process);
      g_free (self->runners[i].id);
      g_free (self->runners[i].address);
      g_free (self->runners[i].own_address);
    }
  gg_process_destroy (self->links);
  g_free (self->links_address);
  gg_process_destroy (self->store);
  if (self->store_links != NULL)
    gg_process_destroy (self->store_links);
  g_free (self->store_links_address);
  g_free (self->routers_store_address);
  g_rmdir (self->folder);
  g_free (self->folder);
  g_free (self->store_address);
  g_free (self);
}

static int
connect_to (const char *address)
{
  struct sockaddr_in target = { .sin_family = AF_INET };
  target.sin_port = htons ((uint16_t) atoi (strchr (address, ':') + 1));
  inet_pton (AF_INET, "127.0.0.1", &target.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (fd, (struct sockaddr *) &target, sizeof target) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Reads until the peer closes the connection.
 * @return FALSE on a timeout or reset. */
static gboolean
read_all (int fd, GString *text)
{
  uint64_t end_ms = gg_clock_now_ms () + CALL_TIMEOUT_MS;
  for (;;)
    {
      uint64_t now_ms = gg_clock_now_ms ();
      struct pollfd entry = { .fd = fd, .events = POLLIN };
      char bytes[4096];
      if (now_ms >= end_ms || poll (&entry, 1, (int) (end_ms - now_ms)) <= 0)
        return FALSE;
      ssize_t n = read (fd, bytes, sizeof bytes);
      if (n <= 0)
        return n == 0;
      g_string_append_len (text, bytes, n);
    }
}

/* Joins the chunks of a body, since chunk boundaries depend on timing.
 * @return FALSE if the last chunk is missing. */
static gboolean
join_chunks (const char *body, GString *out)
{
  for (;;)
    {
      char *end = NULL;
      gulong size = strtoul (body, &end, 16);
      if (end == body || !g_str_has_prefix (end, "\r\n"))
        return FALSE;
      if (size == 0)
        return TRUE;
      body = end + 2;
      if (strlen (body) < size + 2)
        return FALSE;
      g_string_append_len (out, body, (gssize) size);
      body += size + 2;
    }
}

/* Returns the head and the body without chunk sizes, owned by the caller; "(cut)" is appended to a
 * truncated answer. Returns NULL if the head is incomplete. */
static char *
join_answer (const char *raw, gboolean is_ended)
{
  const char *body = strstr (raw, "\r\n\r\n");
  if (body == NULL)
    return NULL;
  body += strlen ("\r\n\r\n");
  GString *out = g_string_new_len (raw, body - raw);
  if (strstr (out->str, "chunked") == NULL)
    g_string_append (out, body);
  else
    is_ended = join_chunks (body, out) && is_ended;
  if (!is_ended)
    g_string_append (out, "(cut)");
  return g_string_free (out, FALSE);
}

int
site_connect (const Site *self, guint router)
{
  return connect_to (self->routers[router].callers_address);
}

char *
site_send_raw (const Site *self, guint router, const char *text)
{
  return site_send_raw_to (self->routers[router].callers_address, text);
}

char *
site_send_raw_to (const char *address, const char *text)
{
  int fd = connect_to (address);
  if (fd < 0)
    return NULL;
  GString *raw = g_string_new (NULL);
  char *answer = NULL;
  if (send (fd, text, strlen (text), MSG_NOSIGNAL) == (ssize_t) strlen (text))
    {
      gboolean is_ended = read_all (fd, raw);
      answer = join_answer (raw->str, is_ended);
    }
  g_string_free (raw, TRUE);
  close (fd);
  return answer;
}

static char *
print_request (const char *method,
               const char *target,
               const char *attempt,
               const char *fields,
               const char *body)
{
  return g_strdup_printf ("%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
                          "Authorization: Bearer %s\r\nX-Attempt-Id: %s\r\n%s"
                          "Content-Length: %zu\r\n\r\n%s",
                          method, target, SITE_HOST, SITE_KEY, attempt, fields, strlen (body),
                          body);
}

char *
site_call (const Site *self,
           guint router,
           const char *method,
           const char *target,
           const char *fields,
           const char *body)
{
  static int n_attempts;
  char *attempt = g_strdup_printf ("attempt-%u", g_atomic_int_add (&n_attempts, 1));
  char *text = print_request (method, target, attempt, fields, body);
  char *answer = site_send_raw (self, router, text);
  g_free (text);
  g_free (attempt);
  return answer;
}

int
site_begin_call (
    const Site *self, guint router, const char *method, const char *target, const char *attempt)
{
  char *text = print_request (method, target, attempt, "", "");
  int fd = site_connect (self, router);
  if (fd >= 0 && send (fd, text, strlen (text), MSG_NOSIGNAL) != (ssize_t) strlen (text))
    {
      close (fd);
      fd = -1;
    }
  g_free (text);
  return fd;
}

SiteRunner *
site_find_runner (Site *self, const char *prefix)
{
  for (guint i = 0; i < self->n_runners; i++)
    if (g_str_has_prefix (self->runners[i].id, prefix))
      return &self->runners[i];
  return NULL;
}

void
site_set_limit (const Site *self, const char *prefix, const char *limit)
{
  char *target = g_strconcat ("/test/limit/", limit, NULL);
  for (guint i = 0; i < self->n_runners; i++)
    if (g_str_has_prefix (self->runners[i].id, prefix)
        && !gg_test_send ("GET", self->runners[i].address, target, NULL))
      fprintf (stderr, "site: can't set the limit of %s\n", self->runners[i].id);
  g_free (target);
}

guint
site_count_runs (const Site *self, const char *prefix)
{
  guint n = 0;
  for (guint i = 0; i < self->n_runners; i++)
    {
      if (!g_str_has_prefix (self->runners[i].id, prefix))
        continue;
      char *text = gg_test_get (self->runners[i].address, "/test/runs");
      n += text != NULL ? (guint) atoi (text) : 0;
      g_free (text);
    }
  return n;
}

guint
site_count_log (const Site *self, const char *text)
{
  guint n = 0;
  for (guint i = 0; i < self->n_routers; i++)
    {
      char *output = gg_process_read_output (self->routers[i].process);
      for (const char *p = output; (p = strstr (p, text)) != NULL; p++)
        n++;
      g_free (output);
    }
  return n;
}

gboolean
site_add_attempts (const SiteRunner *runner, GHashTable *runs)
{
  char *text = gg_test_get (runner->address, "/test/attempts");
  char **lines = g_strsplit (text != NULL ? text : "", "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      char **parts = g_strsplit (*line, " ", 2);
      if (parts[0] != NULL && parts[1] != NULL)
        {
          guint n
              = GPOINTER_TO_UINT (g_hash_table_lookup (runs, parts[0])) + (guint) atoi (parts[1]);
          g_hash_table_insert (runs, g_strdup (parts[0]), GUINT_TO_POINTER (n));
        }
      g_strfreev (parts);
    }
  g_strfreev (lines);
  gboolean has_answered = text != NULL;
  g_free (text);
  return has_answered;
}
