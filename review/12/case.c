/* LIMIT: the store turns two of six routers away (503) while the runners name a Server-Limit.
 * Counts what reaches each runner from routers that have passed on an answer with the limit. */
#include "../standins-3/world.h"

#include <stdlib.h>
#include <string.h>

#define N_ROUTERS 6
#define N_RUNNERS 2
#define N_CLIENTS_EACH 6
/* Requests a second that each runner takes from all routers together. */
#define LIMIT 20.0
#define WORK_MS 15
#define DEADLINE_MS 1500
/* Bounds of the kivu-barges deployment, and the rule's own figures. */
#define CONTACT_MS 3000
#define WINDOW_MS 4000
#define MAX_IN_WINDOW (1.5 * LIMIT * WINDOW_MS / 1000 + 5)
#define PASSED_ON_MS 500
/* For so long the store turns the two routers away; days of the deployment have 9.0 s and more. */
#define TURNED_AWAY_MS 9000
#define WARM_MS 2000
#define LIMITED_MS 5000
#define AFTER_MS 3000

typedef struct
{
  uint64_t time_ms;
  int router;
} Arrival;

typedef struct
{
  char id[16];
  uint64_t first_named_ms;          /* 0: not yet */
  GArray *arrivals;                 /* Arrival */
  uint64_t passed_on_ms[N_ROUTERS]; /* when the router passed on an answer with the limit; 0: not */
} Runner;

typedef struct
{
  Conn *conn;
  int router;
} Client;

/* An answer that is due. */
typedef struct
{
  uint64_t serial;
  int runner;
  char *attempt;
} Answer;

static Runner runners[N_RUNNERS];
static Client clients[N_ROUTERS * N_CLIENTS_EACH];
static gboolean is_limited;
static gboolean is_over;
static uint64_t n_attempts;
static uint64_t n_served;
static uint64_t n_refused;
static uint64_t n_failed;

static void
answer (void *data)
{
  Answer *due = data;
  Conn *conn = find_conn (due->serial);
  Runner *runner = &runners[due->runner];
  char limit[48] = "";
  if (is_limited)
    {
      g_snprintf (limit, sizeof limit, "Server-Limit: %.1f\r\n", LIMIT);
      if (runner->first_named_ms == 0)
        {
          runner->first_named_ms = now_ms ();
          record ("runner %s first names Server-Limit %.1f", runner->id, LIMIT);
        }
    }
  if (conn != NULL)
    conn_write (conn,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\n%s"
                "Content-Length: 2\r\n\r\nok",
                due->attempt, runner->id, limit);
  g_free (due->attempt);
  g_free (due);
}

static void
on_runner_data (Conn *conn)
{
  Message *request;
  while ((request = take_message (conn->in)) != NULL)
    {
      const char *attempt = message_get (request, "X-Attempt-Id");
      if (attempt == NULL) /* a health probe */
        conn_write (conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
                    runners[conn->number].id);
      else
        {
          /* An attempt begins with the number of the router that it is sent to. */
          Arrival arrival = { now_ms (), attempt[0] - '0' };
          g_array_append_val (runners[conn->number].arrivals, arrival);
          record ("runner %s runs %s", runners[conn->number].id, attempt);
          Answer *due = g_new0 (Answer, 1);
          due->serial = conn->serial;
          due->runner = conn->number;
          due->attempt = g_strdup (attempt);
          at_ms (now_ms () + WORK_MS, answer, due);
        }
      message_free (request);
    }
}

static void
on_runner_accept (Conn *conn)
{
  conn->on_data = on_runner_data;
}

static void send_next (void *data);

static void
on_client_data (Conn *conn)
{
  Client *client = conn->data;
  Message *response = take_message (conn->in);
  if (response == NULL)
    return;
  int status = message_get_status (response);
  uint64_t pause_ms = 0;
  const char *signature = message_get (response, "X-Response-Signature");
  if (status == 200 && message_get (response, "Server-Limit") != NULL)
    for (int i = 0; i < N_RUNNERS; i++)
      if (g_strcmp0 (signature, runners[i].id) == 0 && runners[i].passed_on_ms[client->router] == 0)
        {
          runners[i].passed_on_ms[client->router] = now_ms ();
          record ("router %s passes on an answer of %s with the limit",
                  routers[client->router].name, runners[i].id);
        }
  if (status == 200)
    n_served++;
  else if (status == 503)
    {
      /* Honoured up to a third of the time left. */
      const char *retry_after = message_get (response, "Retry-After");
      n_refused++;
      pause_ms = (uint64_t) (1000 * MIN (retry_after != NULL ? atof (retry_after) : 0, 0.5));
    }
  else
    n_failed++;
  const char *connection = message_get (response, "Connection");
  if (connection != NULL && strcmp (connection, "close") == 0)
    {
      conn_close (conn);
      client->conn = NULL;
    }
  message_free (response);
  at_ms (now_ms () + pause_ms, send_next, client);
}

static void
on_client_end (Conn *conn)
{
  Client *client = conn->data;
  n_failed++;
  client->conn = NULL;
  at_ms (now_ms () + 100, send_next, client);
}

static void
send_next (void *data)
{
  Client *client = data;
  const Router *router = &routers[client->router];
  if (is_over)
    return;
  if (client->conn == NULL)
    {
      client->conn = connect_to (router->ip, router->callers, on_client_data, on_client_end);
      client->conn->data = client;
    }
  conn_write (client->conn,
              "GET /lookups/1 HTTP/1.1\r\nHost: " WORLD_HOST
              "\r\nX-Attempt-Id: %d%015" G_GINT64_MODIFIER "x\r\nX-Deadline-Ms: %d\r\n\r\n",
              client->router, (guint64) ++n_attempts, DEADLINE_MS);
}

static void
write_config (void)
{
  store_put ("op/config",
             "{\"version\":1,\"routes\":[{\"name\":\"lookups\",\"host\":\"" WORLD_HOST
             "\",\"path_prefix\":\"/lookups/\",\"kind\":\"idempotent\",\"timeout_ms\":1500,"
             "\"goal_ms\":100,\"priority\":2,\"service\":\"desk\",\"max_attempts\":2,"
             "\"anonymous\":true}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
             "\"max_conns\":110}],\"limits\":{\"max_header_bytes\":16384,"
             "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
}

static void
start_runners (void)
{
  for (int i = 0; i < N_RUNNERS; i++)
    {
      g_snprintf (runners[i].id, sizeof runners[i].id, "i-%d", i);
      runners[i].arrivals = g_array_new (FALSE, FALSE, sizeof (Arrival));
      int port = listen_at (on_runner_accept, NULL, i);
      char *key = g_strdup_printf ("servers/%s", runners[i].id);
      char *entry = g_strdup_printf (
          "{\"service\":\"desk\",\"address\":\"127.0.0.1:%d\",\"zone\":\"west\",\"version\":1,"
          "\"slots\":40,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1000}",
          port);
      store_put (key, entry);
      g_free (key);
      g_free (entry);
    }
}

/* Whether an arrival counts: later than contact_ms after the limit was first named, by a router
 * that had passed on such an answer half a second before or earlier. */
static gboolean
is_counted (const Runner *runner, const Arrival *arrival)
{
  uint64_t passed_on_ms = runner->passed_on_ms[arrival->router];
  return runner->first_named_ms != 0 && arrival->time_ms >= runner->first_named_ms + CONTACT_MS
         && passed_on_ms != 0 && arrival->time_ms >= passed_on_ms + PASSED_ON_MS;
}

/* @return whether the rule held. */
static gboolean
judge (const Runner *runner)
{
  GArray *counted = g_array_new (FALSE, FALSE, sizeof (Arrival));
  guint worst = 0;
  guint first = 0;
  guint worst_first = 0;
  for (guint i = 0; i < runner->arrivals->len; i++)
    {
      const Arrival *arrival = &g_array_index (runner->arrivals, Arrival, i);
      if (is_counted (runner, arrival))
        g_array_append_val (counted, *arrival);
    }
  for (guint i = 0; i < counted->len; i++)
    {
      uint64_t time_ms = g_array_index (counted, Arrival, i).time_ms;
      while (g_array_index (counted, Arrival, first).time_ms + WINDOW_MS < time_ms)
        first++;
      if (i + 1 - first > worst)
        {
          worst = i + 1 - first;
          worst_first = first;
        }
    }
  guint by_router[N_ROUTERS] = { 0 };
  for (guint i = worst_first; i < worst_first + worst; i++)
    by_router[g_array_index (counted, Arrival, i).router]++;
  GString *text = g_string_new (NULL);
  for (int i = 0; i < N_ROUTERS; i++)
    g_string_append_printf (text, " %s=%u", routers[i].name, by_router[i]);
  record ("runner %s: %u requests counted, at most %u in 4 s (by router:%s); allowed %.0f",
          runner->id, counted->len, worst, text->str, MAX_IN_WINDOW);
  printf ("runner %s: at most %u requests in 4 s (%s ), allowed %.0f\n", runner->id, worst,
          text->str, MAX_IN_WINDOW);
  g_string_free (text, TRUE);
  g_array_unref (counted);
  return worst <= MAX_IN_WINDOW;
}

int
main (int argc, char **argv)
{
  const char *const names[N_ROUTERS] = { "front-west-1", "front-west-2", "front-west-3",
                                         "front-east-1", "front-east-2", "front-east-3" };
  world_init (argc, argv);
  store_start (N_ROUTERS);
  write_config ();
  start_runners ();
  for (int i = 0; i < N_ROUTERS; i++)
    start_router (names[i], i < N_ROUTERS / 2 ? "west" : "east");
  await_ready ();
  run_until_ms (now_ms () + 1500); /* all routers have registered */
  for (guint i = 0; i < G_N_ELEMENTS (clients); i++)
    {
      clients[i].router = (int) i % N_ROUTERS;
      send_next (&clients[i]);
    }
  run_until_ms (now_ms () + WARM_MS);
  is_limited = TRUE;
  run_until_ms (now_ms () + LIMITED_MS);
  for (int i = 0; i < 2 && has_trouble (); i++)
    store_turn_away (i, TRUE);
  run_until_ms (now_ms () + TURNED_AWAY_MS);
  for (int i = 0; i < 2 && has_trouble (); i++)
    store_turn_away (i, FALSE);
  run_until_ms (now_ms () + AFTER_MS);
  is_over = TRUE;
  run_until_ms (now_ms () + 500);
  gboolean has_held = TRUE;
  for (int i = 0; i < N_RUNNERS; i++)
    has_held &= judge (&runners[i]);
  record ("served %" G_GUINT64_FORMAT ", refused %" G_GUINT64_FORMAT ", failed %" G_GUINT64_FORMAT,
          (guint64) n_served, (guint64) n_refused, (guint64) n_failed);
  stop_routers ();
  gboolean has_worked = n_served > 500;
  for (int i = 0; i < N_RUNNERS; i++)
    for (int k = 0; k < N_ROUTERS; k++)
      has_worked &= runners[i].passed_on_ms[k] != 0;
  if (!has_worked)
    give_up ("too little was served to judge");
  record (has_held ? "LIMIT held" : "LIMIT is broken");
  printf ("%s\n", has_held ? "LIMIT held" : "LIMIT is broken");
  return has_held ? 0 : 1;
}
