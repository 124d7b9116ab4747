/** @file
 * A cluster under test with a log of the bookings sent to it.
 *
 * When a trial ends it checks what must hold after any fault: no booking ran twice, and no call
 * that was answered not-run is in the records of a service or an engine. */
#pragma once

#include "cluster.h"
#include "golden.h"

/** Faults of the key-value service that are limited to records of bookings. */
#define GG_TRIAL_LOSE_RECORD_REPLY "{\"lose_replies\":1,\"prefix\":\"greengage/ledger/\"}"
/** As above; reads of records then block until GG_TRIAL_RELEASE_READS. */
#define GG_TRIAL_HOLD_AFTER_WRITE                                                                  \
  "{\"lose_replies\":1,\"prefix\":\"greengage/ledger/\",\"hold\":true}"
#define GG_TRIAL_RELEASE_READS "{\"hold\":false}"
#define GG_TRIAL_DOWN "{\"down\":true}"
#define GG_TRIAL_UP "{\"down\":false}"

/** Bound of conditions that a healthy system meets much sooner. */
#define GG_TRIAL_WAIT_MS 8000

typedef struct
{
  GgProof *proof;
  GgCluster *cluster;
  GPtrArray *bookings;   /**< GgBooking, in the order of sending. */
  GString *lost_records; /**< Calls recorded by runners that were killed. */
  uint64_t fault_ms;
  unsigned n_fresh;
} GgTrial;

/** One call and its answer. */
typedef struct
{
  GgTrial *trial;
  uint32_t instance;
  char *key;        /**< Idempotency key; NULL for none. */
  char *barge;      /**< Content; the same for all calls that may run once together. */
  gboolean is_chat; /**< A request to the model. */
  GThread *thread;  /**< NULL once the answer is here. */
  unsigned status;  /**< 0 if the connection was cut. */
  char *outcome;    /**< "" if there was none, as below. */
  char *request;
  char *headers; /**< "name: value" lines in order of name, without the date. */
  char *body;
} GgBooking;

/** @return NULL, and a failed case, if the cluster did not start. */
GgTrial *gg_trial_begin (GgProof *proof, const GgClusterOptions *options);

/** Checks the log and destroys the cluster; @p self may be NULL. */
void gg_trial_end (GgTrial *self);

/** Sends a booking and waits for the answer. */
GgBooking *gg_trial_book (GgTrial *self, uint32_t instance, const char *key, const char *barge);

/** Sends a booking from another thread; gg_booking_wait() waits for the answer. */
GgBooking *
gg_trial_start_booking (GgTrial *self, uint32_t instance, const char *key, const char *barge);
void gg_booking_wait (GgBooking *self);

/** Repeats a booking until it is no longer answered "in progress". */
GgBooking *gg_trial_repeat (GgTrial *self, uint32_t instance, const char *key, const char *barge);

/** Repeats a booking until its outcome is @p outcome; fails the case if that takes too long. */
GgBooking *gg_trial_repeat_until (
    GgTrial *self, uint32_t instance, const char *key, const char *barge, const char *outcome);

/** Sends a request to the model. */
GgBooking *gg_trial_chat (GgTrial *self, uint32_t instance);
GgBooking *gg_trial_chat_until (GgTrial *self, uint32_t instance, const char *outcome);

/** Fails the case unless the outcome is @p outcome. */
void gg_booking_expect (const GgBooking *self, const char *outcome);

/** Fails the case unless the answers have the same body. */
void gg_booking_expect_same (const GgBooking *self, const GgBooking *other);

guint gg_trial_count_runs (GgTrial *self, const char *barge);

/** Fails the case unless @p barge ran @p n times. */
void gg_trial_expect_runs (GgTrial *self, const char *barge, guint n);

/** Waits until a service has begun to run @p barge.
 * @return the number of the runner. */
uint32_t gg_trial_wait_run (GgTrial *self, const char *barge);

/** Waits until the write of a record took effect and its reply was lost. */
void gg_trial_wait_lost_reply (GgTrial *self);

/** Makes the services take @p delay_ms per call. */
void gg_trial_delay_services (GgTrial *self, unsigned delay_ms);

void gg_trial_control_services (GgTrial *self, const char *json);
void gg_trial_control_platform (GgTrial *self, const char *json);

/** Sends a signal to the relays of all runners, or of those of one data centre. */
void gg_trial_signal_relays (GgTrial *self, const char *data_centre, int number);

/** Kills a runner of a service; its records stay part of the trial. */
void gg_trial_kill_service (GgTrial *self, uint32_t runner);

/** Notes the time of the fault, for the recovery time. */
void gg_trial_note_fault (GgTrial *self);

/** Sends bookings with new keys until one is complete, and notes the time since the fault. */
void gg_trial_recover (GgTrial *self, uint32_t instance);

/** Notes the time since the fault. */
void gg_trial_note_recovered (GgTrial *self);

/** Fails the case unless @p condition becomes true within @p timeout_ms. */
void gg_trial_expect_until (
    GgTrial *self, GgCondition condition, void *data, uint64_t timeout_ms, const char *what);

/** Appends the request of a booking and the bytes of its answer. */
void gg_trial_append_booking (GgGolden *golden, const GgBooking *booking);

/** Appends the calls of services for the bookings from number @p first on, in their order, and the
 * writes at the platform to keys that start with @p prefix, except such as were closed during an
 * outage. */
void gg_trial_append_calls (GgTrial *self, GgGolden *golden, guint first, const char *prefix);
