#ifndef _GNU_SOURCE
#define _GNU_SOURCE
#endif
#include "rig.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_ROUTERS 8
#define MAX_RUNNERS 8
#define MAX_ATTEMPTS 20000
#define GRACE_S 8
#define MAX_S 110
#define FIRST_PORT 20000
#define N_PORTS 12000

static FILE *record;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;
static uint64_t started_ms;
static bool has_trouble = true;
static char folder[128];
static const char *program = "target/bin/greengage-routerd";
static Router *routers[MAX_ROUTERS];
static int n_routers;
static Runner *runners[MAX_RUNNERS];
static int n_runners;
static volatile bool is_ending;

uint64_t
now_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (uint64_t) ts.tv_sec * 1000 + (uint64_t) ts.tv_nsec / 1000000;
}

static uint64_t
wall_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_REALTIME, &ts);
  return (uint64_t) ts.tv_sec * 1000 + (uint64_t) ts.tv_nsec / 1000000;
}

void
pause_ms (uint64_t ms)
{
  struct timespec ts = { .tv_sec = (time_t) (ms / 1000), .tv_nsec = (long) (ms % 1000) * 1000000 };
  while (nanosleep (&ts, &ts) != 0 && errno == EINTR)
    ;
}

void
note (const char *format, ...)
{
  va_list args;
  pthread_mutex_lock (&record_mutex);
  fprintf (record, "%7.3f  ", (double) (now_ms () - started_ms) / 1000);
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_mutex);
}

void
give_up (const char *format, ...)
{
  char text[512];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  if (record != NULL)
    note ("could not run: %s", text);
  fprintf (stderr, "could not run: %s\n", text);
  rig_end ();
  _exit (2);
}

void
text_add_bytes (Text *text, const void *bytes, size_t n)
{
  text->bytes = realloc (text->bytes, text->length + n + 1);
  memcpy (text->bytes + text->length, bytes, n);
  text->length += n;
  text->bytes[text->length] = '\0';
}

void
text_add (Text *text, const char *format, ...)
{
  char *more = NULL;
  va_list args;
  va_start (args, format);
  int n = vasprintf (&more, format, args);
  va_end (args);
  if (n >= 0)
    text_add_bytes (text, more, (size_t) n);
  free (more);
}

void
text_clear (Text *text)
{
  free (text->bytes);
  *text = (Text){ 0 };
}

/* Connections */

static int
parse_address (const char *address, struct sockaddr_in *out)
{
  char host[64];
  const char *colon = strrchr (address, ':');
  if (colon == NULL || (size_t) (colon - address) >= sizeof host)
    return -1;
  memcpy (host, address, (size_t) (colon - address));
  host[colon - address] = '\0';
  *out = (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t) atoi (colon + 1)) };
  return inet_pton (AF_INET, host, &out->sin_addr) == 1 ? 0 : -1;
}

int
connect_to (const char *address)
{
  struct sockaddr_in target;
  int one = 1;
  if (parse_address (address, &target) != 0)
    return -1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *) &target, sizeof target) == 0)
    return fd;
  close (fd);
  return -1;
}

static int
listen_at (const char *address)
{
  struct sockaddr_in local;
  int one = 1;
  parse_address (address, &local);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *) &local, sizeof local) != 0 || listen (fd, 256) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static void
get_local (int fd, char *address, size_t size)
{
  struct sockaddr_in local;
  socklen_t n = sizeof local;
  getsockname (fd, (struct sockaddr *) &local, &n);
  snprintf (address, size, "127.0.0.1:%u", ntohs (local.sin_port));
}

/* Finds a port that is free now, below those that the kernel gives to outgoing connections, so that
 * none of these takes it before the router does. */
static void
reserve_address (char *address, size_t size)
{
  static unsigned next;
  if (next == 0)
    next = (unsigned) getpid () * 37 + (unsigned) wall_ms ();
  for (int i = 0; i < 200; i++)
    {
      next += 7;
      snprintf (address, size, "127.0.0.1:%u", FIRST_PORT + next % N_PORTS);
      int fd = listen_at (address);
      if (fd < 0)
        continue;
      close (fd);
      return;
    }
  give_up ("no free port");
}

bool
send_all (int fd, const void *bytes, size_t n)
{
  const char *at = bytes;
  while (n > 0)
    {
      ssize_t sent = send (fd, at, n, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      at += sent;
      n -= (size_t) sent;
    }
  return true;
}

/* Reads one byte at most until a time.
 * @return 1, 0 at the end of the connection, -1 after a reset or the time. */
static int
read_some (int fd, char *bytes, size_t size, uint64_t until_ms)
{
  for (;;)
    {
      uint64_t now = now_ms ();
      struct pollfd entry = { .fd = fd, .events = POLLIN };
      if (now >= until_ms)
        return -1;
      int n = poll (&entry, 1, (int) (until_ms - now));
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return -1;
      ssize_t got = recv (fd, bytes, size, 0);
      if (got < 0 && errno == EINTR)
        continue;
      return got > 0 ? (int) got : got == 0 ? 0 : -1;
    }
}

static bool
read_line (int fd, char *line, size_t size, uint64_t until_ms)
{
  size_t n = 0;
  for (;;)
    {
      char c;
      if (read_some (fd, &c, 1, until_ms) != 1)
        return false;
      if (c == '\n')
        break;
      if (n + 1 < size)
        line[n++] = c;
    }
  if (n > 0 && line[n - 1] == '\r')
    n--;
  line[n] = '\0';
  return true;
}

static int
read_body (int fd, Text *body, size_t n, uint64_t until_ms)
{
  char bytes[16384];
  while (n > 0)
    {
      int got = read_some (fd, bytes, n < sizeof bytes ? n : sizeof bytes, until_ms);
      if (got <= 0)
        return got;
      text_add_bytes (body, bytes, (size_t) got);
      n -= (size_t) got;
    }
  return 1;
}

bool
message_read (int fd, Message *message, bool is_answer, uint64_t timeout_ms)
{
  uint64_t until_ms = now_ms () + timeout_ms;
  char line[8192];
  char value[256];
  Text body = { 0 };
  *message = (Message){ 0 };
  if (!read_line (fd, message->start, sizeof message->start, until_ms))
    return false;
  size_t n = 0;
  for (;;)
    {
      if (!read_line (fd, line, sizeof line, until_ms))
        return false;
      if (line[0] == '\0')
        break;
      n += (size_t) snprintf (
          message->head + n, n < sizeof message->head ? sizeof message->head - n : 0, "%s\n", line);
    }
  if (is_answer && sscanf (message->start, "HTTP/1.%*d %d", &message->status) != 1)
    message->status = 0;
  text_add_bytes (&body, "", 0);
  message_get (message, "Transfer-Encoding", value, sizeof value);
  if (strcasecmp (value, "chunked") == 0)
    for (;;)
      {
        if (!read_line (fd, line, sizeof line, until_ms))
          break;
        size_t size = strtoull (line, NULL, 16);
        if (size > 0 && read_body (fd, &body, size, until_ms) != 1)
          break;
        if (!read_line (fd, line, sizeof line, until_ms))
          break;
        if (size == 0)
          {
            message->is_whole = true;
            break;
          }
      }
  else
    {
      message_get (message, "Content-Length", value, sizeof value);
      if (value[0] != '\0')
        message->is_whole = read_body (fd, &body, strtoull (value, NULL, 10), until_ms) == 1;
      else if (is_answer)
        message->is_whole = read_body (fd, &body, SIZE_MAX, until_ms) == 0;
      else
        message->is_whole = true;
    }
  message->body = body.bytes;
  message->body_bytes = body.length;
  return true;
}

void
message_clear (Message *message)
{
  free (message->body);
  message->body = NULL;
}

static const char *
find_field (const char *at, const char *name)
{
  size_t n = strlen (name);
  while (*at != '\0')
    {
      if (strncasecmp (at, name, n) == 0 && at[n] == ':')
        return at + n + 1;
      at = strchr (at, '\n');
      if (at == NULL)
        return NULL;
      at++;
    }
  return NULL;
}

void
message_get (const Message *message, const char *name, char *value, size_t size)
{
  const char *at = find_field (message->head, name);
  value[0] = '\0';
  if (at == NULL)
    return;
  while (*at == ' ' || *at == '\t')
    at++;
  size_t n = strcspn (at, "\n");
  snprintf (value, size, "%.*s", (int) n, at);
}

int
message_count (const Message *message, const char *name)
{
  int n = 0;
  for (const char *at = message->head; (at = find_field (at, name)) != NULL;)
    n++;
  return n;
}

/* The store */

#define MAX_ITEMS 4096
#define MAX_LEASES 512

typedef struct
{
  char key[208];
  char *value; /* base64; NULL for a removal */
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

static struct
{
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  char address[32];
  int listener;
  Item items[MAX_ITEMS]; /* the present ones */
  int n_items;
  Item history[MAX_ITEMS];
  int n_history;
  uint64_t dropped; /* revision up to which the history is gone */
  uint64_t revision;
  Lease leases[MAX_LEASES];
  int n_leases;
  uint64_t next_lease;
  bool is_down;
} store = { .mutex = PTHREAD_MUTEX_INITIALIZER,
            .changed = PTHREAD_COND_INITIALIZER,
            .revision = 1,
            .next_lease = 100 };

static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *
encode (const char *text)
{
  size_t n = strlen (text);
  char *out = malloc (n / 3 * 4 + 8);
  size_t k = 0;
  for (size_t i = 0; i < n; i += 3)
    {
      uint32_t v = (uint32_t) (unsigned char) text[i] << 16;
      if (i + 1 < n)
        v |= (uint32_t) (unsigned char) text[i + 1] << 8;
      if (i + 2 < n)
        v |= (uint32_t) (unsigned char) text[i + 2];
      out[k++] = digits[v >> 18 & 63];
      out[k++] = digits[v >> 12 & 63];
      out[k++] = i + 1 < n ? digits[v >> 6 & 63] : '=';
      out[k++] = i + 2 < n ? digits[v & 63] : '=';
    }
  out[k] = '\0';
  return out;
}

static Item *
find_item (const char *key)
{
  for (int i = 0; i < store.n_items; i++)
    if (strcmp (store.items[i].key, key) == 0)
      return &store.items[i];
  return NULL;
}

static void
add_history (const Item *item)
{
  if (store.n_history == MAX_ITEMS)
    {
      int n = MAX_ITEMS / 2;
      store.dropped = store.history[n - 1].revision;
      for (int i = 0; i < n; i++)
        free (store.history[i].value);
      memmove (store.history, store.history + n, (size_t) (MAX_ITEMS - n) * sizeof (Item));
      store.n_history -= n;
    }
  Item copy = *item;
  copy.value = item->value != NULL ? strdup (item->value) : NULL;
  store.history[store.n_history++] = copy;
}

/* Takes ownership of value. */
static void
put_locked (const char *key, char *value, uint64_t lease)
{
  Item *item = find_item (key);
  store.revision++;
  if (item == NULL)
    {
      item = &store.items[store.n_items++];
      *item = (Item){ .created = store.revision };
      snprintf (item->key, sizeof item->key, "%s", key);
    }
  free (item->value);
  item->value = value;
  item->revision = store.revision;
  item->lease = lease;
  add_history (item);
  pthread_cond_broadcast (&store.changed);
}

static void
delete_locked (const char *key)
{
  Item *item = find_item (key);
  if (item == NULL)
    return;
  Item gone = *item;
  gone.value = NULL;
  gone.revision = ++store.revision;
  add_history (&gone);
  free (item->value);
  *item = store.items[--store.n_items];
  pthread_cond_broadcast (&store.changed);
}

void
store_put (const char *key, const char *value)
{
  char *encoded = encode (value);
  pthread_mutex_lock (&store.mutex);
  const Item *item = find_item (key);
  if (item != NULL && strcmp (item->value, encoded) == 0)
    free (encoded);
  else
    put_locked (key, encoded, 0);
  pthread_mutex_unlock (&store.mutex);
}

void
store_delete (const char *key)
{
  pthread_mutex_lock (&store.mutex);
  delete_locked (key);
  pthread_mutex_unlock (&store.mutex);
}

void
store_set_down (bool is_down)
{
  pthread_mutex_lock (&store.mutex);
  store.is_down = is_down;
  pthread_cond_broadcast (&store.changed);
  pthread_mutex_unlock (&store.mutex);
}

int
store_count (const char *prefix)
{
  int n = 0;
  pthread_mutex_lock (&store.mutex);
  for (int i = 0; i < store.n_items; i++)
    n += strncmp (store.items[i].key, prefix, strlen (prefix)) == 0;
  pthread_mutex_unlock (&store.mutex);
  return n;
}

static Lease *
find_lease (uint64_t id)
{
  for (int i = 0; i < store.n_leases; i++)
    if (store.leases[i].id == id)
      return &store.leases[i];
  return NULL;
}

static void
end_lease_locked (Lease *lease)
{
  uint64_t id = lease->id;
  *lease = store.leases[--store.n_leases];
  for (int i = store.n_items - 1; i >= 0; i--)
    if (store.items[i].lease == id)
      {
        char key[208];
        snprintf (key, sizeof key, "%s", store.items[i].key);
        delete_locked (key);
      }
}

static void *
run_leases (void *data)
{
  (void) data;
  while (!is_ending)
    {
      pause_ms (20);
      pthread_mutex_lock (&store.mutex);
      for (int i = store.n_leases - 1; i >= 0; i--)
        if (now_ms () >= store.leases[i].end_ms)
          end_lease_locked (&store.leases[i]);
      pthread_mutex_unlock (&store.mutex);
    }
  return NULL;
}

static void
print_item (Text *out, const Item *item)
{
  if (item->value == NULL)
    text_add (out, "{\"key\":\"%s\",\"revision\":%llu,\"is_gone\":true}", item->key,
              (unsigned long long) item->revision);
  else
    text_add (out,
              "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%llu,\"created\":%llu,\"lease\":%llu",
              item->key, item->value, (unsigned long long) item->revision,
              (unsigned long long) item->created, (unsigned long long) item->lease);
  if (item->value != NULL)
    text_add (out, "}");
}

static void
get_query (const char *target, const char *name, char *value, size_t size)
{
  char wanted[64];
  snprintf (wanted, sizeof wanted, "%s=", name);
  const char *at = strchr (target, '?');
  value[0] = '\0';
  while (at != NULL)
    {
      at++;
      if (strncmp (at, wanted, strlen (wanted)) == 0)
        {
          size_t k = 0;
          for (at += strlen (wanted); *at != '\0' && *at != '&' && k + 1 < size; at++)
            if (*at == '%' && isxdigit (at[1]) && isxdigit (at[2]))
              {
                char hex[3] = { at[1], at[2], '\0' };
                value[k++] = (char) strtol (hex, NULL, 16);
                at += 2;
              }
            else
              value[k++] = *at;
          value[k] = '\0';
          return;
        }
      at = strchr (at, '&');
    }
}

/* Reads a string or a number that follows a name in JSON text, before the end of its object. */
static bool
read_member (const char *at, const char *end, const char *name, char *value, size_t size)
{
  char wanted[64];
  snprintf (wanted, sizeof wanted, "\"%s\":", name);
  const char *found = strstr (at, wanted);
  if (found == NULL || found >= end)
    return false;
  found += strlen (wanted);
  size_t n = *found == '"' ? strcspn (++found, "\"") : strcspn (found, ",}]");
  if (n >= size)
    n = size - 1;
  memcpy (value, found, n);
  value[n] = '\0';
  return true;
}

static bool
reply (int fd, int status, const char *body)
{
  Text out = { 0 };
  text_add (&out,
            "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            status, status == 200 ? "OK" : "No", strlen (body), body);
  bool is_sent = send_all (fd, out.bytes, out.length);
  text_clear (&out);
  return is_sent;
}

static int
serve_watch (const char *target, Text *out)
{
  char prefix[256], after[32], wait[32];
  get_query (target, "path_prefix", prefix, sizeof prefix);
  get_query (target, "after", after, sizeof after);
  get_query (target, "wait_ms", wait, sizeof wait);
  uint64_t from = strtoull (after, NULL, 10);
  uint64_t until_ms = now_ms () + strtoull (wait, NULL, 10);
  if (from < store.dropped || from > store.revision)
    return 410;
  for (;;)
    {
      int n = 0;
      text_clear (out);
      text_add (out, "{\"events\":[");
      for (int i = 0; i < store.n_history; i++)
        if (store.history[i].revision > from
            && strncmp (store.history[i].key, prefix, strlen (prefix)) == 0)
          {
            text_add (out, n++ > 0 ? "," : "");
            print_item (out, &store.history[i]);
          }
      text_add (out, "],\"store_revision\":%llu}", (unsigned long long) store.revision);
      if (n > 0 || now_ms () >= until_ms || is_ending || store.is_down)
        return 200;
      struct timespec ts;
      clock_gettime (CLOCK_REALTIME, &ts);
      ts.tv_nsec += 20 * 1000000;
      ts.tv_sec += ts.tv_nsec / 1000000000;
      ts.tv_nsec %= 1000000000;
      pthread_cond_timedwait (&store.changed, &store.mutex, &ts);
    }
}

/* A transaction on any number of keys. */
static int
serve_write (const char *body, Text *out)
{
  char key[208], value[64];
  const char *puts = strstr (body, "\"puts\":");
  const char *deletes = strstr (body, "\"deletes\":");
  const char *end = body + strlen (body);
  const char *at = strstr (body, "\"expected\":");
  bool is_conflict = false;
  if (at == NULL || puts == NULL || deletes == NULL)
    return 400;
  text_add (out, "{\"items\":[");
  for (int n = 0; (at = strstr (at, "{\"key\":")) != NULL && at < puts; at++, n++)
    {
      read_member (at, puts, "key", key, sizeof key);
      read_member (at, puts, "revision", value, sizeof value);
      const Item *item = find_item (key);
      uint64_t expected = strtoull (value, NULL, 10);
      is_conflict |= (item != NULL ? item->revision : 0) != expected;
      text_add (out, n > 0 ? "," : "");
      if (item != NULL)
        print_item (out, item);
      else
        text_add (out, "{\"key\":\"%s\",\"revision\":0,\"is_gone\":true}", key);
    }
  text_add (out, "]}");
  if (is_conflict)
    return 412;
  for (at = puts; (at = strstr (at, "{\"key\":")) != NULL && at < deletes; at++)
    {
      read_member (at, deletes, "lease", value, sizeof value);
      uint64_t lease = strtoull (value, NULL, 10);
      if (lease != 0 && find_lease (lease) == NULL)
        return 404;
    }
  for (at = puts; (at = strstr (at, "{\"key\":")) != NULL && at < deletes; at++)
    {
      char *text = malloc (strlen (body) + 1);
      read_member (at, deletes, "key", key, sizeof key);
      read_member (at, deletes, "value", text, strlen (body) + 1);
      read_member (at, deletes, "lease", value, sizeof value);
      put_locked (key, text, strtoull (value, NULL, 10));
    }
  for (at = strchr (deletes, '['); at != NULL && at < end && *at != ']'; at++)
    if (*at == '"')
      {
        size_t n = strcspn (at + 1, "\"");
        snprintf (key, sizeof key, "%.*s", (int) n, at + 1);
        delete_locked (key);
        at += n + 1;
      }
  text_clear (out);
  text_add (out, "{\"revision\":%llu}", (unsigned long long) store.revision);
  return 200;
}

static int
serve_store (const char *method, const char *target, const char *body, Text *out)
{
  char value[256];
  if (strncmp (target, "/api/kv-key", 11) == 0)
    {
      get_query (target, "key", value, sizeof value);
      const Item *item = find_item (value);
      if (item == NULL)
        {
          text_add (out, "{\"store_revision\":%llu}", (unsigned long long) store.revision);
          return 404;
        }
      print_item (out, item);
      out->bytes[--out->length] = '\0';
      text_add (out, ",\"store_revision\":%llu}", (unsigned long long) store.revision);
      return 200;
    }
  if (strncmp (target, "/api/kv-range", 13) == 0)
    {
      int n = 0;
      get_query (target, "path_prefix", value, sizeof value);
      text_add (out, "{\"items\":[");
      for (int i = 0; i < store.n_items; i++)
        if (strncmp (store.items[i].key, value, strlen (value)) == 0)
          {
            text_add (out, n++ > 0 ? "," : "");
            print_item (out, &store.items[i]);
          }
      text_add (out, "],\"has_more\":false,\"store_revision\":%llu}",
                (unsigned long long) store.revision);
      return 200;
    }
  if (strncmp (target, "/api/kv-watch", 13) == 0)
    return serve_watch (target, out);
  if (strcmp (target, "/api/kv-txn") == 0)
    return serve_write (body, out);
  if (strcmp (target, "/api/kv-lease") == 0 && strcmp (method, "POST") == 0)
    {
      read_member (body, body + strlen (body), "ttl_ms", value, sizeof value);
      Lease lease = { .id = store.next_lease++, .ttl_ms = strtoull (value, NULL, 10) };
      lease.end_ms = now_ms () + lease.ttl_ms;
      if (store.n_leases < MAX_LEASES)
        store.leases[store.n_leases++] = lease;
      text_add (out, "{\"lease\":%llu,\"ttl_ms\":%llu}", (unsigned long long) lease.id,
                (unsigned long long) lease.ttl_ms);
      return 200;
    }
  if (strncmp (target, "/api/kv-keep/", 13) == 0)
    {
      Lease *lease = find_lease (strtoull (target + 13, NULL, 10));
      if (lease == NULL)
        {
          text_add (out, "{}");
          return 404;
        }
      lease->end_ms = now_ms () + lease->ttl_ms;
      text_add (out, "{\"ttl_ms\":%llu}", (unsigned long long) lease->ttl_ms);
      return 200;
    }
  if (strncmp (target, "/api/kv-lease-end/", 18) == 0)
    {
      Lease *lease = find_lease (strtoull (target + 18, NULL, 10));
      if (lease != NULL)
        end_lease_locked (lease);
      text_add (out, "{}");
      return lease != NULL ? 200 : 404;
    }
  text_add (out, "{}");
  return 404;
}

static void *
run_store_connection (void *data)
{
  int fd = (int) (intptr_t) data;
  Message request;
  char method[16], target[1024];
  bool is_open = true;
  while (is_open && message_read (fd, &request, false, 120000))
    {
      Text out = { 0 };
      text_add_bytes (&out, "", 0);
      if (sscanf (request.start, "%15s %1023s", method, target) != 2)
        break;
      pause_ms (2);
      pthread_mutex_lock (&store.mutex);
      bool was_down = store.is_down;
      int status = was_down ? 0 : serve_store (method, target, request.body, &out);
      bool is_down = was_down || store.is_down;
      pthread_mutex_unlock (&store.mutex);
      is_open = !is_down && reply (fd, status, out.bytes);
      text_clear (&out);
      message_clear (&request);
    }
  close (fd);
  return NULL;
}

static void
start_thread (void *(*func) (void *), void *data)
{
  pthread_t thread;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 512 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, func, data) != 0)
    give_up ("no thread");
  pthread_attr_destroy (&attributes);
}

static void *
run_store (void *data)
{
  (void) data;
  for (;;)
    {
      int fd = accept4 (store.listener, NULL, NULL, SOCK_CLOEXEC);
      int one = 1;
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      start_thread (run_store_connection, (void *) (intptr_t) fd);
    }
  return NULL;
}

void
store_start (void)
{
  store.listener = listen_at ("127.0.0.1:0");
  if (store.listener < 0)
    give_up ("the store can't listen");
  get_local (store.listener, store.address, sizeof store.address);
  start_thread (run_store, NULL);
  start_thread (run_leases, NULL);
}

const char *
store_get_address (void)
{
  return store.address;
}

/* Runners */

static struct
{
  pthread_mutex_t mutex;
  struct
  {
    char attempt[128];
    int n;
  } runs[MAX_ATTEMPTS];
  int n;
  int n_all;
} ran = { .mutex = PTHREAD_MUTEX_INITIALIZER };

void
run (Arrival *arrival)
{
  char tenant[64];
  message_get (&arrival->request, "X-Tenant", tenant, sizeof tenant);
  pthread_mutex_lock (&ran.mutex);
  int i = 0;
  while (i < ran.n && strcmp (ran.runs[i].attempt, arrival->attempt) != 0)
    i++;
  if (i == ran.n && ran.n < MAX_ATTEMPTS)
    snprintf (ran.runs[ran.n++].attempt, sizeof ran.runs[0].attempt, "%s", arrival->attempt);
  ran.runs[i].n++;
  ran.n_all++;
  pthread_mutex_unlock (&ran.mutex);
  note ("%s runs %s (%s %s, tenant %s)", arrival->runner->id, arrival->attempt, arrival->method,
        arrival->target, tenant[0] != '\0' ? tenant : "-");
}

int
count_runs (const char *attempt)
{
  int n = 0;
  pthread_mutex_lock (&ran.mutex);
  for (int i = 0; i < ran.n; i++)
    if (strcmp (ran.runs[i].attempt, attempt) == 0)
      n = ran.runs[i].n;
  pthread_mutex_unlock (&ran.mutex);
  return n;
}

int
count_all_runs (void)
{
  pthread_mutex_lock (&ran.mutex);
  int n = ran.n_all;
  pthread_mutex_unlock (&ran.mutex);
  return n;
}

bool
answer (Arrival *arrival, int status, const char *fields, const char *body)
{
  Text out = { 0 };
  text_add (&out, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %zu\r\n\r\n%s", status,
            status == 200 ? "OK" : "Other", arrival->attempt, fields, strlen (body), body);
  bool is_sent = send_all (arrival->fd, out.bytes, out.length);
  text_clear (&out);
  return is_sent;
}

typedef struct
{
  Runner *runner;
  int fd;
} RunnerConnection;

static void
forget_fd (Runner *self, int fd)
{
  pthread_mutex_lock (&self->mutex);
  for (int i = 0; i < self->n_fds; i++)
    if (self->fds[i] == fd)
      self->fds[i] = self->fds[--self->n_fds];
  close (fd);
  pthread_mutex_unlock (&self->mutex);
}

static void *
run_runner_connection (void *data)
{
  RunnerConnection connection = *(RunnerConnection *) data;
  Runner *self = connection.runner;
  free (data);
  bool is_open = true;
  for (int n = 1; is_open; n++)
    {
      Arrival *arrival = calloc (1, sizeof *arrival);
      char wanted[64];
      *arrival = (Arrival){ .runner = self, .fd = connection.fd, .number = n };
      if (!message_read (connection.fd, &arrival->request, false, 120000)
          || sscanf (arrival->request.start, "%15s %1023s", arrival->method, arrival->target) != 2)
        {
          free (arrival);
          break;
        }
      message_get (&arrival->request, "X-Attempt-Id", arrival->attempt, sizeof arrival->attempt);
      message_get (&arrival->request, "X-Target-Instance", wanted, sizeof wanted);
      if (wanted[0] != '\0' && strcmp (wanted, self->id) != 0)
        {
          char field[128];
          snprintf (field, sizeof field, "X-Instance-Id: %s\r\n", self->id);
          is_open = answer (arrival, 421, field, "");
        }
      else if (strcmp (arrival->target, "/health") == 0)
        {
          char field[128];
          snprintf (field, sizeof field, "X-Instance-Id: %s\r\n", self->id);
          is_open = answer (arrival, 200, field, "");
        }
      else
        is_open = self->behave (arrival);
      message_clear (&arrival->request);
      free (arrival);
    }
  forget_fd (self, connection.fd);
  return NULL;
}

static void *
run_runner (void *data)
{
  Runner *self = data;
  int listener = self->listener;
  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      int one = 1;
      if (fd < 0 && errno == EINTR)
        continue;
      if (fd < 0)
        return NULL;
      pthread_mutex_lock (&self->mutex);
      bool is_refused = !self->is_listening || self->n_fds == 512;
      if (!is_refused)
        self->fds[self->n_fds++] = fd;
      pthread_mutex_unlock (&self->mutex);
      if (is_refused)
        {
          close (fd);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      RunnerConnection *connection = malloc (sizeof *connection);
      *connection = (RunnerConnection){ self, fd };
      start_thread (run_runner_connection, connection);
    }
}

static void
register_runner (Runner *self)
{
  char key[128], value[512];
  snprintf (key, sizeof key, "servers/%s", self->id);
  snprintf (
      value, sizeof value,
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
      "\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":%llu}",
      self->service, self->address, self->zone, self->slots, (unsigned long long) self->born);
  self->is_registered = true;
  store_put (key, value);
}

Runner *
runner_start (const char *id, const char *service, const char *zone, Behaviour behave)
{
  Runner *self = calloc (1, sizeof *self);
  snprintf (self->id, sizeof self->id, "%s", id);
  snprintf (self->service, sizeof self->service, "%s", service);
  snprintf (self->zone, sizeof self->zone, "%s", zone);
  pthread_mutex_init (&self->mutex, NULL);
  self->slots = 6;
  self->behave = behave;
  self->born = wall_ms ();
  reserve_address (self->address, sizeof self->address);
  self->listener = listen_at (self->address);
  if (self->listener < 0)
    give_up ("a runner can't listen");
  self->is_listening = true;
  runners[n_runners++] = self;
  start_thread (run_runner, self);
  register_runner (self);
  note ("runner %s of %s starts at %s", id, service, self->address);
  return self;
}

void
runner_kill (Runner *self)
{
  struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  pthread_mutex_lock (&self->mutex);
  self->is_listening = false;
  shutdown (self->listener, SHUT_RDWR);
  close (self->listener);
  for (int i = 0; i < self->n_fds; i++)
    {
      setsockopt (self->fds[i], SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown (self->fds[i], SHUT_RDWR);
    }
  pthread_mutex_unlock (&self->mutex);
  note ("runner %s crashes", self->id);
}

void
runner_restart (Runner *self)
{
  self->listener = listen_at (self->address);
  if (self->listener < 0)
    give_up ("a runner can't listen again");
  self->born = wall_ms ();
  self->is_listening = true;
  start_thread (run_runner, self);
  register_runner (self);
  note ("runner %s starts again", self->id);
}

/* Routers */

static void
write_settings (const Router *self, const char *zone)
{
  FILE *file = fopen (self->settings, "w");
  if (file == NULL)
    give_up ("can't write the settings");
  /* As deploy/settings.ini.in is filled in, with the figures of a small deployment. */
  fprintf (file,
           "[instance]\nname = %s\ndata_centre = %s\nprocessor_share = 0.25\nfirst_start = true\n\n"
           "[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n\n"
           "[store]\naddress = %s\nlease_floor_ms = 1000\n\n[runners]\nfenced_orders = true\n\n"
           "[retries]\nwindow_s = 10\nratio = 0.2\nextra = 202\n\n"
           "[keys]\nrevoke_ms = 5000\nstrict = true\n\n[stop]\ngrace_s = %d\n",
           self->name, zone, self->callers, self->ready, self->peers, self->metrics, store.address,
           GRACE_S);
  fclose (file);
}

void
router_start_again (Router *self)
{
  self->ended = -1;
  self->pid = fork ();
  if (self->pid < 0)
    give_up ("can't start a router");
  if (self->pid == 0)
    {
      int log = open (self->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (log, STDOUT_FILENO);
      dup2 (log, STDERR_FILENO);
      execl (program, program, "--settings", self->settings, (char *) NULL);
      _exit (127);
    }
  note ("router %s starts, callers at %s", self->name, self->callers);
}

Router *
router_start (const char *name, const char *zone)
{
  Router *self = calloc (1, sizeof *self);
  snprintf (self->name, sizeof self->name, "%s", name);
  reserve_address (self->callers, sizeof self->callers);
  reserve_address (self->ready, sizeof self->ready);
  reserve_address (self->peers, sizeof self->peers);
  reserve_address (self->metrics, sizeof self->metrics);
  snprintf (self->settings, sizeof self->settings, "%s/%s.ini", folder, name);
  snprintf (self->log, sizeof self->log, "%s/%s.log", folder, name);
  write_settings (self, zone);
  routers[n_routers++] = self;
  router_start_again (self);
  return self;
}

bool
router_is_alive (Router *self)
{
  int status = 0;
  if (self->ended == -1 && waitpid (self->pid, &status, WNOHANG) == self->pid)
    {
      self->ended = status;
      if (WIFSIGNALED (status))
        note ("router %s has ended by signal %d", self->name, WTERMSIG (status));
      else
        note ("router %s has ended with status %d", self->name, WEXITSTATUS (status));
    }
  return self->ended == -1;
}

bool
router_wait_ready (Router *self, uint64_t timeout_ms)
{
  uint64_t until_ms = now_ms () + timeout_ms;
  while (now_ms () < until_ms && router_is_alive (self))
    {
      Message message = { 0 };
      int fd = connect_to (self->ready);
      bool is_ready = fd >= 0 && call (fd, "GET", "/api/ready", "", NULL, &message, 1000)
                      && message.status == 200;
      message_clear (&message);
      if (fd >= 0)
        close (fd);
      if (is_ready)
        return true;
      pause_ms (100);
    }
  return false;
}

void
router_signal (Router *self, int number)
{
  if (!router_is_alive (self))
    return;
  note ("router %s gets signal %d", self->name, number);
  kill (self->pid, number);
}

/* Callers */

void
new_attempt (char *attempt)
{
  static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
  static unsigned n;
  pthread_mutex_lock (&mutex);
  snprintf (attempt, 32, "%08x%08x", (unsigned) getpid (), ++n);
  pthread_mutex_unlock (&mutex);
}

bool
call (int fd,
      const char *method,
      const char *target,
      const char *fields,
      const char *body,
      Message *answer,
      uint64_t timeout_ms)
{
  Text out = { 0 };
  *answer = (Message){ 0 };
  text_add (&out, "%s %s HTTP/1.1\r\nHost: " HOST "\r\n%s", method, target, fields);
  if (body != NULL)
    text_add (&out, "Content-Length: %zu\r\n", strlen (body));
  text_add (&out, "\r\n%s", body != NULL ? body : "");
  bool is_sent = send_all (fd, out.bytes, out.length);
  text_clear (&out);
  return is_sent && message_read (fd, answer, true, timeout_ms);
}

bool
call_once (const Router *router,
           const char *method,
           const char *target,
           const char *fields,
           const char *body,
           Message *answer,
           char *attempt_out,
           uint64_t timeout_ms)
{
  char all[2048];
  *answer = (Message){ 0 };
  new_attempt (attempt_out);
  snprintf (all, sizeof all, "X-Attempt-Id: %s\r\n%s", attempt_out, fields);
  int fd = connect_to (router->callers);
  if (fd < 0)
    {
      note ("%s %s can't be sent to %s: no channel", method, target, router->name);
      return false;
    }
  note ("%s %s is sent to %s, attempt %s", method, target, router->name, attempt_out);
  bool is_answered = call (fd, method, target, all, body, answer, timeout_ms);
  close (fd);
  if (is_answered)
    note ("attempt %s is answered %d%s", attempt_out, answer->status,
          answer->is_whole ? "" : ", cut");
  else
    note ("attempt %s has no answer", attempt_out);
  return is_answered;
}

char *
config_print (int version, const char *tenants, const char *health)
{
  Text out = { 0 };
  text_add (
      &out,
      "{\"version\":%d,\"routes\":["
      "{\"name\":\"bookings\",\"host\":\"" HOST "\",\"path_prefix\":\"/bookings/\","
      "\"kind\":\"non_idempotent\",\"timeout_ms\":2000,\"goal_ms\":100,\"priority\":2,"
      "\"service\":\"desk\",\"max_attempts\":1,\"anonymous\":false,\"sticky\":false},"
      "{\"name\":\"lookups\",\"host\":\"" HOST "\",\"path_prefix\":\"/lookups/\","
      "\"kind\":\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":100,\"priority\":2,"
      "\"service\":\"desk\",\"max_attempts\":2,\"anonymous\":false,\"sticky\":false},"
      "{\"name\":\"notes\",\"host\":\"" HOST "\",\"path_prefix\":\"/notes/\","
      "\"kind\":\"streaming\",\"timeout_ms\":20000,\"goal_ms\":500,\"priority\":1,"
      "\"service\":\"desk\",\"max_attempts\":2,\"anonymous\":false,\"sticky\":false,"
      "\"stream_resume\":true,\"gap_target_ms\":200}],"
      "\"services\":[{\"name\":\"desk\",%s\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}",
      version, health);
  if (tenants != NULL)
    text_add (&out, ",\"tenants\":%s", tenants);
  text_add (&out, "}");
  return out.bytes;
}

/* Start and end */

/* Ends the routers; nothing else is safe in a signal handler. */
static void
on_time_over (int number)
{
  static const char text[] = "could not run: the time is over\n";
  (void) number;
  for (int i = 0; i < n_routers; i++)
    if (routers[i]->ended == -1)
      kill (routers[i]->pid, SIGKILL);
  ssize_t ignored = write (STDERR_FILENO, text, sizeof text - 1);
  (void) ignored;
  _exit (2);
}

bool
rig_has_trouble (void)
{
  return has_trouble;
}

void
rig_start (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  const char *other = getenv ("ROUTERD");
  const char *temporary = getenv ("TMPDIR");
  if (argc != 2 || (record = fopen (argv[1], "w")) == NULL)
    {
      fprintf (stderr, "usage: %s RECORD\n", argv[0]);
      exit (2);
    }
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_time_over);
  signal (SIGTERM, on_time_over);
  signal (SIGINT, on_time_over);
  alarm (MAX_S);
  started_ms = now_ms ();
  has_trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  if (other != NULL)
    program = other;
  snprintf (folder, sizeof folder, "%s/review-XXXXXX", temporary != NULL ? temporary : "/tmp");
  if (mkdtemp (folder) == NULL)
    give_up ("no temporary folder");
  if (access (program, X_OK) != 0)
    give_up ("no program %s", program);
  note ("with the disruption: %s", has_trouble ? "yes" : "no");
  store_start ();
}

void
rig_end (void)
{
  is_ending = true;
  for (int i = 0; i < n_routers; i++)
    if (router_is_alive (routers[i]))
      {
        kill (routers[i]->pid, SIGKILL);
        waitpid (routers[i]->pid, &routers[i]->ended, 0);
      }
  const char *keep = getenv ("KEEP_LOGS");
  for (int i = 0; i < n_routers && keep == NULL; i++)
    {
      unlink (routers[i]->settings);
      unlink (routers[i]->log);
    }
  if (keep == NULL)
    rmdir (folder);
}
