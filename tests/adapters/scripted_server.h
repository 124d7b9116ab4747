/** @file
 * HTTP server on the loopback interface; a test script determines each reply or its failure. */
#pragma once

#include "base/clock.h"
#include "base/counters.h"

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct _ScriptedServer ScriptedServer;

/* Returned by a script instead of a reply: close the connection, or leave it open without reply. */
#define REPLY_CLOSE NULL
#define REPLY_NONE ((char *) 1)

/** Returns the complete reply to request @p number (the first is 1), freed with g_free(). */
typedef char *(*ScriptedReply) (ScriptedServer *server, int number, const char *request);

struct _ScriptedServer
{
  ScriptedReply reply;
  int listener;
  char address[32];
  pthread_t thread;
  atomic_int connections; /* accepted so far */
  atomic_int open;
  atomic_int requests; /* complete requests */
  atomic_int bytes;    /* received */
  atomic_int value;    /* for use by the script */
};

typedef struct
{
  ScriptedServer *server;
  int fd;
} ScriptedConnection;

static inline char *
make_reply (int status, const char *headers, const char *body)
{
  return g_strdup_printf ("HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n%s", status, headers,
                          strlen (body), body);
}

/* Returns the size of the request at the start of @p text, or 0 if it is incomplete. */
static inline size_t
find_request_end (const char *text, size_t size)
{
  const char *end = strstr (text, "\r\n\r\n");
  const char *length = strstr (text, "Content-Length: ");
  if (end == NULL)
    return 0;
  size_t size_needed = (size_t) (end - text) + 4;
  if (length != NULL && length < end)
    size_needed += (size_t) g_ascii_strtoull (length + strlen ("Content-Length: "), NULL, 10);
  return size_needed <= size ? size_needed : 0;
}

/* Returns FALSE if the connection must be closed. */
static inline gboolean
answer_request (ScriptedConnection *connection, const char *request)
{
  ScriptedServer *server = connection->server;
  char *reply = server->reply (server, atomic_fetch_add (&server->requests, 1) + 1, request);
  if (reply == REPLY_NONE)
    return TRUE;
  if (reply == REPLY_CLOSE)
    return FALSE;
  gboolean trickle = strstr (reply, "X-Trickle") != NULL;
  for (const char *p = reply; trickle && send (connection->fd, p, 1, MSG_NOSIGNAL) == 1;)
    {
      p += p[1] != '\0';
      g_usleep (10000);
    }
  gboolean keep = !trickle && send (connection->fd, reply, strlen (reply), MSG_NOSIGNAL) > 0
                  && strstr (reply, "Connection: close") == NULL;
  g_free (reply);
  return keep;
}

static inline void *
run_connection (void *data)
{
  ScriptedConnection *connection = data;
  GString *text = g_string_new (NULL);
  char block[4096];
  gboolean open = TRUE;
  while (open)
    {
      ssize_t n = recv (connection->fd, block, sizeof block, 0);
      if (n <= 0)
        break;
      atomic_fetch_add (&connection->server->bytes, (int) n);
      g_string_append_len (text, block, n);
      size_t size = find_request_end (text->str, text->len);
      if (size == 0)
        continue;
      open = answer_request (connection, text->str);
      g_string_erase (text, 0, (gssize) size);
    }
  g_string_free (text, TRUE);
  close (connection->fd);
  atomic_fetch_sub (&connection->server->open, 1);
  g_free (connection);
  return NULL;
}

static inline void *
run_scripted_server (void *data)
{
  ScriptedServer *server = data;
  int fd;
  while ((fd = accept (server->listener, NULL, NULL)) >= 0)
    {
      ScriptedConnection *connection = g_new0 (ScriptedConnection, 1);
      connection->server = server;
      connection->fd = fd;
      atomic_fetch_add (&server->connections, 1);
      atomic_fetch_add (&server->open, 1);
      pthread_t thread;
      pthread_create (&thread, NULL, run_connection, connection);
      pthread_detach (thread);
    }
  return NULL;
}

/** Listens without accepting: connections wait in a queue of size @p backlog. */
static inline void
server_listen (ScriptedServer *server, ScriptedReply reply, int backlog)
{
  memset (server, 0, sizeof *server);
  server->reply = reply;
  struct sockaddr_in in = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof in;
  server->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int bound = bind (server->listener, (struct sockaddr *) &in, sizeof in);
  g_assert (bound == 0);
  listen (server->listener, backlog);
  getsockname (server->listener, (struct sockaddr *) &in, &size);
  g_snprintf (server->address, sizeof server->address, "127.0.0.1:%d", ntohs (in.sin_port));
}

static inline void
server_accept (ScriptedServer *server)
{
  pthread_create (&server->thread, NULL, run_scripted_server, server);
}

static inline void
server_start (ScriptedServer *server, ScriptedReply reply)
{
  server_listen (server, reply, 16);
  server_accept (server);
}

/** Waits until @p value equals @p wanted, for at most @p limit_ms. */
static inline gboolean
wait_for (atomic_int *value, int wanted, uint64_t limit_ms)
{
  uint64_t end = gg_clock_now_ms () + limit_ms;
  while (atomic_load (value) != wanted && gg_clock_now_ms () < end)
    g_usleep (2000);
  return atomic_load (value) == wanted;
}

/** Waits until the pools have no threads, so that leak checkers see no live allocations. */
static inline gboolean
wait_for_no_threads (uint64_t limit_ms)
{
  uint64_t end = gg_clock_now_ms () + limit_ms;
  while (gg_counters_sum ("greengage_http_threads") != 0 && gg_clock_now_ms () < end)
    g_usleep (2000);
  return gg_counters_sum ("greengage_http_threads") == 0;
}

/** Call it after destroying the client's pool. */
static inline void
server_stop (ScriptedServer *server)
{
  shutdown (server->listener, SHUT_RDWR);
  pthread_join (server->thread, NULL);
  close (server->listener);
  wait_for (&server->open, 0, 5000);
}
