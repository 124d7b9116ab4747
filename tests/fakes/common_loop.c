#include "fake_loop.h"

#include "base/json.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_BYTES (4 * 1024 * 1024)
#define TIMEOUT_MS 60000

struct _GgFakeLoop
{
  GgLoop *loop;
  GgLoopServer *server;
  GHashTable *options;
  GgFakeLoopFunc func;
  GgFakeDisconnectFunc disconnect_func;
  const GgMessageHead *head;
};

static void
handle_request (GgFakeLoop *self,
                GgServerConnection *connection,
                GgMessageHead *head,
                GByteArray *bytes)
{
  JsonObject *body = NULL;
  JsonParser *parser = NULL;
  if (bytes != NULL)
    parser = gg_json_parse_object ((const char *) bytes->data, bytes->len, &body, NULL);
  self->head = head;
  self->func (connection, gg_message_head_get_method (head), gg_message_head_get_target (head),
              body);
  self->head = NULL;
  if (parser != NULL)
    g_object_unref (parser);
  if (bytes != NULL)
    g_byte_array_unref (bytes);
  gg_message_head_destroy (head);
}

static void
on_server (void *data, GgServerConnection *connection, const GgServerEvent *event)
{
  GgFakeLoop *self = data;
  switch (event->kind)
    {
    case GG_SERVER_REQUEST:
      handle_request (self, connection, event->request.head, event->request.body);
      break;
    case GG_SERVER_REJECTED:
      gg_fake_loop_reply (connection, event->status, "");
      break;
    case GG_SERVER_DISCONNECTED:
      if (self->disconnect_func != NULL)
        self->disconnect_func (connection);
      break;
    case GG_SERVER_DRAINED:
      break;
    }
}

static void
on_stop (void *data)
{
  GgFakeLoop *self = data;
  gg_loop_stop (self->loop);
}

GgFakeLoop *
gg_fake_loop_create (int argc,
                     char **argv,
                     GgFakeLoopFunc func,
                     GgFakeDisconnectFunc disconnect_func)
{
  GgFakeLoop *self = g_new0 (GgFakeLoop, 1);
  self->func = func;
  self->disconnect_func = disconnect_func;
  self->loop = gg_loop_create ();
  self->options = g_hash_table_new (g_str_hash, g_str_equal);
  for (int i = 1; i + 1 < argc; i += 2)
    g_hash_table_insert (self->options, argv[i] + strlen ("--"), argv[i + 1]);
  GgServerLimits limits = { MAX_BYTES, MAX_BYTES, TIMEOUT_MS, TIMEOUT_MS };
  GError *error = NULL;
  const char *address = gg_fake_loop_get_option (self, "listen");
  self->server = gg_loop_server_create (self->loop, address != NULL ? address : "", &limits,
                                        on_server, self, &error);
  if (self->server == NULL)
    {
      fprintf (stderr, "%s: %s\n", argv[0], error->message);
      exit (2);
    }
  signal (SIGPIPE, SIG_IGN);
  gg_loop_watch_signal (self->loop, SIGTERM, on_stop, self);
  return self;
}

GgLoop *
gg_fake_loop_get_loop (GgFakeLoop *self)
{
  return self->loop;
}

const char *
gg_fake_loop_get_option (const GgFakeLoop *self, const char *name)
{
  return g_hash_table_lookup (self->options, name);
}

const GgMessageHead *
gg_fake_loop_get_head (const GgFakeLoop *self)
{
  return self->head;
}

int
gg_fake_loop_run (GgFakeLoop *self)
{
  printf ("listening %s\n", gg_fake_loop_get_option (self, "listen"));
  fflush (stdout);
  gg_loop_run (self->loop);
  return EXIT_SUCCESS;
}

static const char *field_name;
static const char *field_value;

void
gg_fake_loop_set_field (const char *name, const char *value)
{
  field_name = name;
  field_value = value;
}

void
gg_fake_loop_reply (GgServerConnection *connection, uint32_t status, const char *body)
{
  GgMessageHead *head = gg_message_head_create_response (status);
  gg_message_head_add (head, "Content-Type", "application/json");
  if (field_name != NULL)
    gg_message_head_add (head, field_name, field_value);
  gg_server_connection_reply (connection, head, body, strlen (body));
  gg_message_head_destroy (head);
}

void
gg_fake_loop_reply_json (GgServerConnection *connection, uint32_t status, JsonBuilder *builder)
{
  char *body = gg_json_print (builder);
  gg_fake_loop_reply (connection, status, body);
  g_free (body);
}

char *
gg_fake_loop_get_argument (const char *target, const char *name)
{
  const char *query = strchr (target, '?');
  char *value = NULL;
  char **parts = g_strsplit (query != NULL ? query + 1 : "", "&", -1);
  for (char **p = parts; *p != NULL && value == NULL; p++)
    {
      char *equals = strchr (*p, '=');
      if (equals != NULL && strlen (name) == (size_t) (equals - *p)
          && strncmp (*p, name, strlen (name)) == 0)
        value = g_uri_unescape_string (equals + 1, NULL);
    }
  g_strfreev (parts);
  return value;
}
