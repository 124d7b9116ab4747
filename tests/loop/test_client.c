/* Calls over reused connections: a call is sent once even if its connection fails, since a
 * second send could run it twice; unsolicited bytes are never taken for an answer, and a truncated
 * answer is never reported as complete. */
#include "loop/client.h"
#include "loop/socket.h"
#include "loop_fixture.h"
#include "process.h"
#include "test_main.h"

#include <event2/event.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LIMIT_MS 5000
/* A reset takes 20 ms, so only each fifth cut is one. */
#define RESET_STEP 5
#define OK_HEAD "HTTP/1.1 200 OK\r\n"

/* A server that answers each request with the next text of a script. */
typedef struct
{
  GgLoop *loop;
  char *address;
  int listener;
  struct event *accept_event;
  GgLoopSocket *sockets[8];
  int fds[8];
  guint n_connections;
  guint n_requests;
  const char *const *script; /* NULL closes without an answer, "RESET" resets; a text that starts
                              * with '|' or '!' is followed by an orderly close or a reset */
  GString *received;
} Peer;

typedef struct
{
  Peer *peer;
  guint index;
} PeerConnection;

static void
send_scripted_answer (PeerConnection *c)
{
  Peer *p = c->peer;
  const char *text = p->script[p->n_requests++];
  if (text == NULL || strcmp (text, "RESET") == 0)
    {
      gg_loop_socket_destroy (p->sockets[c->index], text != NULL);
      p->sockets[c->index] = NULL;
      return;
    }
  gboolean is_closing = text[0] == '|' || text[0] == '!';
  const char *answer = is_closing ? text + 1 : text;
  if (!is_closing)
    {
      gg_loop_socket_write (p->sockets[c->index], answer, strlen (answer));
      return;
    }
  /* Written directly, since queued output would be dropped by the close. */
  ssize_t n = write (p->fds[c->index], answer, strlen (answer));
  CU_ASSERT_EQUAL (n, (ssize_t) strlen (answer));
  if (text[0] == '!')
    usleep (20000); /* a reset drops data that the peer has not read yet */
  gg_loop_socket_destroy (p->sockets[c->index], text[0] == '!');
  p->sockets[c->index] = NULL;
}

static void
on_socket (void *data, const GgSocketEvent *event)
{
  PeerConnection *c = data;
  if (event->kind == GG_SOCKET_DATA)
    {
      g_string_append_len (c->peer->received, event->bytes, (gssize) event->size_bytes);
      send_scripted_answer (c);
    }
  else if (event->kind == GG_SOCKET_EOF || event->kind == GG_SOCKET_RESET)
    {
      gg_loop_socket_destroy (c->peer->sockets[c->index], FALSE);
      c->peer->sockets[c->index] = NULL;
    }
}

static PeerConnection connections[8];

static void
on_accept (evutil_socket_t listener, short what, void *data)
{
  Peer *p = data;
  int fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    return;
  PeerConnection *c = &connections[p->n_connections];
  *c = (PeerConnection){ .peer = p, .index = p->n_connections };
  p->fds[p->n_connections] = fd;
  p->sockets[p->n_connections++] = gg_loop_socket_adopt (p->loop, fd, on_socket, c);
}

static void
peer_init (Peer *p, GgLoop *loop, const char *const *script)
{
  *p = (Peer){ .loop = loop, .script = script, .received = g_string_new (NULL) };
  p->address = gg_process_reserve_address ();
  p->listener = gg_loop_socket_listen (p->address, NULL);
  CU_ASSERT_TRUE_FATAL (p->listener >= 0);
  p->accept_event
      = event_new (gg_loop_get_base (loop), p->listener, EV_READ | EV_PERSIST, on_accept, p);
  event_add (p->accept_event, NULL);
}

static void
peer_clear (Peer *p)
{
  for (guint i = 0; i < p->n_connections; i++)
    gg_loop_socket_destroy (p->sockets[i], FALSE);
  event_free (p->accept_event);
  close (p->listener);
  g_string_free (p->received, TRUE);
  g_free (p->address);
}

/* Sends POST calls one after another and records how each ended. */
typedef struct
{
  GgLoopClient *client;
  const Peer *peer;
  guint n_wanted;
  guint n_ended;
  GgCallEnd ends[4];
  GString *bodies;
  gboolean done;
  const char *skip;    /* answers with this value of X-Id are skipped */
  gboolean is_pausing; /* reading is paused by each part of a body */
  GgLoopCall *call;
  const char *foreign_field;
  GgUsedConnections *used; /* for each request; NULL if any connection may be reused */
  guint n_requests;        /* that are sent in turn */
  guint n_heads;
  guint n_first;             /* heads of the first answer on their connection */
  size_t largest_part_bytes; /* of a head that was not complete yet */
} Caller;

static void send_next (Caller *c);

static gboolean
on_call (void *data, const GgCallEvent *event)
{
  Caller *c = data;
  gboolean is_own_answer = TRUE;
  switch (event->kind)
    {
    case GG_CALL_HEAD_PART:
      c->largest_part_bytes = MAX (c->largest_part_bytes, event->held_bytes);
      return TRUE;
    case GG_CALL_HEAD:
      is_own_answer
          = c->skip == NULL || g_strcmp0 (gg_message_head_get (event->head, "X-Id"), c->skip) != 0;
      gg_message_head_destroy (event->head);
      c->n_heads++;
      c->n_first += gg_loop_call_is_first_answer (c->call) ? 1 : 0;
      return is_own_answer;
    case GG_CALL_BODY:
      g_string_append_len (c->bodies, event->body.bytes, (gssize) event->body.size_bytes);
      if (c->is_pausing)
        gg_loop_call_set_reading (c->call, FALSE);
      return TRUE;
    case GG_CALL_END:
      c->ends[c->n_ended++] = event->end;
      if (c->n_ended == c->n_wanted)
        c->done = TRUE;
      else
        send_next (c);
      return TRUE;
    }
  return FALSE;
}

static void
send_next (Caller *c)
{
  GgMessageHead *head = gg_message_head_create_request ("POST", "/x");
  gg_message_head_add (head, "Host", "h");
  gg_message_head_add (head, "Content-Length", "2");
  GgCallRequest request = { .address = c->peer->address,
                            .head = head,
                            .body = "ab",
                            .body_bytes = 2,
                            .connect_timeout_ms = 1000,
                            .max_idle_ms = 1000,
                            .foreign_field = c->foreign_field,
                            .used = c->used != NULL ? &c->used[c->n_ended % c->n_requests] : NULL };
  c->call = gg_loop_client_call (c->client, &request, on_call, c);
  gg_message_head_destroy (head);
}

typedef struct
{
  guint n_requests;
  guint n_connections;
  GgCallEnd ends[4];
  char bodies[64];
  guint n_heads;
  guint n_first;
  size_t largest_part_bytes;
} Result;

static Result
run_caller (const char *const *script, Caller caller)
{
  GgLoop *loop = gg_loop_create ();
  Peer peer;
  peer_init (&peer, loop, script);
  caller.peer = &peer;
  caller.client = gg_loop_client_create (loop);
  caller.bodies = g_string_new (NULL);
  send_next (&caller);
  CU_ASSERT_TRUE (loop_fixture_run (loop, &caller.done, LIMIT_MS));
  Result result = { .n_requests = peer.n_requests,
                    .n_connections = peer.n_connections,
                    .n_heads = caller.n_heads,
                    .n_first = caller.n_first,
                    .largest_part_bytes = caller.largest_part_bytes };
  memcpy (result.ends, caller.ends, sizeof result.ends);
  g_strlcpy (result.bodies, caller.bodies->str, sizeof result.bodies);
  g_string_free (caller.bodies, TRUE);
  gg_loop_client_destroy (caller.client);
  peer_clear (&peer);
  gg_loop_destroy (loop);
  return result;
}

static Result
run (const char *const *script, guint n_calls, const char *skip)
{
  return run_caller (script, (Caller){ .n_wanted = n_calls, .skip = skip });
}

static void
test_post_on_dropped_reused_connection_is_sent_once (void)
{
  const char *const drops[] = { NULL, "RESET" };
  for (guint i = 0; i < G_N_ELEMENTS (drops); i++)
    {
      const char *const script[] = { OK_HEAD "Content-Length: 1\r\n\r\na", drops[i] };
      Result r = run (script, 2, NULL);
      CU_ASSERT_EQUAL (r.n_connections, 1);
      CU_ASSERT_EQUAL (r.n_requests, 2);
      CU_ASSERT_EQUAL (r.ends[0], GG_CALL_COMPLETE);
      CU_ASSERT_EQUAL (r.ends[1], GG_CALL_BROKEN);
    }
}

static void
test_connection_is_reused (void)
{
  const char *const script[]
      = { OK_HEAD "Content-Length: 1\r\n\r\na", OK_HEAD "Content-Length: 1\r\n\r\nb" };
  Result r = run (script, 2, NULL);
  CU_ASSERT_EQUAL (r.n_connections, 1);
  CU_ASSERT_STRING_EQUAL (r.bodies, "ab");
}

/* Guards against a connection that is reused although its reading was paused by the last bytes of
 * the answer before: the next answer would never be read. */
static void
test_reading_is_resumed_with_the_next_call (void)
{
  const char *const script[]
      = { OK_HEAD "Content-Length: 1\r\n\r\na", OK_HEAD "Content-Length: 1\r\n\r\nb" };
  Result r = run_caller (script, (Caller){ .n_wanted = 2, .is_pausing = TRUE });
  CU_ASSERT_EQUAL (r.n_connections, 1);
  CU_ASSERT_STRING_EQUAL (r.bodies, "ab");
}

static void
test_connection_with_bytes_after_an_answer_is_not_reused (void)
{
  const char *const script[]
      = { OK_HEAD "Content-Length: 1\r\n\r\na" OK_HEAD "Content-Length: 1\r\n\r\nZ",
          OK_HEAD "Content-Length: 1\r\n\r\nb" };
  Result r = run (script, 2, NULL);
  CU_ASSERT_EQUAL (r.n_connections, 2);
  CU_ASSERT_STRING_EQUAL (r.bodies, "ab");
}

static void
test_answer_to_another_call_is_skipped (void)
{
  const char *const script[] = { OK_HEAD "X-Id: old\r\nContent-Length: 3\r\n\r\nold" OK_HEAD
                                         "X-Id: new\r\nContent-Length: 3\r\n\r\nnew" };
  Result r = run (script, 1, "old");
  CU_ASSERT_EQUAL (r.ends[0], GG_CALL_COMPLETE);
  CU_ASSERT_STRING_EQUAL (r.bodies, "new");
}

/* Guards against a late second answer to a request being taken for the answer to an order or to a
 * request for a report. */
static void
test_answer_with_foreign_field_is_skipped (void)
{
  const char *const script[]
      = { OK_HEAD "X-Id: 1\r\nContent-Length: 1\r\n\r\na" OK_HEAD "Content-Length: 1\r\n\r\nb",
          "HTTP/1.1 503 Full\r\nX-Id: 2\r\nContent-Length: 1\r\n\r\nc" OK_HEAD
          "Content-Length: 1\r\n\r\nd" };
  Result r = run_caller (script, (Caller){ .n_wanted = 2, .foreign_field = "X-Id" });
  CU_ASSERT_EQUAL (r.n_connections, 2);
  CU_ASSERT_EQUAL (r.n_heads, 2);
  CU_ASSERT_STRING_EQUAL (r.bodies, "bd");
}

/* Guards against the further use of a connection on which the peer has answered more often than it
 * was asked: a second answer that comes while another call waits shows that more may follow. */
static void
test_connection_with_skipped_answer_is_not_reused (void)
{
  const char *const script[]
      = { OK_HEAD "X-Id: old\r\nContent-Length: 3\r\n\r\nold" OK_HEAD
                  "X-Id: new\r\nContent-Length: 1\r\n\r\na",
          OK_HEAD "Content-Length: 1\r\n\r\nb", OK_HEAD "Content-Length: 1\r\n\r\nc" };
  Result r = run (script, 3, "old");
  CU_ASSERT_EQUAL (r.n_connections, 2);
  CU_ASSERT_STRING_EQUAL (r.bodies, "abc");
}

/* Guards against memory that nobody knows of: that of a head which has not ended. */
static void
test_part_of_head_is_reported (void)
{
  char *field = g_strnfill (2000, 'x');
  char *answer = g_strconcat ("|" OK_HEAD "X-Field: ", field, NULL);
  const char *const script[] = { answer };
  Result r = run (script, 1, NULL);
  CU_ASSERT_EQUAL (r.n_heads, 0);
  CU_ASSERT_EQUAL (r.ends[0], GG_CALL_BROKEN);
  CU_ASSERT_TRUE (r.largest_part_bytes >= strlen (field));
  g_free (answer);
  g_free (field);
}

/* An answer without a length is complete when its connection closes in order, not on a reset. */
static void
test_truncated_answers_are_not_complete (void)
{
  static const struct
  {
    const char *text;
    GgCallEnd end;
  } rows[] = {
    { "|" OK_HEAD "Content-Length: 9\r\n\r\nabc", GG_CALL_BROKEN },
    { "|" OK_HEAD "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", GG_CALL_BROKEN },
    { "|" OK_HEAD "\r\nabc", GG_CALL_COMPLETE },
    { "!" OK_HEAD "\r\nabc", GG_CALL_BROKEN },
    { "|" OK_HEAD "Content-Le", GG_CALL_BROKEN },
    { "nonsense\r\n\r\n", GG_CALL_MALFORMED },
    { OK_HEAD "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", GG_CALL_MALFORMED },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const char *const script[] = { rows[i].text };
      Result r = run (script, 1, NULL);
      CU_ASSERT_EQUAL (r.ends[0], rows[i].end);
    }
}

/* Guards against an answer that its peer breaks off in the head, in a chunk size or in a trailer,
 * and that looks complete with an empty or short body: cut after each byte, closed or reset, on a
 * new connection and after a whole answer. */
static void
test_answer_cut_anywhere_is_not_complete (void)
{
  static const struct
  {
    const char *head;
    const char *body; /* that is part of the framing; an answer without a length may be cut there */
  } answers[] = {
    { OK_HEAD "X-Id: 1\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\n", "abc" },
    { OK_HEAD "X-Id: 1\r\nContent-Length: 0\r\n\r\n", "" },
    { OK_HEAD "X-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
      "3\r\nabc\r\n0\r\nX-Sum: 7\r\n\r\n" },
    { OK_HEAD "X-Id: 1\r\nContent-Type: text/event-stream\r\n\r\n", "" },
    { "HTTP/1.1 100 Continue\r\n\r\n" OK_HEAD "X-Id: 1\r\nContent-Length: 3\r\n\r\n", "abc" },
    { "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n" OK_HEAD "\r\n", "" },
    { "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 3\r\n\r\n", "abc" },
  };
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      char *text = g_strconcat (answers[i].head, answers[i].body, NULL);
      for (size_t n = 1; n < strlen (text); n++)
        for (guint variant = 0; variant < 4; variant++)
          {
            gboolean is_reset = (variant & 1) != 0;
            gboolean is_kept = (variant & 2) != 0;
            if (is_reset && n % RESET_STEP != 0)
              continue;
            char *cut = g_strdup_printf ("%c%.*s", is_reset ? '!' : '|', (int) n, text);
            const char *const script[]
                = { is_kept ? OK_HEAD "Content-Length: 0\r\n\r\n" : cut, cut };
            Result r = run (script, is_kept ? 2 : 1, NULL);
            CU_ASSERT_EQUAL (r.ends[is_kept ? 1 : 0], GG_CALL_BROKEN);
            CU_ASSERT_EQUAL (r.n_connections, 1);
            CU_ASSERT_TRUE (n >= strlen (answers[i].head) || r.n_heads == (is_kept ? 1 : 0));
            g_free (cut);
          }
      g_free (text);
    }
}

/* Guards against a late second answer to one send of a request being taken for the answer to its
 * next send. */
static void
test_calls_for_one_request_share_no_connection (void)
{
  const char *const script[]
      = { OK_HEAD "Content-Length: 1\r\n\r\na", OK_HEAD "Content-Length: 1\r\n\r\nb",
          OK_HEAD "Content-Length: 1\r\n\r\nc" };
  GgUsedConnections used = { 0 };
  Result r = run_caller (script, (Caller){ .n_wanted = 3, .used = &used, .n_requests = 1 });
  CU_ASSERT_EQUAL (r.n_connections, 3);
  CU_ASSERT_EQUAL (used.n, 3);
  /* A connection that found no space in the set must not be reused either. */
  GgUsedConnections full = { .n = GG_USED_CONNECTIONS_MAX };
  r = run_caller (script, (Caller){ .n_wanted = 2, .used = &full, .n_requests = 1 });
  CU_ASSERT_EQUAL (r.n_connections, 2);
  CU_ASSERT_EQUAL (full.n, GG_USED_CONNECTIONS_MAX);
}

static void
test_calls_for_several_requests_share_connections (void)
{
  const char *const script[]
      = { OK_HEAD "Content-Length: 1\r\n\r\na", OK_HEAD "Content-Length: 1\r\n\r\nb",
          OK_HEAD "Content-Length: 1\r\n\r\nc", OK_HEAD "Content-Length: 1\r\n\r\nd" };
  GgUsedConnections used[2] = { 0 };
  Result r = run_caller (script, (Caller){ .n_wanted = 4, .used = used, .n_requests = 2 });
  CU_ASSERT_EQUAL (r.n_connections, 2);
  CU_ASSERT_STRING_EQUAL (r.bodies, "abcd");
}

/* Guards against an answer to an earlier call, complete or skipped, going unnoticed by a receiver
 * that has to tell whose answer it gets. */
static void
test_first_answer_on_a_connection_is_known (void)
{
  const char *const kept[]
      = { OK_HEAD "Content-Length: 1\r\n\r\na", OK_HEAD "Content-Length: 1\r\n\r\nb" };
  Result r = run (kept, 2, NULL);
  CU_ASSERT_EQUAL (r.n_heads, 2);
  CU_ASSERT_EQUAL (r.n_first, 1);
  const char *const skipped[]
      = { OK_HEAD "X-Id: old\r\nContent-Length: 0\r\n\r\n" OK_HEAD "Content-Length: 0\r\n\r\n" };
  r = run (skipped, 1, "old");
  CU_ASSERT_EQUAL (r.n_heads, 2);
  CU_ASSERT_EQUAL (r.n_first, 1);
  const char *const closed[]
      = { "|" OK_HEAD "Content-Length: 0\r\n\r\n", OK_HEAD "Content-Length: 0\r\n\r\n" };
  r = run (closed, 2, NULL);
  CU_ASSERT_EQUAL (r.n_first, r.n_heads);
}

static void
test_connection_refused (void)
{
  GgLoop *loop = gg_loop_create ();
  Peer peer = { .address = gg_process_reserve_address () };
  Caller caller = { .peer = &peer, .n_wanted = 1 };
  caller.client = gg_loop_client_create (loop);
  caller.bodies = g_string_new (NULL);
  send_next (&caller);
  CU_ASSERT_TRUE (loop_fixture_run (loop, &caller.done, LIMIT_MS));
  CU_ASSERT_EQUAL (caller.ends[0], GG_CALL_UNREACHABLE);
  g_string_free (caller.bodies, TRUE);
  gg_loop_client_destroy (caller.client);
  gg_loop_destroy (loop);
  g_free (peer.address);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "post on dropped reused connection is sent once",
      test_post_on_dropped_reused_connection_is_sent_once },
    { "connection is reused", test_connection_is_reused },
    { "reading is resumed with the next call", test_reading_is_resumed_with_the_next_call },
    { "connection with bytes after an answer is not reused",
      test_connection_with_bytes_after_an_answer_is_not_reused },
    { "answer to another call is skipped", test_answer_to_another_call_is_skipped },
    { "answer with foreign field is skipped", test_answer_with_foreign_field_is_skipped },
    { "connection with a skipped answer is not reused",
      test_connection_with_skipped_answer_is_not_reused },
    { "calls for one request share no connection", test_calls_for_one_request_share_no_connection },
    { "calls for several requests share connections",
      test_calls_for_several_requests_share_connections },
    { "first answer on a connection is known", test_first_answer_on_a_connection_is_known },
    { "part of a head is reported", test_part_of_head_is_reported },
    { "truncated answers are not complete", test_truncated_answers_are_not_complete },
    { "answer cut anywhere is not complete", test_answer_cut_anywhere_is_not_complete },
    { "connection refused", test_connection_refused },
  };
  return gg_test_run ("loop client", cases, G_N_ELEMENTS (cases));
}
