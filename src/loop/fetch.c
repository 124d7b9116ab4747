#include "loop/fetch.h"

#include "base/clock.h"

/* An answer that arrives steadily may take this many times the time limit. */
#define MAX_TIMEOUTS 4

struct _GgLoopFetch
{
  GgLoop *loop;
  GgLoopCall *call; /* NULL once it has ended */
  GgLoopTimer *timer;
  GgFetchFunc func;
  void *data;
  uint32_t status;
  GString *body;
  GgMessageHead *head; /* of the answer; NULL before it */
  size_t max_body_bytes;
  uint64_t timeout_ms;
  uint64_t end_ms; /* the fetch ends by then, however the answer arrives */
};

static void
free_fetch (void *data)
{
  GgLoopFetch *self = data;
  gg_loop_timer_destroy (self->timer);
  g_string_free (self->body, TRUE);
  gg_message_head_destroy (self->head);
  g_free (self);
}

static void
finish (GgLoopFetch *self, GgFetchEnd end)
{
  const GgFetchResult result = { .end = end,
                                 .status = self->status,
                                 .head = self->head,
                                 .body = self->body->str,
                                 .body_bytes = self->body->len };
  self->call = NULL;
  gg_loop_timer_stop (self->timer);
  gg_loop_defer (self->loop, free_fetch, self);
  self->func (self->data, &result);
}

static GgFetchEnd
map_end (GgCallEnd end)
{
  switch (end)
    {
    case GG_CALL_COMPLETE:
      return GG_FETCH_ANSWERED;
    case GG_CALL_UNREACHABLE:
      return GG_FETCH_UNREACHABLE;
    case GG_CALL_BROKEN:
    case GG_CALL_MALFORMED:
      break;
    }
  return GG_FETCH_LOST;
}

/* A part of the answer shows that the peer is slow rather than silent. */
static void
extend_timeout (GgLoopFetch *self)
{
  uint64_t now_ms = gg_clock_now_ms ();
  uint64_t left_ms = self->end_ms > now_ms ? self->end_ms - now_ms : 0;
  gg_loop_timer_start (self->timer, MIN (self->timeout_ms, left_ms));
}

static gboolean
on_call (void *data, const GgCallEvent *event)
{
  GgLoopFetch *self = data;
  switch (event->kind)
    {
    case GG_CALL_HEAD_PART:
      break;
    case GG_CALL_HEAD:
      self->status = gg_message_head_get_status (event->head);
      gg_message_head_destroy (self->head);
      self->head = event->head;
      extend_timeout (self);
      break;
    case GG_CALL_BODY:
      if (self->body->len + event->body.size_bytes > self->max_body_bytes)
        {
          /* The rest may have no end. */
          gg_loop_call_cancel (self->call);
          finish (self, GG_FETCH_LOST);
          break;
        }
      g_string_append_len (self->body, event->body.bytes, (gssize) event->body.size_bytes);
      extend_timeout (self);
      break;
    case GG_CALL_END:
      finish (self, map_end (event->end));
      break;
    }
  return TRUE;
}

static void
on_timeout (void *data)
{
  GgLoopFetch *self = data;
  gg_loop_call_cancel (self->call);
  finish (self, GG_FETCH_TIMED_OUT);
}

GgLoopFetch *
gg_loop_fetch (
    GgLoop *loop, GgLoopClient *client, const GgFetchRequest *request, GgFetchFunc func, void *data)
{
  GgLoopFetch *self = g_new0 (GgLoopFetch, 1);
  self->loop = loop;
  self->func = func;
  self->data = data;
  self->max_body_bytes = request->max_body_bytes;
  self->body = g_string_new (NULL);
  self->timeout_ms = request->timeout_ms;
  self->end_ms = gg_clock_now_ms () + MAX_TIMEOUTS * request->timeout_ms;
  self->timer = gg_loop_timer_create (loop, on_timeout, self);
  self->call = gg_loop_client_call (client, &request->call, on_call, self);
  gg_loop_timer_start (self->timer, request->timeout_ms);
  return self;
}

gboolean
gg_loop_fetch_has_data (const GgLoopFetch *self)
{
  return self->status != 0;
}

void
gg_loop_fetch_cancel (GgLoopFetch *self)
{
  if (self == NULL)
    return;
  gg_loop_call_cancel (self->call);
  gg_loop_timer_stop (self->timer);
  gg_loop_defer (self->loop, free_fetch, self);
}
