/** @file
 * State of one request of a caller and of its sends, shared by relay.c (from arrival to end),
 * relay_send.c (when to send, and what follows a send), send.c (one send) and relay_answer.c
 * (answers to the caller). */
#pragma once

#include "base/event_log.h"
#include "core/attempt.h"
#include "core/event_buffer.h"
#include "core/layer_path.h"
#include "core/refusal_log.h"
#include "daemons/routerd/answer_memory.h"
#include "daemons/routerd/quarantine_exchange.h"
#include "daemons/routerd/relay.h"
#include "daemons/routerd/send.h"
#include "loop/client.h"
#include "ports/relay_wire.h"

#define GG_STATUS_OK 200
#define GG_STATUS_SERVER_ERROR 500
#define GG_STATUS_BAD_GATEWAY 502
#define GG_STATUS_UNAVAILABLE 503
#define GG_STATUS_GATEWAY_TIMEOUT 504

/* Time after which a refused request is likely to succeed: when runners do not take it, or limits
 * are the reason (for lack of capacity see return_time.h), and when the reason concerns this
 * instance only, so that another one can serve it at once. */
#define GG_RETRY_AFTER_FULL_MS 1000
#define GG_RETRY_AFTER_LOCAL_MS 50
/* Where a runner has refused and another one has room, but the budget of repeats is spent: the
 * caller may come back, which is a new request. Those of one moment are spread. */
#define GG_RETRY_AFTER_OTHER_MIN_MS 80
#define GG_RETRY_AFTER_OTHER_SPREAD_MS 160
/* What is in quarantine mostly stays so for minutes. */
#define GG_RETRY_AFTER_QUARANTINED_MS 60000
/* With so many events an answer is well under way. A runner that crashes as it begins to answer may
 * still have written the first one, or have it read together with the next. */
#define GG_BEGUN_EVENTS 3

/* A request that so many peers have not served is not handed over to others. */
#define GG_MAX_FAILED_PEERS 3

/* A peer that a request is handed over to. */
typedef struct
{
  char *name;
  char *address;
  uint64_t token;
} GgPeerTarget;

/* Why a request goes to the data centre of its runner. */
typedef enum
{
  GG_ZONE_REASON_LOCAL,
  GG_ZONE_REASON_SHARE,      /* the shares between data centres meant it for that one */
  GG_ZONE_REASON_COMPARISON, /* it scored better, or the others have no room */
} GgZoneReason;

struct _GgSend
{
  GgRelay *relay;
  GgLoopCall *call;      /* NULL once it has ended */
  GgFleetRunner *runner; /* NULL if the request is handed over to a peer */
  GgPeerTarget peer;     /* all zero if it goes to a runner */
  GgLayerPath path;
  gboolean has_path;
  GgZoneReason zone_reason;
  uint64_t sent_ms;
  uint64_t sent_boot_ms;     /* the same time by CLOCK_BOOTTIME */
  uint64_t last_activity_ms; /* last bytes of the answer received, or sent or rerouted since */
  uint64_t awaited_since_ms; /* since when an event is awaited: sent, rerouted or read again last */
  gboolean is_trial;         /* of a request in quarantine */
  gboolean is_suspected;     /* without an answer to a query, or a path that could be repaired */
  gboolean is_awaited;       /* the link monitor waits for bytes of the answer */
  gboolean is_paused;        /* reading is paused, as the caller is slow */
  GgLoopCall *reroute_call;  /* the order to change the path, NULL if none */
  GgOrderResult reroute_result;

  GgBufferHolder memory;  /* what is held of the answer */
  size_t head_part_bytes; /* memory of a head that is being received */
  GgMessageHead *answer;  /* its head */
  GgRunnerAnswerFields answer_fields;
  GgHandoverOutcome outcome; /* that a peer states in the head */
  GByteArray *answer_body;
  GgEventBuffer *events; /* NULL unless the answer is a stream of events */
  gboolean has_event;
  gboolean has_new_event;       /* one that was forwarded to the caller */
  uint32_t n_events;            /* of this send, repeated ones included */
  gboolean is_closed_by_runner; /* before the end of the answer */
};

struct _GgRelay
{
  GgRouter *router;
  GgServerConnection *connection;
  GgMessageHead *head;
  GByteArray *body; /* NULL for none */
  GgCallerFields caller;
  char log_id[GG_EVENT_LOG_ID_BYTES + 1]; /* the attempt id, for the log */
  GgRefusalKind refusal;                  /* before it was authorized */
  GgRoutingConfig *config;                /* in force when the request arrived */
  const GgCallerRoute *route;
  const GgRoutedService *service;
  const GgKeyedTeam *team; /* NULL without a key */
  uint32_t random;
  uint64_t received_ms;
  uint64_t deadline_ms;
  uint64_t digest; /* of the request; 0 until it is needed */
  gboolean has_digest_prefix;
  uint16_t digest_prefix;
  GgAttempt attempt;
  gboolean is_queued;
  gboolean is_sent;      /* it was sent at least once */
  gboolean is_held_back; /* it found no capacity within the limit of a team over its share */

  GgLoopTimer *timer;
  GgSend *send;                 /* the current one; NULL while there is none */
  GgSend *hedge;                /* the second one beside it, or NULL */
  gboolean is_hedge_denied;     /* it was logged that none could be sent */
  GgFleetRunner *failed_runner; /* the runner of the last send that failed */
  gboolean is_refused_for_load; /* its load explains the last refusal of a runner */
  char *failed_peers[GG_MAX_FAILED_PEERS];
  guint n_failed_peers;
  gboolean is_handed_over;  /* by a peer, so that it is not handed over again */
  uint32_t n_cuts_at_start; /* sends that the runner broke off between head and first event */
  GgUsedConnections used_connections; /* by its sends, which all carry its attempt id */

  gboolean is_head_sent; /* the head of the answer was sent to the caller */
  gboolean has_last_id;
  uint64_t last_id;       /* of the last complete event forwarded to the caller */
  gboolean is_event_open; /* a run broke off inside the event after that */
  uint32_t n_events;
  uint64_t first_event_ms;
  uint64_t last_event_ms;
  uint64_t longest_gap_ms; /* between two events forwarded to the caller */
  uint64_t retry_after_ms; /* the caller was told to come back after this; 0 if it was not */
  gboolean is_admitted;    /* a runner has accepted it */
};

/** Ends the request, whose caller already has its answer or has disconnected.
 * @param outcome is logged and counted.
 * @param status that was sent to the caller; 0 for a connection that was closed. */
void gg_relay_finish (GgRelay *self, const char *outcome, uint32_t status);

/** Returns the digest that all repeats of the request by its caller have. */
uint64_t gg_relay_get_digest (GgRelay *self);

/** Returns the prefix of that digest, which costs little. */
uint16_t gg_relay_get_digest_prefix (GgRelay *self);

/** Records that the answer to a request is well under way.
 * @param has_parts whether that shows that the parts of its prompt crash no runner. */
void gg_relay_note_served (GgRelay *self, gboolean has_parts);

/** Sends the request to runners, or queues it if none has capacity. */
void gg_relay_dispatch (GgRelay *self);

/** Handles the end of a send: delivers its answer, retries the request or ends it. @p send is
 * destroyed.
 * @param cause what ended it, for the log. */
void gg_relay_end_send (GgRelay *self, GgSend *send, GgSendResult result, const char *cause);

/** Sends a hedge beside the current send, unless there is one. */
GgHedgeResult gg_relay_hedge (GgRelay *self);

/** Records how much of the answer is held in memory. */
void gg_relay_update_answer_bytes (GgRelay *self);

/** Handles the first event of an answer that the caller has not received yet: if there is another
 * send, it is dropped. */
void gg_relay_prefer_send (GgRelay *self, GgSend *send);

/** Returns whether the request is to be handed over: this instance does not reach the runners, and
 * has not been handed the request itself. */
gboolean gg_relay_needs_peer (const GgRelay *self);

/** Chooses a runner and reserves its capacity; a peer if the request is to be handed over.
 * @param excluded a runner that must not be used, or NULL.
 * @param result_out GG_PATH_FULL if there are runners, but none has capacity now.
 * @return the send, which was not transmitted yet; NULL if there is no runner for it. */
GgSend *gg_send_create (GgRelay *relay, const GgFleetRunner *excluded, GgPathResult *result_out);

/** Returns the number of tokens for which the request is expected to need memory. */
uint32_t gg_relay_get_expected_tokens (const GgRelay *self);

/** Returns whether the request may use less memory than others of its priority, since its team is
 * over its share. */
gboolean gg_relay_is_over_share (const GgRelay *self);

/** Returns whether a runner other than the one that failed last has room for the request now. */
gboolean gg_relay_has_other_runner (const GgRelay *self);

/** Returns the id of the runner or the name of the peer, for the log. */
const char *gg_send_get_target (const GgSend *self);

/** Returns whether the request is handed over to a peer. */
gboolean gg_send_is_handover (const GgSend *self);

/** Returns whether the target has stated that it has not run the request and will not. */
gboolean gg_send_is_refused (const GgSend *self);

/** Returns whether the request must not be sent again after this send: a peer has stated that it
 * made all sends that are allowed, or that no runner takes the request. */
gboolean gg_send_is_final (const GgSend *self);

/** Transmits the request. */
void gg_send_transmit (GgSend *self);

/** Releases the capacity that was reserved at its runners. */
void gg_send_release (GgSend *self);

/** Closes its connection if the answer has not ended. NULL is allowed. */
void gg_send_destroy (GgSend *self);

/** Handles the head of a runner's answer; takes ownership of @p head.
 * @return FALSE if it answers another request. */
gboolean gg_send_receive_head (GgSend *self, GgMessageHead *head);
void gg_send_receive_body (GgSend *self, const char *bytes, size_t size_bytes);

/** Stops or resumes reading the answer, for flow control. */
void gg_send_set_paused (GgSend *self, gboolean is_paused);

/** Classifies an answer that was received up to its end. */
GgSendResult gg_send_classify_answer (const GgSend *self);

/** Deliver the complete answer of a runner, or end its stream. These functions and all those below
 * end the request. */
void gg_relay_deliver (GgRelay *self);
void gg_relay_end_stream (GgRelay *self);

/** Answers that the request has not run and will not, since it is not allowed or can't be served
 * now.
 * @param detail is sent to the caller and logged as the outcome. */
void gg_relay_refuse (GgRelay *self, uint32_t status, const char *detail, uint64_t retry_after_ms);

/** Answers that the request failed and may have run. */
void gg_relay_fail (GgRelay *self, uint32_t status, const char *detail);

/** Closes the connection of a caller that has received a part of the answer. */
void gg_relay_abort_answer (GgRelay *self, const char *reason);
