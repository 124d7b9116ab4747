#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <json-glib/json-glib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

typedef struct
{
  int fd;
  void (*on_accept) (Conn *conn);
  void *data;
  int number;
} Listener;

typedef struct
{
  uint64_t due_ms;
  void (*func) (void *data);
  void *data;
} Timer;

FILE *record_file;
Router routers[MAX_ROUTERS];
int n_routers;
static void on_store_accept (Conn *conn);
static GPtrArray *conns;  /* Conn */
static GArray *listeners; /* Listener */
static GArray *timers;    /* Timer */
static uint64_t n_conns;
static uint64_t start_ms;
static char *folder; /* of settings and logs */

uint64_t
now_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (uint64_t) ts.tv_sec * 1000 + (uint64_t) ts.tv_nsec / 1000000;
}

void
record (const char *format, ...)
{
  va_list args;
  fprintf (record_file, "%7.3f ", (double) (now_ms () - start_ms) / 1000);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
}

void
give_up (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
  stop_routers ();
  exit (2);
}

gboolean
has_trouble (void)
{
  return g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
}

static void
on_alarm (int number)
{
  for (int i = 0; i < n_routers; i++)
    if (routers[i].pid > 0)
      kill (routers[i].pid, SIGKILL);
  _exit (2);
}

void
world_init (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: %s RECORD\n", argv[0]);
      exit (2);
    }
  record_file = fopen (argv[1], "w");
  if (record_file == NULL)
    {
      perror (argv[1]);
      exit (2);
    }
  setvbuf (record_file, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_alarm);
  signal (SIGTERM, on_alarm);
  signal (SIGINT, on_alarm);
  alarm (110);
  folder = g_dir_make_tmp ("review-3-XXXXXX", NULL);
  conns = g_ptr_array_new ();
  listeners = g_array_new (FALSE, FALSE, sizeof (Listener));
  timers = g_array_new (FALSE, FALSE, sizeof (Timer));
  start_ms = now_ms ();
}

static Conn *
add_conn (int fd)
{
  Conn *self = g_new0 (Conn, 1);
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  fcntl (fd, F_SETFD, FD_CLOEXEC);
  self->fd = fd;
  self->in = g_string_new (NULL);
  self->out = g_string_new (NULL);
  self->serial = ++n_conns;
  g_ptr_array_add (conns, self);
  return self;
}

Conn *
find_conn (uint64_t serial)
{
  for (guint i = 0; i < conns->len; i++)
    {
      Conn *conn = g_ptr_array_index (conns, i);
      if (conn->serial == serial && conn->fd >= 0)
        return conn;
    }
  return NULL;
}

static struct sockaddr_in
make_address (const char *ip, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

static int
bind_free (const char *ip, int *port_out)
{
  struct sockaddr_in address = make_address (ip, 0);
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (fd, (struct sockaddr *) &address, sizeof address) != 0
      || getsockname (fd, (struct sockaddr *) &address, &size) != 0)
    give_up ("can't bind %s: %s", ip, strerror (errno));
  *port_out = ntohs (address.sin_port);
  return fd;
}

static void
add_listener (int fd, void (*on_accept) (Conn *conn), void *data, int number)
{
  Listener listener = { fd, on_accept, data, number };
  listen (fd, 512);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  g_array_append_val (listeners, listener);
}

int
find_free_port (const char *ip)
{
  int port = 0;
  close (bind_free (ip, &port));
  return port;
}

int
listen_at (void (*on_accept) (Conn *conn), void *data, int number)
{
  int port = 0;
  add_listener (bind_free ("127.0.0.1", &port), on_accept, data, number);
  return port;
}

void
listen_again_at (int port, void (*on_accept) (Conn *conn), void *data, int number)
{
  struct sockaddr_in address = make_address ("127.0.0.1", port);
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *) &address, sizeof address) != 0)
    give_up ("can't bind port %d again: %s", port, strerror (errno));
  add_listener (fd, on_accept, data, number);
}

void
stop_listening (int number)
{
  for (guint i = listeners->len; i-- > 0;)
    if (g_array_index (listeners, Listener, i).number == number
        && g_array_index (listeners, Listener, i).on_accept != on_store_accept)
      {
        close (g_array_index (listeners, Listener, i).fd);
        g_array_remove_index (listeners, i);
      }
}

/* Records a request of a client, if it has an id. */
static void
record_request (Conn *self, const char *text)
{
  static const char field[] = "\r\nX-Attempt-Id: ";
  const char *attempt = strstr (text, field);
  if (attempt == NULL)
    return;
  attempt += strlen (field);
  g_strlcpy (self->sent, attempt, MIN (sizeof self->sent, strcspn (attempt, "\r") + 1));
  self->is_answered = FALSE;
  record ("client sends %s to %s: %.*s", self->sent, self->peer, (int) strcspn (text, "\r"), text);
}

/* Records the first line of the answer that a client gets. */
static void
record_answer (Conn *self)
{
  if (self->sent[0] == '\0' || self->is_answered || strchr (self->in->str, '\r') == NULL)
    return;
  self->is_answered = TRUE;
  record ("client is answered on %s: %.*s", self->sent, (int) strcspn (self->in->str, "\r"),
          self->in->str);
}

Conn *
connect_to (const char *ip, int port, void (*on_data) (Conn *), void (*on_end) (Conn *))
{
  struct sockaddr_in address = make_address (ip, port);
  Conn *self = add_conn (socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  self->on_data = on_data;
  self->on_end = on_end;
  self->is_client = TRUE;
  g_snprintf (self->peer, sizeof self->peer, "%s:%d", ip, port);
  self->is_connecting = connect (self->fd, (struct sockaddr *) &address, sizeof address) != 0;
  return self;
}

void
conn_write (Conn *self, const char *format, ...)
{
  va_list args;
  gsize old_length = self->out->len;
  va_start (args, format);
  g_string_append_vprintf (self->out, format, args);
  va_end (args);
  if (self->is_client)
    record_request (self, self->out->str + old_length);
}

void
conn_close (Conn *self)
{
  if (self->fd >= 0)
    close (self->fd);
  self->fd = -1;
}

void
foreach_conn (gboolean (*is_meant) (const Conn *conn), void (*func) (Conn *conn))
{
  for (guint i = 0; i < conns->len; i++)
    {
      Conn *conn = g_ptr_array_index (conns, i);
      if (conn->fd >= 0 && is_meant (conn))
        func (conn);
    }
}

void
conn_reset (Conn *self)
{
  struct linger none = { 1, 0 };
  if (self->fd >= 0)
    setsockopt (self->fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
  conn_close (self);
}

static void
end_conn (Conn *self)
{
  if (self->fd < 0)
    return;
  conn_close (self);
  if (self->sent[0] != '\0')
    record ("the channel of %s ends%s", self->sent, self->is_answered ? "" : " without an answer");
  if (self->on_end != NULL)
    self->on_end (self);
}

void
at_ms (uint64_t due_ms, void (*func) (void *data), void *data)
{
  Timer timer = { due_ms, func, data };
  g_array_append_val (timers, timer);
}

/* Runs what is due.
 * @return the time until the next one, 20 ms at most. */
static int
run_timers (void)
{
  uint64_t now = now_ms ();
  uint64_t wait = 20;
  for (guint i = 0; i < timers->len;)
    {
      Timer timer = g_array_index (timers, Timer, i);
      if (timer.due_ms <= now)
        {
          g_array_remove_index (timers, i);
          timer.func (timer.data);
          continue;
        }
      wait = MIN (wait, timer.due_ms - now);
      i++;
    }
  return (int) wait;
}

static void
free_closed (void)
{
  for (guint i = conns->len; i-- > 0;)
    {
      Conn *conn = g_ptr_array_index (conns, i);
      if (conn->fd >= 0)
        continue;
      g_string_free (conn->in, TRUE);
      g_string_free (conn->out, TRUE);
      g_free (conn);
      g_ptr_array_remove_index_fast (conns, i);
    }
}

static void
flush (Conn *self)
{
  if (self->fd < 0 || self->is_connecting)
    return;
  if (self->out->len > 0)
    {
      ssize_t n = write (self->fd, self->out->str, self->out->len);
      if (n > 0)
        g_string_erase (self->out, 0, n);
      else if (n < 0 && errno != EAGAIN)
        end_conn (self);
    }
  if (self->fd >= 0 && self->out->len == 0 && self->closes_when_sent)
    conn_close (self);
}

static void
handle_events (Conn *self, short events)
{
  char bytes[65536];
  if (self->fd < 0)
    return;
  if (self->is_connecting && (events & (POLLOUT | POLLERR | POLLHUP)) != 0)
    {
      int error = 0;
      socklen_t size = sizeof error;
      getsockopt (self->fd, SOL_SOCKET, SO_ERROR, &error, &size);
      self->is_connecting = FALSE;
      if (error != 0)
        {
          end_conn (self);
          return;
        }
    }
  if ((events & (POLLIN | POLLERR | POLLHUP)) != 0 && !self->is_reading_paused)
    {
      ssize_t n = read (self->fd, bytes, sizeof bytes);
      if (n > 0)
        {
          g_string_append_len (self->in, bytes, n);
          record_answer (self);
          self->on_data (self);
        }
      else if (n == 0 || errno != EAGAIN)
        end_conn (self);
    }
  flush (self);
}

static void
accept_all (const Listener *listener)
{
  int fd;
  while ((fd = accept (listener->fd, NULL, NULL)) >= 0)
    {
      Conn *conn = add_conn (fd);
      conn->data = listener->data;
      conn->number = listener->number;
      listener->on_accept (conn);
    }
}

static void
run_once (void)
{
  int wait = run_timers ();
  free_closed ();
  for (guint i = 0; i < conns->len; i++)
    flush (g_ptr_array_index (conns, i));
  guint n = conns->len;
  guint n_listeners = listeners->len;
  struct pollfd *fds = g_new0 (struct pollfd, n + n_listeners);
  Conn **polled = g_new0 (Conn *, n);
  for (guint i = 0; i < n; i++)
    {
      polled[i] = g_ptr_array_index (conns, i);
      gboolean has_output = polled[i]->is_connecting || polled[i]->out->len > 0;
      fds[i].fd = polled[i]->fd;
      fds[i].events
          = (short) ((polled[i]->is_reading_paused ? 0 : POLLIN) | (has_output ? POLLOUT : 0));
    }
  for (guint i = 0; i < n_listeners; i++)
    fds[n + i]
        = (struct pollfd){ .fd = g_array_index (listeners, Listener, i).fd, .events = POLLIN };
  poll (fds, n + n_listeners, wait);
  for (guint i = 0; i < n; i++)
    if (fds[i].revents != 0)
      handle_events (polled[i], fds[i].revents);
  for (guint i = 0; i < n_listeners; i++)
    for (guint k = 0; k < listeners->len && fds[n + i].revents != 0; k++)
      if (g_array_index (listeners, Listener, k).fd == fds[n + i].fd)
        {
          Listener listener = g_array_index (listeners, Listener, k);
          accept_all (&listener);
          break;
        }
  g_free (fds);
  g_free (polled);
}

void
run_until_ms (uint64_t end_ms)
{
  while (now_ms () < end_ms)
    run_once ();
}

/* ---- HTTP ---- */

gboolean trims_names;

void
message_free (Message *self)
{
  g_free (self->first);
  g_ptr_array_unref (self->names);
  g_ptr_array_unref (self->values);
  g_string_free (self->body, TRUE);
  g_free (self);
}

const char *
message_get (const Message *self, const char *name)
{
  for (guint i = 0; i < self->names->len; i++)
    if (g_ascii_strcasecmp (g_ptr_array_index (self->names, i), name) == 0)
      return g_ptr_array_index (self->values, i);
  return NULL;
}

int
message_get_status (const Message *self)
{
  const char *space = strchr (self->first, ' ');
  return space != NULL ? atoi (space + 1) : 0;
}

/* Reads a chunked body at @p at.
 * @return the offset after it, 0 if it is not complete. */
static gsize
read_chunks (const GString *in, gsize at, GString *body)
{
  for (;;)
    {
      const char *end = strstr (in->str + at, "\r\n");
      if (end == NULL)
        return 0;
      gsize size = strtoul (in->str + at, NULL, 16);
      at = (gsize) (end - in->str) + 2;
      if (in->len < at + size + 2)
        return 0;
      g_string_append_len (body, in->str + at, (gssize) size);
      at += size + 2;
      if (size == 0)
        return at;
    }
}

Message *
take_message (GString *in)
{
  const char *end = strstr (in->str, "\r\n\r\n");
  if (end == NULL)
    return NULL;
  gsize at = (gsize) (end - in->str) + 4;
  char *head = g_strndup (in->str, at - 4);
  char **lines = g_strsplit (head, "\r\n", -1);
  Message *self = g_new0 (Message, 1);
  self->first = g_strdup (lines[0]);
  self->names = g_ptr_array_new_with_free_func (g_free);
  self->values = g_ptr_array_new_with_free_func (g_free);
  self->body = g_string_new (NULL);
  for (char **line = lines + 1; *line != NULL; line++)
    {
      char *colon = strchr (*line, ':');
      if (colon == NULL)
        continue;
      char *name = g_strndup (*line, (gsize) (colon - *line));
      g_ptr_array_add (self->names, trims_names ? g_strchomp (name) : name);
      g_ptr_array_add (self->values, g_strstrip (g_strdup (colon + 1)));
    }
  g_strfreev (lines);
  g_free (head);
  const char *length = message_get (self, "Content-Length");
  const char *coding = message_get (self, "Transfer-Encoding");
  gsize size = length != NULL ? strtoul (length, NULL, 10) : 0;
  if (coding != NULL && g_ascii_strcasecmp (coding, "chunked") == 0)
    at = read_chunks (in, at, self->body);
  else if (in->len < at + size)
    at = 0;
  else
    {
      g_string_append_len (self->body, in->str + at, (gssize) size);
      at += size;
    }
  if (at == 0)
    {
      message_free (self);
      return NULL;
    }
  g_string_erase (in, 0, (gssize) at);
  return self;
}

/* ---- Store ---- */

typedef struct
{
  char *key;
  char *value; /* base64; NULL for a deletion */
  uint64_t revision;
  uint64_t created;
  uint64_t lease;
} Item;

typedef struct
{
  uint64_t id;
  uint64_t ttl_ms;
  uint64_t end_ms;
} Lease;

typedef struct
{
  uint64_t serial; /* of the connection */
  int port;
  char *prefix;
  uint64_t after;
  uint64_t end_ms;
} Watch;

int (*port_of_runner) (int router, int runner);
static GTree *items;      /* key -> Item */
static GPtrArray *events; /* Item */
static GArray *leases;    /* Lease */
static GArray *watches;   /* Watch */
static uint64_t revision = 1;
static uint64_t n_leases = 1000;
static int store_ports[MAX_ROUTERS];
static gboolean is_turned_away[MAX_ROUTERS];

static void
reply_json (Conn *conn, int status, const char *body)
{
  conn_write (conn,
              "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
              status, strlen (body), body);
}

/* Returns the value of an item as one router sees it: in the entry of a runner, "@NUMBER" stands
 * for the address at which that router reaches it. */
static char *
get_value (const Item *item, int port)
{
  gsize size = 0;
  if (port_of_runner == NULL || !g_str_has_prefix (item->key, "servers/"))
    return g_strdup (item->value);
  char *bytes = (char *) g_base64_decode (item->value, &size);
  GString *text = g_string_new_len (bytes, (gssize) size);
  const char *mark = strchr (text->str, '@');
  if (mark != NULL)
    {
      int runner = atoi (mark + 1);
      char *from = g_strdup_printf ("@%d\"", runner);
      char *to = g_strdup_printf ("127.0.0.1:%d\"", port_of_runner (port, runner));
      g_string_replace (text, from, to, 0);
      g_free (from);
      g_free (to);
    }
  char *encoded = g_base64_encode ((const guchar *) text->str, text->len);
  g_string_free (text, TRUE);
  g_free (bytes);
  return encoded;
}

static void
print_item (GString *text, const Item *item, int port)
{
  if (item->value == NULL)
    g_string_append_printf (text,
                            "{\"key\":\"%s\",\"revision\":%" G_GUINT64_FORMAT ",\"is_gone\":true}",
                            item->key, (guint64) item->revision);
  else
    {
      char *value = get_value (item, port);
      g_string_append_printf (text,
                              "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
                              ",\"created\":%" G_GUINT64_FORMAT ",\"lease\":%" G_GUINT64_FORMAT "}",
                              item->key, value, (guint64) item->revision, (guint64) item->created,
                              (guint64) item->lease);
      g_free (value);
    }
}

/* Answers a watch if there are events after its revision, or if its time is over. */
static gboolean
answer_watch (const Watch *watch)
{
  Conn *conn = find_conn (watch->serial);
  if (conn == NULL)
    return TRUE;
  if (is_turned_away[watch->port])
    {
      reply_json (conn, 503, "{}");
      return TRUE;
    }
  GString *text = g_string_new ("{\"events\":[");
  guint n = 0;
  for (guint i = 0; i < events->len; i++)
    {
      const Item *item = g_ptr_array_index (events, i);
      if (item->revision <= watch->after || !g_str_has_prefix (item->key, watch->prefix))
        continue;
      g_string_append (text, n++ > 0 ? "," : "");
      print_item (text, item, watch->port);
    }
  g_string_append_printf (text, "],\"store_revision\":%" G_GUINT64_FORMAT "}", (guint64) revision);
  gboolean is_due = n > 0 || now_ms () >= watch->end_ms;
  if (is_due)
    reply_json (conn, 200, text->str);
  g_string_free (text, TRUE);
  return is_due;
}

static void
answer_watches (void)
{
  for (guint i = watches->len; i-- > 0;)
    if (answer_watch (&g_array_index (watches, Watch, i)))
      {
        g_free (g_array_index (watches, Watch, i).prefix);
        g_array_remove_index (watches, i);
      }
}

static void
add_event (const Item *item)
{
  Item *event = g_new0 (Item, 1);
  *event = *item;
  event->key = g_strdup (item->key);
  event->value = g_strdup (item->value);
  g_ptr_array_add (events, event);
}

static void
put_encoded (const char *key, const char *value, uint64_t lease)
{
  Item *item = g_tree_lookup (items, key);
  revision++;
  if (item == NULL)
    {
      item = g_new0 (Item, 1);
      item->key = g_strdup (key);
      item->created = revision;
      g_tree_insert (items, item->key, item);
    }
  g_free (item->value);
  item->value = g_strdup (value);
  item->revision = revision;
  item->lease = lease;
  add_event (item);
}

static void
delete_key (const char *key)
{
  const Item *item = g_tree_lookup (items, key);
  if (item == NULL)
    return;
  revision++;
  Item gone = { .key = g_strdup (key), .revision = revision };
  add_event (&gone);
  g_tree_remove (items, key);
  g_free (gone.key);
}

void
store_delete (const char *key)
{
  delete_key (key);
  answer_watches ();
}

void
store_put (const char *key, const char *value)
{
  char *encoded = g_base64_encode ((const guchar *) value, strlen (value));
  put_encoded (key, encoded, 0);
  g_free (encoded);
  answer_watches ();
}

static Lease *
find_lease (uint64_t id)
{
  for (guint i = 0; i < leases->len; i++)
    if (g_array_index (leases, Lease, i).id == id)
      return &g_array_index (leases, Lease, i);
  return NULL;
}

typedef struct
{
  uint64_t lease;
  GPtrArray *keys;
} LeaseKeys;

static gboolean
collect_leased (gpointer key, gpointer value, gpointer data)
{
  LeaseKeys *found = data;
  if (((const Item *) value)->lease == found->lease)
    g_ptr_array_add (found->keys, g_strdup (key));
  return FALSE;
}

static void
end_lease (uint64_t id)
{
  LeaseKeys found = { id, g_ptr_array_new_with_free_func (g_free) };
  g_tree_foreach (items, collect_leased, &found);
  for (guint i = 0; i < found.keys->len; i++)
    delete_key (g_ptr_array_index (found.keys, i));
  g_ptr_array_unref (found.keys);
  for (guint i = leases->len; i-- > 0;)
    if (g_array_index (leases, Lease, i).id == id)
      g_array_remove_index (leases, i);
}

static void
on_store_tick (void *data)
{
  for (guint i = leases->len; i-- > 0;)
    if (now_ms () > g_array_index (leases, Lease, i).end_ms)
      {
        record ("store: lease %" G_GUINT64_FORMAT " ends",
                (guint64) g_array_index (leases, Lease, i).id);
        end_lease (g_array_index (leases, Lease, i).id);
      }
  answer_watches ();
  at_ms (now_ms () + 10, on_store_tick, NULL);
}

static char *
get_query (const char *target, const char *name)
{
  const char *query = strchr (target, '?');
  char **pairs = g_strsplit (query != NULL ? query + 1 : "", "&", -1);
  char *found = NULL;
  for (char **pair = pairs; *pair != NULL && found == NULL; pair++)
    if (g_str_has_prefix (*pair, name) && (*pair)[strlen (name)] == '=')
      found = g_uri_unescape_string (*pair + strlen (name) + 1, NULL);
  g_strfreev (pairs);
  return found;
}

static uint64_t
get_query_uint (const char *target, const char *name)
{
  char *text = get_query (target, name);
  uint64_t number = text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
  g_free (text);
  return number;
}

typedef struct
{
  const char *prefix;
  const char *after;
  GString *text;
  guint n;
  int port;
} Range;

static gboolean
add_to_range (gpointer key, gpointer value, gpointer data)
{
  Range *range = data;
  if (!g_str_has_prefix (key, range->prefix) || strcmp (key, range->after) <= 0)
    return FALSE;
  g_string_append (range->text, range->n++ > 0 ? "," : "");
  print_item (range->text, value, range->port);
  return FALSE;
}

static void
handle_range (Conn *conn, const char *target)
{
  char *prefix = get_query (target, "path_prefix");
  char *after = get_query (target, "after");
  Range range = { prefix != NULL ? prefix : "", after != NULL ? after : "",
                  g_string_new ("{\"items\":["), 0, conn->number };
  g_tree_foreach (items, add_to_range, &range);
  g_string_append_printf (range.text,
                          "],\"has_more\":false,\"store_revision\":%" G_GUINT64_FORMAT "}",
                          (guint64) revision);
  reply_json (conn, 200, range.text->str);
  g_string_free (range.text, TRUE);
  g_free (prefix);
  g_free (after);
}

static void
handle_key (Conn *conn, const char *target)
{
  char *key = get_query (target, "key");
  const Item *item = key != NULL ? g_tree_lookup (items, key) : NULL;
  GString *text = g_string_new (NULL);
  if (item != NULL)
    {
      print_item (text, item, conn->number);
      g_string_truncate (text, text->len - 1);
      g_string_append_printf (text, ",\"store_revision\":%" G_GUINT64_FORMAT "}",
                              (guint64) revision);
    }
  reply_json (conn, item != NULL ? 200 : 404, item != NULL ? text->str : "{}");
  g_string_free (text, TRUE);
  g_free (key);
}

static JsonArray *
get_array (JsonObject *object, const char *name)
{
  return json_object_has_member (object, name) ? json_object_get_array_member (object, name) : NULL;
}

static guint
get_length (JsonArray *array)
{
  return array != NULL ? json_array_get_length (array) : 0;
}

/* Returns whether all expected revisions are as expected; prints the current items otherwise. */
static gboolean
check_expected (JsonArray *expected, GString *text, int port)
{
  gboolean is_met = TRUE;
  guint n = 0;
  g_string_append (text, "{\"items\":[");
  for (guint i = 0; i < get_length (expected); i++)
    {
      JsonObject *row = json_array_get_object_element (expected, i);
      const Item *item = g_tree_lookup (items, json_object_get_string_member (row, "key"));
      uint64_t current = item != NULL ? item->revision : 0;
      is_met &= current == (uint64_t) json_object_get_int_member (row, "revision");
      if (item == NULL)
        continue;
      g_string_append (text, n++ > 0 ? "," : "");
      print_item (text, item, port);
    }
  g_string_append (text, "]}");
  return is_met;
}

static void
handle_transaction (Conn *conn, JsonObject *object)
{
  GString *text = g_string_new (NULL);
  JsonArray *puts = get_array (object, "puts");
  JsonArray *deletes = get_array (object, "deletes");
  int status = check_expected (get_array (object, "expected"), text, conn->number) ? 200 : 412;
  for (guint i = 0; i < get_length (puts) && status == 200; i++)
    {
      JsonObject *put = json_array_get_object_element (puts, i);
      uint64_t lease = (uint64_t) json_object_get_int_member_with_default (put, "lease", 0);
      if (lease != 0 && find_lease (lease) == NULL)
        status = 404;
    }
  for (guint i = 0; i < get_length (puts) && status == 200; i++)
    {
      JsonObject *put = json_array_get_object_element (puts, i);
      put_encoded (json_object_get_string_member (put, "key"),
                   json_object_get_string_member (put, "value"),
                   (uint64_t) json_object_get_int_member_with_default (put, "lease", 0));
      record ("store: %s is written", json_object_get_string_member (put, "key"));
    }
  for (guint i = 0; i < get_length (deletes) && status == 200; i++)
    delete_key (json_array_get_string_element (deletes, i));
  if (status == 200)
    g_string_printf (text, "{\"revision\":%" G_GUINT64_FORMAT "}", (guint64) revision);
  reply_json (conn, status, status == 404 ? "{}" : text->str);
  g_string_free (text, TRUE);
}

static void
handle_lease (Conn *conn, const char *path, JsonObject *object)
{
  char text[96];
  uint64_t id = g_ascii_strtoull (strrchr (path, '/') + 1, NULL, 10);
  Lease *lease = find_lease (id);
  if (strcmp (path, "/api/kv-lease") == 0)
    {
      Lease added = { .id = ++n_leases,
                      .ttl_ms = (uint64_t) json_object_get_int_member (object, "ttl_ms") };
      added.end_ms = now_ms () + added.ttl_ms;
      g_array_append_val (leases, added);
      lease = find_lease (added.id);
    }
  if (lease == NULL)
    {
      reply_json (conn, 404, "{}");
      return;
    }
  if (g_str_has_prefix (path, "/api/kv-lease-end/"))
    {
      end_lease (id);
      reply_json (conn, 200, "{}");
      return;
    }
  lease->end_ms = now_ms () + lease->ttl_ms;
  g_snprintf (text, sizeof text,
              "{\"lease\":%" G_GUINT64_FORMAT ",\"ttl_ms\":%" G_GUINT64_FORMAT "}",
              (guint64) lease->id, (guint64) lease->ttl_ms);
  reply_json (conn, 200, text);
}

static void
handle_call (Conn *conn, const Message *call)
{
  char **words = g_strsplit (call->first, " ", 3);
  const char *target = words[1];
  char *path = g_strndup (target, strcspn (target, "?"));
  JsonParser *parser = json_parser_new ();
  JsonObject *object = NULL;
  if (call->body->len > 0
      && json_parser_load_from_data (parser, call->body->str, (gssize) call->body->len, NULL))
    object = json_node_get_object (json_parser_get_root (parser));
  if (is_turned_away[conn->number])
    reply_json (conn, 503, "{}");
  else if (strcmp (path, "/api/kv-key") == 0)
    handle_key (conn, target);
  else if (strcmp (path, "/api/kv-range") == 0)
    handle_range (conn, target);
  else if (strcmp (path, "/api/kv-watch") == 0)
    {
      Watch watch
          = { conn->serial, conn->number, get_query (target, "path_prefix"),
              get_query_uint (target, "after"), now_ms () + get_query_uint (target, "wait_ms") };
      g_array_append_val (watches, watch);
    }
  else if (strcmp (path, "/api/kv-txn") == 0 && object != NULL)
    handle_transaction (conn, object);
  else if (g_str_has_prefix (path, "/api/kv-lease") || g_str_has_prefix (path, "/api/kv-keep/"))
    handle_lease (conn, path, object);
  else
    reply_json (conn, 404, "{}");
  answer_watches ();
  g_object_unref (parser);
  g_free (path);
  g_strfreev (words);
}

static void
on_store_data (Conn *conn)
{
  Message *call;
  while ((call = take_message (conn->in)) != NULL)
    {
      handle_call (conn, call);
      message_free (call);
    }
}

static void
on_store_accept (Conn *conn)
{
  conn->on_data = on_store_data;
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}

void
store_start (int n_ports)
{
  items = g_tree_new_full (compare_keys, NULL, NULL, NULL);
  events = g_ptr_array_new ();
  leases = g_array_new (FALSE, FALSE, sizeof (Lease));
  watches = g_array_new (FALSE, FALSE, sizeof (Watch));
  for (int i = 0; i < n_ports; i++)
    store_ports[i] = listen_at (on_store_accept, NULL, i);
  on_store_tick (NULL);
}

void
store_turn_away (int router, gboolean is_away)
{
  is_turned_away[router] = is_away;
  record ("store: %s router %s", is_away ? "turns away (503)" : "serves again",
          routers[router].name);
  answer_watches ();
}

/* ---- Routers ---- */

/* Replaces all occurrences of a placeholder. */
static void
fill_in (GString *text, const char *name, const char *value)
{
  char *placeholder = g_strdup_printf ("{{%s}}", name);
  g_string_replace (text, placeholder, value, 0);
  g_free (placeholder);
}

/* Renders the template of the deploy file with the bounds of a small deployment. */
static char *
render_settings (const Router *router, const char *zone, int store_port)
{
  char *template = NULL;
  if (!g_file_get_contents ("deploy/settings.ini.in", &template, NULL, NULL))
    give_up ("deploy/settings.ini.in: can't be read; start in the repository's root");
  GString *text = g_string_new (template);
  char *front = g_strdup_printf ("%s:%d", router->ip, router->callers);
  char *ready = g_strdup_printf ("%s:%d", router->ip, router->ready);
  char *store = g_strdup_printf ("127.0.0.1:%d", store_port);
  char *inner = g_strdup_printf ("%d", find_free_port (router->ip));
  const char *const values[][2] = {
    { "node", router->name },
    { "zone", zone },
    { "limits.cpu_share", "0.25" },
    { "bootstrap", "true" },
    { "listen.front", front },
    { "listen.ready_addr", ready },
    { "ip", router->ip },
    { "inner_ports.0", inner },
    { "platform.address", store },
    { "platform.ttl_min_ms", "1000" },
    { "bounds.require_fence", "true" },
    { "bounds.budget_window_s", "10" },
    { "bounds.budget_ratio", "0.2" },
    { "bounds.budget_extra", "202" },
    { "bounds.revoke_ms", "5000" },
    { "bounds.strict_revoke", "true" },
    { "bounds.grace_s", "8" },
  };
  for (guint i = 0; i < G_N_ELEMENTS (values); i++)
    fill_in (text, values[i][0], values[i][1]);
  if (strstr (text->str, "{{") != NULL)
    give_up ("deploy/settings.ini.in: unknown placeholder in\n%s", text->str);
  g_free (template);
  g_free (front);
  g_free (ready);
  g_free (store);
  g_free (inner);
  return g_string_free (text, FALSE);
}

void
start_router (const char *name, const char *zone)
{
  Router *router = &routers[n_routers];
  router->name = g_strdup (name);
  g_snprintf (router->ip, sizeof router->ip, "127.0.7.%d", n_routers + 1);
  router->callers = find_free_port (router->ip);
  router->ready = find_free_port (router->ip);
  char *path = g_strdup_printf ("%s/%s.ini", folder, name);
  char *log = g_strdup_printf ("%s/%s.log", folder, name);
  char *text = render_settings (router, zone, store_ports[n_routers]);
  g_file_set_contents (path, text, -1, NULL);
  n_routers++;
  router->pid = fork ();
  if (router->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execl ("target/bin/greengage-routerd", "greengage-routerd", "--settings", path, NULL);
      _exit (127);
    }
  g_free (text);
  g_free (path);
  g_free (log);
}

static gboolean is_all_ready;

static void
on_ready_data (Conn *conn)
{
  if (g_str_has_prefix (conn->in->str, "HTTP/1.1 503"))
    is_all_ready = FALSE;
  conn_close (conn);
}

static void
on_ready_end (Conn *conn)
{
  is_all_ready = FALSE;
}

void
await_ready (void)
{
  for (uint64_t end_ms = now_ms () + 15000; now_ms () < end_ms;)
    {
      is_all_ready = TRUE;
      for (int i = 0; i < n_routers; i++)
        {
          Conn *conn = connect_to (routers[i].ip, routers[i].ready, on_ready_data, on_ready_end);
          conn_write (conn, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        }
      run_until_ms (now_ms () + 300);
      if (is_all_ready)
        {
          record ("all routers are ready");
          return;
        }
    }
  give_up ("routers are not ready within 15 s; logs in %s", folder);
}

void
stop_routers (void)
{
  for (int i = 0; i < n_routers; i++)
    if (routers[i].pid > 0)
      kill (routers[i].pid, SIGKILL);
  for (int i = 0; i < n_routers; i++)
    if (routers[i].pid > 0)
      {
        waitpid (routers[i].pid, NULL, 0);
        routers[i].pid = 0;
        char *path = g_strdup_printf ("%s/%s.ini", folder, routers[i].name);
        char *log = g_strdup_printf ("%s/%s.log", folder, routers[i].name);
        if (g_getenv ("KEEP") == NULL)
          {
            unlink (path);
            unlink (log);
          }
        g_free (path);
        g_free (log);
      }
  if (folder != NULL && g_getenv ("KEEP") == NULL)
    rmdir (folder);
}
