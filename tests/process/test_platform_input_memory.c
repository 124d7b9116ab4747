/* Clients that hold much input at a router: bodies over the limit, bodies and heads that stop just
 * short of their end, connections without a request, answers that are never read. The process must
 * stay alive, within the memory and descriptors of a small machine, and answer an ordinary request
 * while these clients stay connected. Nothing here depends on the speed of the machine. */
#include "base/clock.h"
#include "process.h"
#include "site.h"
#include "test_main.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/* Memory of the smallest machine of a deployment. */
#define MACHINE_KB (160 * 1000)
#define MAX_HEAD_BYTES 16384
#define MAX_BODY_BYTES 4194304
#define RECEIVE_TIMEOUT_MS 60000
#define IDLE_TIMEOUT_MS 60000
/* Bounds the time of a case whose clients are neither answered nor disconnected. */
#define CROWD_TIMEOUT_MS 60000
#define READY_TIMEOUT_MS 30000
#define LISTEN_TIMEOUT_MS 5000
#define MAX_CLIENTS 2000
#define SETTLE_MS 500
#define SETTLED_CPU_MS 20
#define LARGE_CHUNK_BYTES 16384
#define SMALL_CHUNKS_PER_UNIT 4096
#define FEW_DESCRIPTORS 256
#define SCRIPT_SLOTS 1000
#define EVENT_BYTES "100000"

static Site *site;
static GgProcess *script_runner;

/* What each client sends: head, a unit again and again, tail. Then it stays connected. */
typedef struct
{
  const char *address;
  guint n_clients;
  char *head; /* with "%u" for the number of the client */
  GString *unit;
  guint n_units;
  const char *tail;
  gboolean is_reading; /* reads and drops what it is sent */
} Crowd;

typedef struct
{
  int fd; /* -1 once the router has closed the connection */
  char *head;
  guint n_done; /* parts sent completely: the head, the units, the tail */
  size_t offset_bytes;
} Client;

static Client clients[MAX_CLIENTS];
static guint n_connected;

static void
write_config (guint version, guint max_body_bytes)
{
  char *config = g_strdup_printf (
      "{\"version\":%u,\"routes\":["
      "{\"name\":\"lookups\",\"host\":\"" SITE_HOST "\",\"path_prefix\":\"/lookups/\","
      "\"kind\":\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":100,\"priority\":2,"
      "\"service\":\"desk\",\"max_attempts\":2},"
      "{\"name\":\"streams\",\"host\":\"" SITE_HOST "\",\"path_prefix\":\"/streams/\","
      "\"kind\":\"streaming\",\"timeout_ms\":60000,\"goal_ms\":500,\"priority\":1,"
      "\"service\":\"script\",\"max_attempts\":1,\"stream_resume\":false,\"gap_target_ms\":200}],"
      "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":100},"
      "{\"name\":\"script\",\"health_path\":\"/health\",\"max_conns\":2000}],"
      "\"limits\":{\"max_header_bytes\":%d,\"max_body_bytes\":%u,\"header_timeout_ms\":%d,"
      "\"idle_timeout_ms\":%d},"
      "\"tenants\":[{\"name\":\"school\",\"api_keys\":[\"" SITE_KEY "\"]}]}",
      version, MAX_HEAD_BYTES, max_body_bytes, RECEIVE_TIMEOUT_MS, IDLE_TIMEOUT_MS);
  site_put (site, "op/config", config);
  g_free (config);
}

static gboolean
is_serving (void *data)
{
  char *answer = site_call (site, 0, "GET", "/lookups/1", "", "");
  gboolean is_served = answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 200");
  g_free (answer);
  return is_served;
}

static gboolean
is_ready (void *data)
{
  return site_is_ready (site, 0);
}

/* Starts the router anew, so that its peak of memory is that of the case. */
static void
start_router (void)
{
  site_start_router (site, 0);
  CU_ASSERT_FATAL (gg_wait_until (is_serving, NULL, READY_TIMEOUT_MS));
}

static int
connect_client (const char *address)
{
  struct sockaddr_in target = { .sin_family = AF_INET };
  target.sin_port = htons ((uint16_t) atoi (strchr (address, ':') + 1));
  inet_pton (AF_INET, "127.0.0.1", &target.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd >= 0 && connect (fd, (struct sockaddr *) &target, sizeof target) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return -1;
    }
  return fd;
}

/* Returns the part that is sent next, or NULL after the last one. */
static const char *
get_part (const Crowd *crowd, const Client *client, size_t *size_out)
{
  const char *part = NULL;
  if (client->n_done == 0)
    part = client->head;
  else if (client->n_done == crowd->n_units + 1)
    part = crowd->tail;
  *size_out = part != NULL ? strlen (part) : 0;
  if (client->n_done > 0 && client->n_done <= crowd->n_units)
    {
      part = crowd->unit->str;
      *size_out = crowd->unit->len;
    }
  return part;
}

static void
close_client (Client *self)
{
  if (self->fd >= 0)
    close (self->fd);
  self->fd = -1;
}

/* Sends as much as the kernel accepts, 1 MB at a time.
 * @return whether there is more to send. */
static gboolean
send_more (const Crowd *crowd, Client *self)
{
  size_t n_sent = 0;
  size_t size_bytes;
  for (const char *part; (part = get_part (crowd, self, &size_bytes)) != NULL && n_sent < 1000000;)
    {
      ssize_t n = send (self->fd, part + self->offset_bytes, size_bytes - self->offset_bytes,
                        MSG_NOSIGNAL);
      if (n < 0 && errno != EAGAIN)
        {
          close_client (self);
          return FALSE;
        }
      if (n < 0)
        return TRUE;
      n_sent += (size_t) n;
      self->offset_bytes += (size_t) n;
      if (self->offset_bytes < size_bytes)
        return TRUE;
      self->offset_bytes = 0;
      self->n_done++;
    }
  return get_part (crowd, self, &size_bytes) != NULL;
}

static void
drop_input (const Client *self)
{
  char bytes[65536];
  while (read (self->fd, bytes, sizeof bytes) > 0)
    ;
}

/* Connects the clients and sends what they have, all at once. They stay connected. */
static void
start_crowd (const Crowd *crowd)
{
  n_connected = crowd->n_clients;
  for (guint i = 0; i < n_connected; i++)
    {
      clients[i] = (Client){ .fd = connect_client (crowd->address) };
      clients[i].head = g_strdup (crowd->head);
      char *number = clients[i].head != NULL ? strstr (clients[i].head, "NUMBER") : NULL;
      if (number != NULL)
        {
          char digits[8];
          g_snprintf (digits, sizeof digits, "%06u", i);
          memcpy (number, digits, strlen ("NUMBER"));
        }
    }
  uint64_t end_ms = gg_clock_now_ms () + CROWD_TIMEOUT_MS;
  guint n_sending = n_connected;
  while (n_sending > 0 && gg_clock_now_ms () < end_ms)
    {
      struct pollfd entries[MAX_CLIENTS];
      size_t size_bytes;
      n_sending = 0;
      for (guint i = 0; i < n_connected; i++)
        {
          gboolean is_sending
              = clients[i].fd >= 0 && get_part (crowd, &clients[i], &size_bytes) != NULL;
          entries[i] = (struct pollfd){ .fd = is_sending ? clients[i].fd : -1, .events = POLLOUT };
          n_sending += is_sending;
        }
      if (n_sending == 0 || poll (entries, n_connected, 1000) <= 0)
        continue;
      for (guint i = 0; i < n_connected; i++)
        {
          if (entries[i].revents != 0)
            send_more (crowd, &clients[i]);
          if (crowd->is_reading && clients[i].fd >= 0)
            drop_input (&clients[i]);
        }
    }
}

static void
end_crowd (Crowd *crowd)
{
  for (guint i = 0; i < n_connected; i++)
    {
      close_client (&clients[i]);
      g_free (clients[i].head);
    }
  n_connected = 0;
  g_free (crowd->head);
  if (crowd->unit != NULL)
    g_string_free (crowd->unit, TRUE);
}

/* Whether the router has read what the kernel holds for it: it uses hardly any processor time. */
static gboolean
is_settled (void *data)
{
  uint64_t before_ms = gg_process_get_cpu_ms (site->routers[0].process);
  g_usleep (SETTLE_MS * 1000);
  return gg_process_get_cpu_ms (site->routers[0].process) - before_ms <= SETTLED_CPU_MS;
}

static guint
count_descriptors (void)
{
  char *path = g_strdup_printf ("/proc/%d/fd", gg_process_get_id (site->routers[0].process));
  GDir *folder = g_dir_open (path, 0, NULL);
  guint n = 0;
  while (folder != NULL && g_dir_read_name (folder) != NULL)
    n++;
  if (folder != NULL)
    g_dir_close (folder);
  g_free (path);
  return n;
}

/* Plays a crowd at a fresh router and checks what must hold beside it. */
static void
check_crowd (Crowd *crowd)
{
  start_router ();
  start_crowd (crowd);
  gg_wait_until (is_settled, NULL, CROWD_TIMEOUT_MS);
  gboolean is_answered = gg_wait_until (is_serving, NULL, READY_TIMEOUT_MS);
  guint peak_kb = gg_process_get_peak_kb (site->routers[0].process);
  printf ("\n  %u clients, peak %u kB of %d, %u descriptors ", crowd->n_clients, peak_kb,
          MACHINE_KB, count_descriptors ());
  fflush (stdout);
  CU_ASSERT_FALSE (gg_process_wait_exit (site->routers[0].process, 0));
  CU_ASSERT (peak_kb > 0);
  CU_ASSERT (peak_kb < MACHINE_KB);
  CU_ASSERT (is_answered);
  CU_ASSERT (gg_wait_until (is_ready, NULL, READY_TIMEOUT_MS));
  end_crowd (crowd);
  /* A single request of the largest size is still served. */
  char *body = g_strnfill (MAX_BODY_BYTES, 'x');
  char *answer = site_call (site, 0, "POST", "/lookups/1", "", body);
  CU_ASSERT (answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 200"));
  g_free (answer);
  g_free (body);
}

static char *
print_head (const char *framing)
{
  return g_strdup_printf ("POST /lookups/1 HTTP/1.1\r\nHost: " SITE_HOST
                          "\r\nAuthorization: Bearer " SITE_KEY
                          "\r\nX-Attempt-Id: crowd-NUMBER\r\n%s\r\n",
                          framing);
}

static GString *
fill (size_t size_bytes)
{
  GString *text = g_string_new (NULL);
  for (size_t i = 0; i < size_bytes; i++)
    g_string_append_c (text, 'x');
  return text;
}

/* Returns one chunk with its framing. */
static GString *
print_chunk (size_t size_bytes)
{
  GString *text = fill (size_bytes);
  char size[16];
  g_snprintf (size, sizeof size, "%zx\r\n", size_bytes);
  g_string_prepend (text, size);
  g_string_append (text, "\r\n");
  return text;
}

static GString *
print_small_chunks (void)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < SMALL_CHUNKS_PER_UNIT; i++)
    g_string_append (text, "1\r\nx\r\n");
  return text;
}

/* Guards against a process that runs out of memory since many bodies of an announced length stop
 * one byte before their end. */
static void
test_announced_bodies (void)
{
  Crowd crowd = { .address = site->routers[0].callers_address,
                  .n_clients = 80,
                  .head = print_head ("Content-Length: 4194304\r\n"),
                  .unit = fill (MAX_BODY_BYTES - 1),
                  .n_units = 1 };
  check_crowd (&crowd);
}

/* The same for many bodies of a medium size, each far below the limit. */
static void
test_medium_bodies (void)
{
  Crowd crowd = { .address = site->routers[0].callers_address,
                  .n_clients = 400,
                  .head = print_head ("Content-Length: 900001\r\n"),
                  .unit = fill (900000),
                  .n_units = 1 };
  check_crowd (&crowd);
}

/* The same for bodies in large chunks, without the last chunk. */
static void
test_large_chunks (void)
{
  Crowd crowd = { .address = site->routers[0].callers_address,
                  .n_clients = 80,
                  .head = print_head ("Transfer-Encoding: chunked\r\n"),
                  .unit = print_chunk (LARGE_CHUNK_BYTES),
                  .n_units = MAX_BODY_BYTES / LARGE_CHUNK_BYTES };
  check_crowd (&crowd);
}

/* The same for bodies in chunks of one byte. */
static void
test_small_chunks (void)
{
  Crowd crowd = { .address = site->routers[0].callers_address,
                  .n_clients = 80,
                  .head = print_head ("Transfer-Encoding: chunked\r\n"),
                  .unit = print_small_chunks (),
                  .n_units = 2600000 / SMALL_CHUNKS_PER_UNIT };
  check_crowd (&crowd);
}

/* Guards against memory that is kept for bodies that are over the limit, while their clients go on
 * sending. */
static void
test_bodies_over_limit (void)
{
  Crowd crowd = { .address = site->routers[0].callers_address,
                  .n_clients = 80,
                  .head = print_head ("Transfer-Encoding: chunked\r\n"),
                  .unit = print_chunk (LARGE_CHUNK_BYTES),
                  .n_units = 4 * MAX_BODY_BYTES / LARGE_CHUNK_BYTES };
  check_crowd (&crowd);
}

/* Guards against memory that is reserved for an announced length. */
static void
test_announced_over_limit (void)
{
  Crowd crowd = { .address = site->routers[0].callers_address,
                  .n_clients = 80,
                  .head = print_head ("Content-Length: 1000000000000\r\n"),
                  .unit = fill (MAX_BODY_BYTES),
                  .n_units = 2 };
  check_crowd (&crowd);
}

/* Guards against memory that is used up by heads of many short fields that never end, whose fields
 * take more memory than their text. */
static void
test_endless_heads (void)
{
  Crowd crowd = { .address = site->routers[0].callers_address,
                  .n_clients = 2000,
                  .head = g_strdup ("GET /lookups/1 HTTP/1.1\r\n"),
                  .unit = g_string_new ("a:b\r\n"),
                  .n_units = 8000 };
  check_crowd (&crowd);
}

/* Returns whether the router has answered each of the clients with status 200. */
static gboolean
is_each_served (void)
{
  gboolean is_served = TRUE;
  for (guint i = 0; i < n_connected; i++)
    {
      char bytes[16] = "";
      struct pollfd entry = { .fd = clients[i].fd, .events = POLLIN };
      gboolean is_answered = poll (&entry, 1, READY_TIMEOUT_MS) > 0
                             && read (clients[i].fd, bytes, sizeof bytes - 1) > 0;
      is_served = is_served && is_answered && g_str_has_prefix (bytes, "HTTP/1.1 200");
    }
  return is_served;
}

/* Sends complete requests of so many fields that forwarding them blocks the loop for seconds, if
 * that takes time in proportion to the square of their number: the route's time and that of the
 * keys would pass. */
static void
check_many_fields (char *head, guint n_fields)
{
  Crowd crowd = { .address = site->routers[0].callers_address,
                  .n_clients = 10,
                  .head = head,
                  .unit = g_string_new (NULL),
                  .n_units = 1,
                  .tail = "\r\n" };
  for (guint i = 0; i < n_fields; i++)
    g_string_append (crowd.unit, "a:\r\n");
  start_router ();
  start_crowd (&crowd);
  CU_ASSERT (is_each_served ());
  end_crowd (&crowd);
}

#define PLAIN_HEAD                                                                                 \
  "GET /lookups/1 HTTP/1.1\r\nHost: " SITE_HOST "\r\nAuthorization: Bearer " SITE_KEY              \
  "\r\nX-Attempt-Id: crowd-NUMBER\r\n"

/* Guards against a loop that is blocked by requests with very many fields. */
static void
test_heads_of_many_fields (void)
{
  check_many_fields (g_strdup (PLAIN_HEAD), 15000);
}

/* The same for a Connection field that names very many others. */
static void
test_heads_of_many_options (void)
{
  GString *head = g_string_new (PLAIN_HEAD "Connection: ");
  for (guint i = 0; i < 4000; i++)
    g_string_append (head, "x,");
  g_string_append (head, "\r\n");
  check_many_fields (g_string_free (head, FALSE), 7000);
}

/* Guards against memory that is used up by requests that are sent before the answer to an earlier
 * one, which its client does not read. */
static void
test_pipelined_requests (void)
{
  char *stream = g_strdup_printf (
      "POST /streams/1?size=" EVENT_BYTES " HTTP/1.1\r\nHost: " SITE_HOST
      "\r\nAuthorization: Bearer " SITE_KEY
      "\r\nX-Attempt-Id: crowd-NUMBER\r\nX-Deadline-Ms: 60000\r\nContent-Length: %zu\r\n\r\n"
      "{stream}{chunked}{events 1}{end}",
      strlen ("{stream}{chunked}{events 1}{end}"));
  Crowd crowd = { .address = site->routers[0].callers_address,
                  .n_clients = 1400,
                  .head = stream,
                  .unit = fill (100000),
                  .n_units = 1 };
  check_crowd (&crowd);
}

/* The same for requests that are refused without being sent anywhere, whose clients need no key. */
static void
test_pipelined_refusals (void)
{
  Crowd crowd = { .address = site->routers[0].callers_address,
                  .n_clients = 2000,
                  .unit = g_string_new (NULL),
                  .n_units = 1 };
  for (guint i = 0; i < 1500; i++)
    g_string_append (crowd.unit, "GET / HTTP/1.1\r\nHost:a\r\n\r\n");
  crowd.head = g_strdup (crowd.unit->str);
  check_crowd (&crowd);
}

/* Guards against memory that is used up by answers that are never read. */
static void
test_unread_answers (void)
{
  GString *script = g_string_new ("{stream}{chunked}");
  for (guint i = 1; i <= 80; i++)
    g_string_append_printf (script, "{event %u}", i);
  g_string_append (script, "{end}");
  Crowd crowd = { .address = site->routers[0].callers_address, .n_clients = 600 };
  crowd.head = g_strdup_printf (
      "POST /streams/1?size=" EVENT_BYTES " HTTP/1.1\r\nHost: " SITE_HOST
      "\r\nAuthorization: Bearer " SITE_KEY
      "\r\nX-Attempt-Id: crowd-NUMBER\r\nX-Deadline-Ms: 60000\r\nContent-Length: %zu\r\n\r\n%s",
      script->len, script->str);
  g_string_free (script, TRUE);
  check_crowd (&crowd);
}

/* Guards against bodies at the port for the other instances, which are received before it is known
 * that they come from none. */
static void
test_bodies_at_peers_port (void)
{
  Crowd crowd = { .address = site->routers[0].peers_address,
                  .n_clients = 80,
                  .head = print_head ("Transfer-Encoding: chunked\r\n"),
                  .unit = print_chunk (LARGE_CHUNK_BYTES),
                  .n_units = MAX_BODY_BYTES / LARGE_CHUNK_BYTES };
  check_crowd (&crowd);
}

/* Guards against a configuration that allows larger bodies than the machine has memory for. */
static void
test_bodies_larger_than_memory (void)
{
  Crowd crowd = { .address = site->routers[0].callers_address,
                  .n_clients = 3,
                  .head = print_head ("Content-Length: 100000001\r\n"),
                  .unit = fill (1000000),
                  .n_units = 100 };
  char *settings = NULL;
  CU_ASSERT_FATAL (g_file_get_contents (site->routers[0].settings_path, &settings, NULL, NULL));
  char *bounded = g_strdup_printf ("%s\n[limits]\nmemory_mb = %d\n", settings, MACHINE_KB / 1000);
  g_file_set_contents (site->routers[0].settings_path, bounded, -1, NULL);
  write_config (3, 200000000);
  check_crowd (&crowd);
  write_config (4, MAX_BODY_BYTES);
  g_file_set_contents (site->routers[0].settings_path, settings, -1, NULL);
  g_free (bounded);
  g_free (settings);
}

/* Starts the crowd at a router with few descriptors, of which some must be left for runners. */
static void
check_crowd_with_few_descriptors (Crowd *crowd)
{
  struct rlimit usual;
  getrlimit (RLIMIT_NOFILE, &usual);
  struct rlimit few = { .rlim_cur = FEW_DESCRIPTORS, .rlim_max = usual.rlim_max };
  setrlimit (RLIMIT_NOFILE, &few);
  site_start_router (site, 0);
  setrlimit (RLIMIT_NOFILE, &usual);
  CU_ASSERT_FATAL (gg_wait_until (is_serving, NULL, READY_TIMEOUT_MS));
  start_crowd (crowd);
  CU_ASSERT (gg_wait_until (is_serving, NULL, READY_TIMEOUT_MS));
  CU_ASSERT (gg_wait_until (is_ready, NULL, READY_TIMEOUT_MS));
  CU_ASSERT_FALSE (gg_process_wait_exit (site->routers[0].process, 0));
  CU_ASSERT (count_descriptors () < FEW_DESCRIPTORS);
  end_crowd (crowd);
}

/* Guards against connections that leave no descriptor for runners, the store and the balancer. */
static void
test_idle_connections (void)
{
  Crowd crowd = { .address = site->routers[0].callers_address, .n_clients = 400 };
  check_crowd_with_few_descriptors (&crowd);
}

/* The same for requests that never end. */
static void
test_partial_requests (void)
{
  Crowd crowd = { .address = site->routers[0].callers_address,
                  .n_clients = 400,
                  .head = print_head ("Content-Length: 100\r\n") };
  check_crowd_with_few_descriptors (&crowd);
}

/* The same for the port of the balancer. */
static void
test_connections_at_ready_port (void)
{
  Crowd crowd = { .address = site->routers[0].ready_address,
                  .n_clients = 400,
                  .head = g_strdup ("GET /api/ready HTTP/1.1\r\n") };
  check_crowd_with_few_descriptors (&crowd);
}

/* The same for the port of the other instances. */
static void
test_connections_at_peers_port (void)
{
  Crowd crowd = { .address = site->routers[0].peers_address,
                  .n_clients = 400,
                  .head = g_strdup ("GET /configuration HTTP/1.1\r\n") };
  check_crowd_with_few_descriptors (&crowd);
}

static gboolean
set_up (void)
{
  site = site_create (1);
  if (site == NULL)
    return FALSE;
  char *address = gg_process_reserve_address ();
  const char *args[] = { "--listen", address, NULL };
  script_runner = gg_process_start ("gg-fake-script", args);
  gg_process_wait_listening (script_runner, LISTEN_TIMEOUT_MS);
  char *entry = g_strdup_printf ("{\"service\":\"script\",\"address\":\"%s\",\"zone\":\"north\","
                                 "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\",\"born\":1}",
                                 address, SCRIPT_SLOTS);
  site_put (site, "servers/script-0", entry);
  g_free (entry);
  g_free (address);
  write_config (2, MAX_BODY_BYTES);
  return gg_wait_until (is_serving, NULL, READY_TIMEOUT_MS);
}

int
main (int argc, char **argv)
{
  static const GgTestCase cases[] = {
    { "announced bodies that stop short", test_announced_bodies },
    { "medium bodies that stop short", test_medium_bodies },
    { "large chunks that stop short", test_large_chunks },
    { "chunks of one byte that stop short", test_small_chunks },
    { "bodies over the limit", test_bodies_over_limit },
    { "announced lengths over the limit", test_announced_over_limit },
    { "heads that never end", test_endless_heads },
    { "heads of many fields", test_heads_of_many_fields },
    { "heads of many options", test_heads_of_many_options },
    { "pipelined requests", test_pipelined_requests },
    { "pipelined refusals", test_pipelined_refusals },
    { "answers that are never read", test_unread_answers },
    { "bodies at the peers' port", test_bodies_at_peers_port },
    { "bodies larger than memory", test_bodies_larger_than_memory },
    { "idle connections", test_idle_connections },
    { "partial requests", test_partial_requests },
    { "connections at the readiness port", test_connections_at_ready_port },
    { "connections at the peers' port", test_connections_at_peers_port },
  };
  if (!set_up ())
    {
      fprintf (stderr, "the site does not serve\n");
      return EXIT_FAILURE;
    }
  int status = EXIT_SUCCESS;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    if ((argc < 2 || strcmp (argv[1], cases[i].name) == 0)
        && gg_test_run (cases[i].name, &cases[i], 1) != EXIT_SUCCESS)
      status = EXIT_FAILURE;
  gg_process_destroy (script_runner);
  site_destroy (site);
  return status;
}
