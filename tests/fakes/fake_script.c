/* Fake runner of the users' platform that sends what its caller asks for in the body of the
 * request, also what is no valid HTTP. The body holds one answer for each run of the request,
 * separated by ANSWER_SEPARATOR; the last one also serves all further runs. A request with
 * Last-Event-Id gets the second answer at least.
 *
 * An answer is sent as written, except for placeholders: {event N} is the event N of the stream as
 * a chunk, {half N} the first part of it, {cut N} the same part in a chunk of the whole size,
 * {events N} that event and all later ones, {raw ...} the same without chunks, {length N} the
 * length of these events as a header field, {id}, {stream}, {chunked} and so on parts of heads.
 * N may be "next", the event after Last-Event-Id. {pause}, {close} and {reset} are instructions;
 * {paced} sends one event after the other with pauses. {fields N} are N empty fields, {bytes N} so
 * many letters, and {endless} sends all that follows it again and again until the router closes.
 * {only N close} or {only N reset} at the start sends only N bytes of the answer and then closes or
 * resets the connection. The query "size=BYTES" sets the size of an event. POST /test/answer/PATH
 * sets the answer to all requests for a path, in place of the one in their body. GET
 * /test/endless returns the number of connections that were closed while they sent without end, and
 * the bytes sent there. GET /test/runs returns the number of requests run, and of those that were
 * not the first run of their request. */
#include "fake_loop.h"
#include "loop/message_reader.h"
#include "loop/socket.h"

#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define ANSWER_SEPARATOR "|"
/* The path of the requests follows. */
#define ANSWER_PATH "/test/answer"
#define PAUSE_MS 15
#define N_EVENTS 5
#define N_PACED_EVENTS 20
#define N_FILLER_LINES 4096
#define MAX_HEAD_BYTES 65536

/* Bytes that are sent at once without end. */
#define ENDLESS_BYTES 16384

static struct
{
  GgLoop *loop;
  GHashTable *runs;    /* attempt id -> number of runs */
  GHashTable *answers; /* path -> answer to all requests for it */
  guint n_endless;
  uint64_t endless_bytes;
  guint n_runs;
  guint n_later_runs;
} runner;

typedef struct
{
  GgLoopSocket *socket; /* NULL once closed */
  GgMessageReader *reader;
  GgLoopTimer *timer;
  GgMessageHead *head;
  GString *body;
  char *answer;     /* NULL between answers */
  const char *at;   /* the part of the answer that is not sent yet */
  guint next;       /* the event after Last-Event-Id */
  guint n_filling;  /* bytes of an event beside its number */
  guint paced;      /* next paced event; 0: none */
  guint n_left;     /* bytes until the answer is cut; 0: it isn't */
  const char *cut;  /* instructions that follow then */
  GString *endless; /* NULL: nothing is sent without end */
} Connection;

static void
free_connection (void *data)
{
  Connection *self = data;
  gg_message_reader_destroy (self->reader);
  gg_loop_timer_destroy (self->timer);
  gg_message_head_destroy (self->head);
  g_string_free (self->body, TRUE);
  g_free (self->answer);
  if (self->endless != NULL)
    g_string_free (self->endless, TRUE);
  g_free (self);
}

static void
close_connection (Connection *self, gboolean is_abort)
{
  if (self->socket == NULL)
    return;
  runner.n_endless += self->endless != NULL ? 1 : 0;
  gg_loop_socket_destroy (self->socket, is_abort);
  self->socket = NULL;
  gg_loop_timer_stop (self->timer);
  gg_loop_defer (runner.loop, free_connection, self);
}

static void
append_event (GString *out, guint number, guint n_filling)
{
  g_string_append_printf (out, "id: %u\ndata: piece %u ", number, number);
  for (guint i = 0; i < n_filling; i++)
    g_string_append_c (out, "abcdefghij"[(i + number) % 10]);
  g_string_append (out, "\n\n");
}

static void
append_chunk (GString *out, const char *text, size_t size_bytes)
{
  g_string_append_printf (out, "%zx\r\n", size_bytes);
  g_string_append_len (out, text, (gssize) size_bytes);
  g_string_append (out, "\r\n");
}

/* Appends a placeholder that stands for a fixed text or a part of a head.
 * @return FALSE if it is none. */
static gboolean
append_head_part (const Connection *self, const char *name, GString *out)
{
  static const struct
  {
    const char *name;
    const char *text;
  } parts[] = {
    { "chunked", "Transfer-Encoding: chunked\r\n\r\n" },
    { "to-close", "\r\n" },
    { "end", "0\r\n\r\n" },
    { "signed", "X-Response-Signature: signed\r\n" },
    { "not-run", "X-Not-Executed: 1\r\n" },
    { "500", "HTTP/1.1 500 Internal Server Error\r\n" },
    { "503", "HTTP/1.1 503 Service Unavailable\r\n" },
    { "error", "Content-Length: 9\r\n\r\nno luck.\n" },
    { "report", "Content-Length: 22\r\n\r\n{\"busy\":false,\"seq\":0}" },
  };
  const char *id = gg_message_head_get (self->head, "X-Attempt-Id");
  for (guint i = 0; i < G_N_ELEMENTS (parts); i++)
    if (strcmp (name, parts[i].name) == 0)
      {
        g_string_append (out, parts[i].text);
        return TRUE;
      }
  if (strcmp (name, "id") == 0)
    g_string_append_printf (out, "X-Attempt-Id: %s\r\n", id);
  else if (strcmp (name, "stream") == 0)
    g_string_append_printf (out,
                            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: "
                            "signed\r\nContent-Type: text/event-stream\r\n",
                            id);
  else if (strcmp (name, "filler") == 0)
    for (guint i = 0; i < N_FILLER_LINES; i++)
      g_string_append (out, "x\n\n");
  else
    return FALSE;
  return TRUE;
}

/* Appends a placeholder that stands for events, "WORD NUMBER" or "raw WORD NUMBER". */
static void
append_events (const Connection *self, const char *name, GString *out)
{
  gboolean is_raw = g_str_has_prefix (name, "raw ");
  const char *word = is_raw ? name + strlen ("raw ") : name;
  const char *number = strrchr (word, ' ');
  guint first
      = number == NULL || strcmp (number, " next") == 0 ? self->next : (guint) atoi (number + 1);
  gboolean is_all = g_str_has_prefix (word, "events") || g_str_has_prefix (word, "length");
  GString *text = g_string_new (NULL);
  for (guint i = first; i <= (is_all ? N_EVENTS : first); i++)
    append_event (text, i, self->n_filling);
  size_t size_bytes = text->len;
  if (g_str_has_prefix (word, "half") || g_str_has_prefix (word, "cut"))
    g_string_truncate (text, size_bytes * 2 / 3);
  if (g_str_has_prefix (word, "length"))
    g_string_append_printf (out, "Content-Length: %zu\r\n\r\n", size_bytes);
  else if (g_str_has_prefix (word, "cut"))
    g_string_append_printf (out, "%zx\r\n%s", size_bytes, text->str);
  else if (is_raw)
    g_string_append (out, text->str);
  else if (text->len > 0)
    append_chunk (out, text->str, text->len);
  g_string_free (text, TRUE);
}

static void
send_endless (Connection *self)
{
  gg_loop_socket_write (self->socket, self->endless->str, self->endless->len);
  runner.endless_bytes += self->endless->len;
}

/* Sends the rest of the answer without end. */
static void
start_endless (Connection *self)
{
  self->endless = g_string_new (self->at + strlen ("{endless}"));
  while (self->endless->len < ENDLESS_BYTES)
    g_string_append_len (self->endless, self->endless->str, (gssize) self->endless->len);
  send_endless (self);
}

/* Appends what a placeholder "NAME N" stands for N times.
 * @return FALSE if it is none. */
static gboolean
append_repeated (const char *name, GString *out)
{
  static const struct
  {
    const char *name;
    const char *text;
  } parts[] = { { "fields ", "a:\r\n" }, { "bytes ", "x" } };
  for (guint i = 0; i < G_N_ELEMENTS (parts); i++)
    if (g_str_has_prefix (name, parts[i].name))
      {
        for (int n = atoi (name + strlen (parts[i].name)); n > 0; n--)
          g_string_append (out, parts[i].text);
        return TRUE;
      }
  return FALSE;
}

static void
send_paced_event (Connection *self)
{
  GString *event = g_string_new (NULL);
  GString *out = g_string_new (NULL);
  append_event (event, self->paced, self->n_filling);
  append_chunk (out, event->str, event->len);
  if (self->paced++ == N_PACED_EVENTS)
    {
      self->paced = 0;
      g_string_append (out, "0\r\n\r\n");
    }
  gg_loop_socket_write (self->socket, out->str, out->len);
  gg_loop_timer_start (self->timer, PAUSE_MS);
  g_string_free (out, TRUE);
  g_string_free (event, TRUE);
}

/* Carries out an instruction.
 * @return FALSE if @p name is none. */
static gboolean
follow_instruction (Connection *self, const char *name)
{
  if (strcmp (name, "pause") == 0)
    gg_loop_timer_start (self->timer, PAUSE_MS);
  else if (strcmp (name, "close") == 0)
    gg_loop_socket_shutdown (self->socket);
  else if (strcmp (name, "reset") == 0)
    close_connection (self, TRUE);
  else if (strcmp (name, "endless") == 0)
    start_endless (self);
  else if (strcmp (name, "paced") == 0)
    {
      self->paced = self->next;
      send_paced_event (self);
    }
  else
    return FALSE;
  return TRUE;
}

/* Reads "only N close" or "only N reset". */
static void
read_cut (Connection *self, const char *name)
{
  self->n_left = (guint) atoi (name + strlen ("only "));
  self->cut = g_str_has_suffix (name, "reset") ? "{pause}{pause}{reset}" : "{close}";
}

/* Cuts what is to be sent where the answer ends. */
static void
apply_cut (Connection *self, GString *out)
{
  if (self->n_left == 0)
    return;
  if (out->len < self->n_left)
    {
      self->n_left -= (guint) out->len;
      return;
    }
  g_string_truncate (out, self->n_left);
  self->n_left = 0;
  self->at = self->cut;
}

/* Sends the answer up to the next instruction, or follows that. Goes on when everything was handed
 * to the kernel, or after the pause. */
static void
advance (Connection *self)
{
  if (self->answer == NULL || self->socket == NULL)
    return;
  if (self->endless != NULL)
    {
      send_endless (self);
      return;
    }
  if (self->paced > 0)
    {
      send_paced_event (self);
      return;
    }
  GString *out = g_string_new (NULL);
  gboolean is_instruction = FALSE;
  while (*self->at != '\0' && !is_instruction)
    {
      size_t n = strcspn (self->at, "{");
      g_string_append_len (out, self->at, (gssize) n);
      self->at += n;
      if (*self->at == '\0')
        break;
      size_t name_bytes = strcspn (self->at, "}") - 1;
      char *name = g_strndup (self->at + 1, name_bytes);
      if (g_str_has_prefix (name, "only "))
        read_cut (self, name);
      else if (strchr (name, ' ') != NULL)
        {
          if (!append_repeated (name, out))
            append_events (self, name, out);
        }
      else if (!append_head_part (self, name, out))
        is_instruction = out->len > 0 || follow_instruction (self, name);
      if (!is_instruction || out->len == 0)
        self->at += name_bytes + 2;
      g_free (name);
    }
  apply_cut (self, out);
  if (out->len > 0)
    gg_loop_socket_write (self->socket, out->str, out->len);
  else if (!is_instruction)
    {
      g_free (self->answer);
      self->answer = NULL;
    }
  g_string_free (out, TRUE);
}

/* Returns the number of this run of the request, from 0. */
static guint
count_run (const GgMessageHead *head)
{
  const char *attempt = gg_message_head_get (head, "X-Attempt-Id");
  char *key = g_strdup (attempt != NULL ? attempt : "");
  guint n = GPOINTER_TO_UINT (g_hash_table_lookup (runner.runs, key));
  g_hash_table_insert (runner.runs, key, GUINT_TO_POINTER (n + 1));
  if (n == 0 && gg_message_head_get (head, "Last-Event-Id") != NULL)
    n = 1;
  runner.n_runs++;
  runner.n_later_runs += n > 0 ? 1 : 0;
  return n;
}

static void
start_answer (Connection *self)
{
  const char *target = gg_message_head_get_target (self->head);
  uint64_t last = 0;
  g_free (self->answer);
  self->answer = NULL;
  const char *set = g_hash_table_lookup (runner.answers, target);
  if (set != NULL)
    self->answer = g_strdup (set);
  else if (g_str_has_prefix (target, ANSWER_PATH))
    {
      g_hash_table_replace (runner.answers, g_strdup (target + strlen (ANSWER_PATH)),
                            g_strdup (self->body->str));
      self->answer = g_strdup ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  else if (strcmp (target, "/test/endless") == 0)
    {
      char text[64];
      int n = g_snprintf (text, sizeof text, "%u %" G_GUINT64_FORMAT, runner.n_endless,
                          (guint64) runner.endless_bytes);
      self->answer = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", n, text);
    }
  else if (strcmp (target, "/test/runs") == 0)
    {
      char counts[32];
      int n = g_snprintf (counts, sizeof counts, "%u %u", runner.n_runs, runner.n_later_runs);
      self->answer = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", n, counts);
    }
  else if (strcmp (target, "/health") == 0)
    self->answer = g_strdup ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  else
    {
      char **answers = g_strsplit (self->body->str, ANSWER_SEPARATOR, -1);
      guint n = count_run (self->head);
      guint n_answers = g_strv_length (answers);
      self->answer = g_strdup (n_answers > 0 ? answers[MIN (n, n_answers - 1)] : "");
      g_strfreev (answers);
    }
  char *size = gg_fake_loop_get_argument (target, "size");
  self->n_filling = size != NULL ? (guint) atoi (size) : 0;
  g_free (size);
  gg_message_head_get_uint (self->head, "Last-Event-Id", &last);
  self->next = (guint) last + 1;
  self->at = self->answer;
  self->n_left = 0;
  advance (self);
}

static gboolean
on_message (void *data, const GgMessageEvent *event)
{
  Connection *self = data;
  switch (event->kind)
    {
    case GG_MESSAGE_HEAD:
      gg_message_head_destroy (self->head);
      self->head = event->head;
      g_string_truncate (self->body, 0);
      break;
    case GG_MESSAGE_BODY:
      g_string_append_len (self->body, event->body.bytes, (gssize) event->body.size_bytes);
      break;
    case GG_MESSAGE_END:
      start_answer (self);
      break;
    }
  return TRUE;
}

static void
on_socket (void *data, const GgSocketEvent *event)
{
  Connection *self = data;
  size_t used = 0;
  switch (event->kind)
    {
    case GG_SOCKET_CONNECTED:
      break;
    case GG_SOCKET_DATA:
      gg_message_reader_feed (self->reader, event->bytes, event->size_bytes, &used);
      break;
    case GG_SOCKET_DRAINED:
      if (self->paced == 0)
        advance (self);
      break;
    case GG_SOCKET_EOF:
    case GG_SOCKET_RESET:
      close_connection (self, FALSE);
      break;
    }
}

static void
on_timer (void *data)
{
  advance (data);
}

static void
on_acceptable (evutil_socket_t listener, short what, void *data)
{
  int fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    return;
  Connection *self = g_new0 (Connection, 1);
  self->body = g_string_new (NULL);
  self->reader = gg_message_reader_create (GG_MESSAGE_REQUESTS, MAX_HEAD_BYTES, on_message, self);
  self->timer = gg_loop_timer_create (runner.loop, on_timer, self);
  self->socket = gg_loop_socket_adopt (runner.loop, fd, on_socket, self);
}

static void
on_stop (void *data)
{
  gg_loop_stop (runner.loop);
}

int
main (int argc, char **argv)
{
  const char *address = argc == 3 && strcmp (argv[1], "--listen") == 0 ? argv[2] : "";
  runner.loop = gg_loop_create ();
  runner.runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  runner.answers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GError *error = NULL;
  int listener = gg_loop_socket_listen (address, &error);
  if (listener < 0)
    {
      fprintf (stderr, "%s: %s\n", argv[0], error->message);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  gg_loop_watch_signal (runner.loop, SIGTERM, on_stop, NULL);
  struct event *accept_event = event_new (gg_loop_get_base (runner.loop), listener,
                                          EV_READ | EV_PERSIST, on_acceptable, NULL);
  event_add (accept_event, NULL);
  printf ("listening %s\n", address);
  fflush (stdout);
  gg_loop_run (runner.loop);
  return EXIT_SUCCESS;
}
