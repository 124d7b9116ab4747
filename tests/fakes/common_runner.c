#include "common_runner.h"

#include "base/clock.h"
#include "base/settings.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define THREAD_STACK_BYTES (512 * 1024)
#define CONNECTIONS_MAX 4000
#define USAGE_EXIT 2

typedef struct
{
  uint64_t since_ms;
  int32_t tokens;
} LoadSample;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t output_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t faults_changed = PTHREAD_COND_INITIALIZER;
static RunnerFaults faults;
static RunnerProfile *profile;
static RunnerHandler handler;
static GString *records;
static int32_t outstanding;
static GQueue samples = G_QUEUE_INIT; /* LoadSample *, oldest first */

char *
runner_json_text (JsonBuilder *builder)
{
  JsonNode *root = json_builder_get_root (builder);
  char *text = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (builder);
  return text;
}

JsonObject *
runner_json_parse (const char *text)
{
  JsonNode *root = json_from_string (text, NULL);
  JsonObject *object = NULL;
  if (root && JSON_NODE_HOLDS_OBJECT (root))
    object = json_object_ref (json_node_get_object (root));
  g_clear_pointer (&root, json_node_unref);
  return object;
}

void
runner_reply_reason (RunnerReply *reply, unsigned status, const char *member, const char *text)
{
  reply->status = status;
  reply->body = g_strdup_printf ("{\"%s\":\"%s\"}", member, text);
}

void
runner_sleep_us (uint64_t us)
{
  struct timespec span = { (time_t) (us / 1000000), (long) (us % 1000000) * 1000 };
  while (nanosleep (&span, &span) != 0)
    ;
}

RunnerFaults
runner_faults (void)
{
  pthread_mutex_lock (&lock);
  RunnerFaults copy = faults;
  pthread_mutex_unlock (&lock);
  return copy;
}

/* A single write per line, so that a killed process leaves complete lines. The lock is needed since
 * the kernel does not keep concurrent writes to a memfd from using the same offset. */
static void
write_line (const char *kind, const char *text)
{
  char *line = g_strconcat (kind, text, "\n", NULL);
  pthread_mutex_lock (&output_lock);
  (void) !write (STDOUT_FILENO, line, strlen (line));
  pthread_mutex_unlock (&output_lock);
  g_free (line);
}

void
runner_record_all (const GPtrArray *lines)
{
  if (profile->without_records)
    return;
  GString *output = g_string_new (NULL);
  pthread_mutex_lock (&lock);
  for (guint i = 0; i < lines->len; i++)
    {
      const char *line = g_ptr_array_index (lines, i);
      g_string_append_printf (records, "%s\n", line);
      g_string_append_printf (output, "%srecord %s", i > 0 ? "\n" : "", line);
    }
  if (lines->len > 0)
    write_line ("", output->str);
  pthread_mutex_unlock (&lock);
  g_string_free (output, TRUE);
}

void
runner_record (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (lines, g_strdup_vprintf (format, args));
  va_end (args);
  runner_record_all (lines);
  g_ptr_array_unref (lines);
}

void
runner_trace (const char *format, ...)
{
  if (profile->without_records)
    return;
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  write_line ("", text);
  g_free (text);
}

/* Returns the sample that was current load_lag_ms ago, or the oldest one, or NULL. Drops the
 * samples before it. */
static const LoadSample *
get_reported_sample_locked (void)
{
  uint64_t now = gg_clock_now_ms ();
  for (;;)
    {
      const LoadSample *next = g_queue_peek_nth (&samples, 1);
      if (!next || next->since_ms + profile->load_lag_ms > now)
        return g_queue_peek_head (&samples);
      g_free (g_queue_pop_head (&samples));
    }
}

void
runner_add_outstanding (int32_t tokens)
{
  pthread_mutex_lock (&lock);
  outstanding += tokens;
  LoadSample *sample = g_new (LoadSample, 1);
  *sample = (LoadSample){ gg_clock_now_ms (), outstanding };
  g_queue_push_tail (&samples, sample);
  (void) get_reported_sample_locked ();
  pthread_mutex_unlock (&lock);
}

static void
reply_load (RunnerReply *reply)
{
  pthread_mutex_lock (&lock);
  const LoadSample *sample = get_reported_sample_locked ();
  reply->status = 200;
  reply->body
      = g_strdup_printf ("{\"outstanding_tokens\":%d,\"tokens_per_s\":%u,\"age_ms\":%u,"
                         "\"leaving\":%s,\"version\":\"%s\"}",
                         sample ? sample->tokens : 0, profile->tokens_per_s, profile->load_lag_ms,
                         faults.leaving ? "true" : "false", atomic_load (&profile->version));
  pthread_mutex_unlock (&lock);
}

static void
reply_records (RunnerReply *reply)
{
  pthread_mutex_lock (&lock);
  reply->status = 200;
  reply->body = g_strdup (records->str);
  pthread_mutex_unlock (&lock);
}

/* These leave the value unchanged if the member is absent. */
static void
read_number (JsonObject *object, const char *member, uint32_t *value)
{
  *value = (uint32_t) json_object_get_int_member_with_default (object, member, *value);
}

static void
read_flag (JsonObject *object, const char *member, gboolean *value)
{
  *value = json_object_get_boolean_member_with_default (object, member, *value);
}

static void
apply_control (const RunnerCall *call, RunnerReply *reply)
{
  JsonObject *object = runner_json_parse (call->body->str);
  if (!object)
    {
      runner_reply_reason (reply, 400, "reason", "malformed");
      return;
    }
  pthread_mutex_lock (&lock);
  read_number (object, "delay_ms", &faults.delay_ms);
  read_number (object, "late_ms", &faults.late_ms);
  read_number (object, "drop_after_run", &faults.drop_after_run);
  read_flag (object, "hang", &faults.hang);
  read_flag (object, "cross_replies", &faults.cross_replies);
  read_flag (object, "double_replies", &faults.double_replies);
  read_flag (object, "leaving", &faults.leaving);
  read_flag (object, "busy", &faults.busy);
  pthread_cond_broadcast (&faults_changed);
  pthread_mutex_unlock (&lock);
  json_object_unref (object);
  runner_reply_reason (reply, 200, "control", "applied");
}

static void
wait_while_hanging (void)
{
  pthread_mutex_lock (&lock);
  while (faults.hang)
    pthread_cond_wait (&faults_changed, &lock);
  pthread_mutex_unlock (&lock);
}

/* Consumes the faults that apply to a limited number of replies: late_ms to one, drop_after_run to
 * as many as it says. Returns whether the reply must be dropped. */
static gboolean
consume_reply_faults (uint32_t *late_ms_out)
{
  pthread_mutex_lock (&lock);
  *late_ms_out = faults.late_ms;
  faults.late_ms = 0;
  gboolean drop = faults.drop_after_run > 0;
  if (drop)
    faults.drop_after_run--;
  pthread_mutex_unlock (&lock);
  return drop;
}

static void
answer (const RunnerCall *call, RunnerReply *reply)
{
  if (strcmp (call->path, "/control") == 0)
    apply_control (call, reply);
  else if (strcmp (call->path, "/records") == 0)
    reply_records (reply);
  else
    {
      wait_while_hanging ();
      if (strcmp (call->path, "/v1/load") == 0)
        reply_load (reply);
      else
        handler (call, reply);
    }
}

/* Sends a copy before the reply itself, which is then read as the answer to the next request. */
static void
send_copy (struct MHD_Connection *connection, const RunnerReply *reply)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  char *text = g_strdup_printf ("HTTP/1.1 %u Copy\r\nContent-Type: application/json\r\n"
                                "Content-Length: %zu\r\n\r\n%s",
                                reply->status, strlen (reply->body), reply->body);
  (void) send (info->connect_fd, text, strlen (text), MSG_NOSIGNAL);
  g_free (text);
}

static enum MHD_Result
send_reply (struct MHD_Connection *connection, RunnerReply *reply)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (reply->body), reply->body, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", "application/json");
  for (size_t i = 0; reply->headers[i]; i += 2)
    MHD_add_response_header (response, reply->headers[i], reply->headers[i + 1]);
  enum MHD_Result result = MHD_queue_response (connection, reply->status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
finish_call (RunnerCall *call)
{
  RunnerReply reply = { 0 };
  answer (call, &reply);
  uint32_t late_ms = 0;
  gboolean drop = reply.ran && consume_reply_faults (&late_ms);
  runner_sleep_us (late_ms * UINT64_C (1000));
  enum MHD_Result result = MHD_NO; /* closes the connection */
  if (!drop)
    {
      if (reply.ran && runner_faults ().double_replies)
        send_copy (call->connection, &reply);
      result = send_reply (call->connection, &reply);
    }
  g_free (reply.body);
  return result;
}

static void *
begin_call (void *data, const char *uri, struct MHD_Connection *connection)
{
  RunnerCall *call = g_new0 (RunnerCall, 1);
  call->connection = connection;
  call->uri = g_strdup (uri);
  call->body = g_string_new (NULL);
  return call;
}

static enum MHD_Result
handle_part (void *data,
             struct MHD_Connection *connection,
             const char *path,
             const char *method,
             const char *http_version,
             const char *upload,
             size_t *upload_size,
             void **state)
{
  RunnerCall *call = *state;
  if (!call->path)
    {
      call->path = path;
      call->method = method;
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      g_string_append_len (call->body, upload, (gssize) *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  return finish_call (call);
}

static void
end_call (void *data,
          struct MHD_Connection *connection,
          void **state,
          enum MHD_RequestTerminationCode code)
{
  RunnerCall *call = *state;
  if (!call)
    return;
  g_free ((char *) call->uri);
  g_string_free (call->body, TRUE);
  g_free (call);
  *state = NULL;
}

char *
runner_parse_options (int argc, char **argv, const GOptionEntry *entries)
{
  char *listen = NULL;
  const GOptionEntry common[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address; port 0 picks a free one", "IP:PORT" },
    G_OPTION_ENTRY_NULL,
  };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_add_main_entries (context, common, NULL);
  g_option_context_add_main_entries (context, entries, NULL);
  gboolean valid = g_option_context_parse (context, &argc, &argv, &error) && listen && argc == 1;
  g_option_context_free (context);
  if (valid)
    return listen;
  fprintf (stderr, "%s: %s\n", argv[0], error ? error->message : "expected --listen IP:PORT");
  exit (USAGE_EXIT);
}

static gboolean
parse_address (const char *address, struct sockaddr_in *address_out)
{
  char *host = NULL;
  uint16_t port = 0;
  *address_out = (struct sockaddr_in){ .sin_family = AF_INET };
  gboolean valid = gg_address_parse (address, &host, &port)
                   && inet_pton (AF_INET, host, &address_out->sin_addr) == 1;
  address_out->sin_port = htons (port);
  g_free (host);
  return valid;
}

/* Opens a listening socket; with port 0 the kernel chooses a free one. Port 0 is replaced for the
 * parsing only, so as not to rely on gg_address_parse() to accept it. */
static int
open_listener (const char *listen_address, char **address_out)
{
  struct sockaddr_in address;
  gboolean any_port = g_str_has_suffix (listen_address, ":0");
  char *text = any_port ? g_strdup_printf ("%s1", listen_address) : g_strdup (listen_address);
  gboolean valid = parse_address (text, &address);
  g_free (text);
  if (any_port)
    address.sin_port = 0;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  socklen_t size = sizeof address;
  if (!valid || bind (fd, (struct sockaddr *) &address, size) != 0 || listen (fd, SOMAXCONN) != 0)
    {
      fprintf (stderr, "can't listen on %s\n", listen_address);
      exit (1);
    }
  getsockname (fd, (struct sockaddr *) &address, &size);
  char host[INET_ADDRSTRLEN];
  inet_ntop (AF_INET, &address.sin_addr, host, sizeof host);
  *address_out = g_strdup_printf ("%s:%u", host, ntohs (address.sin_port));
  return fd;
}

int
runner_serve (const char *listen_address, RunnerProfile *own_profile, RunnerHandler own_handler)
{
  profile = own_profile;
  handler = own_handler;
  records = g_string_new (NULL);
  /* The default timer slack of 50 us would lengthen short steps. */
  prctl (PR_SET_TIMERSLACK, 1, 0, 0, 0);
  sigset_t stops;
  sigemptyset (&stops);
  sigaddset (&stops, SIGTERM);
  sigaddset (&stops, SIGINT);
  pthread_sigmask (SIG_BLOCK, &stops, NULL);
  char *address = NULL;
  int fd = open_listener (listen_address, &address);
  struct MHD_Daemon *daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, 0, NULL, NULL,
      handle_part, NULL, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_URI_LOG_CALLBACK, begin_call,
      NULL, MHD_OPTION_NOTIFY_COMPLETED, end_call, NULL, MHD_OPTION_THREAD_STACK_SIZE,
      (size_t) THREAD_STACK_BYTES, MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX, MHD_OPTION_END);
  if (!daemon)
    return 1;
  printf ("listening %s\n", address);
  fflush (stdout);
  g_free (address);
  int signal_number = 0;
  sigwait (&stops, &signal_number);
  /* MHD_stop_daemon() would wait forever for the threads of hanging calls. */
  _exit (0);
}
