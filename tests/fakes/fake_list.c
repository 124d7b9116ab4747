/* Fake of the platform's list of instances. PUT /v1/instances replaces the published list;
 * POST /control {"lag_ms":N} delays the visibility of later changes. */
#include "common_http.h"

#include "base/clock.h"

#include <pthread.h>
#include <string.h>

typedef struct
{
  pthread_mutex_t lock;
  char *visible;
  gint64 lag_ms;
  GQueue pending; /* of Change, by at_ms */
} List;

typedef struct
{
  char *text;
  guint64 at_ms; /* when it becomes visible */
} Change;

static void
apply_due (List *list)
{
  Change *change = g_queue_peek_head (&list->pending);
  while (change != NULL && change->at_ms <= gg_clock_now_ms ())
    {
      g_free (list->visible);
      list->visible = change->text;
      g_free (g_queue_pop_head (&list->pending));
      change = g_queue_peek_head (&list->pending);
    }
}

static void
publish (List *list, const GgFakeCall *call, GgFakeReply *reply)
{
  JsonNode *node = gg_fake_parse_object (call, reply);
  if (node == NULL)
    return;
  JsonNode *instances = json_object_get_member (json_node_get_object (node), "instances");
  if (instances == NULL || !JSON_NODE_HOLDS_ARRAY (instances))
    gg_fake_reply_set (reply, MHD_HTTP_BAD_REQUEST, "expected an array 'instances'");
  else
    {
      /* Changes become visible in order, even if the lag was shortened. */
      Change *last = g_queue_peek_tail (&list->pending);
      Change *change = g_new0 (Change, 1);
      change->text = g_strdup (call->body);
      change->at_ms = gg_clock_now_ms () + (guint64) list->lag_ms;
      if (last != NULL && last->at_ms > change->at_ms)
        change->at_ms = last->at_ms;
      g_queue_push_tail (&list->pending, change);
    }
  json_node_unref (node);
}

static void
control (List *list, const GgFakeCall *call, GgFakeReply *reply)
{
  JsonNode *node = gg_fake_parse_object (call, reply);
  if (node == NULL)
    return;
  list->lag_ms = MAX (0, gg_fake_get_int (node, "lag_ms", list->lag_ms));
  json_node_unref (node);
}

static void
handle (void *state, const GgFakeCall *call, GgFakeReply *reply)
{
  List *list = state;
  pthread_mutex_lock (&list->lock);
  apply_due (list);
  if (gg_fake_call_is (call, "GET", "/v1/instances"))
    gg_fake_reply_set (reply, MHD_HTTP_OK, list->visible);
  else if (gg_fake_call_is (call, "PUT", "/v1/instances"))
    publish (list, call, reply);
  else if (gg_fake_call_is (call, "POST", "/control"))
    control (list, call, reply);
  else
    gg_fake_reply_set (reply, MHD_HTTP_NOT_FOUND, "no such call");
  pthread_mutex_unlock (&list->lock);
}

int
main (int argc, char **argv)
{
  List list = { .visible = g_strdup ("{\"instances\":[]}"), .pending = G_QUEUE_INIT };
  pthread_mutex_init (&list.lock, NULL);
  int status = gg_fake_http_run (argc, argv, "Fake list of instances.", handle, NULL, &list);
  for (Change *change; (change = g_queue_pop_head (&list.pending)) != NULL; g_free (change))
    g_free (change->text);
  g_free (list.visible);
  return status;
}
