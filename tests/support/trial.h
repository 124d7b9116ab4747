/** @file
 * A test run: a cluster under test, with a log of the bookings sent to it.
 *
 * The end of a trial checks the invariants that must hold after any fault: no booking ran twice,
 * and no call that was answered not-run is in the records of a service or an engine. */
#pragma once

#include "cluster.h"
#include "golden.h"

/** Loses the reply of one write of a booking record at the key-value service. */
#define GG_TRIAL_LOSE_RECORD_REPLY "{\"lose_replies\":1,\"prefix\":\"greengage/ledger/\"}"
/** As above, and blocks reads of booking records until GG_TRIAL_RELEASE_READS. */
#define GG_TRIAL_HOLD_AFTER_WRITE                                                                  \
  "{\"lose_replies\":1,\"prefix\":\"greengage/ledger/\",\"hold\":true}"
#define GG_TRIAL_RELEASE_READS "{\"hold\":false}"
/** These start and end an outage of the key-value service. */
#define GG_TRIAL_DOWN "{\"down\":true}"
#define GG_TRIAL_UP "{\"down\":false}"

/** Time limit of conditions that a healthy system meets much sooner. */
#define GG_TRIAL_WAIT_MS 8000

typedef struct
{
  GgProof *proof;
  GgCluster *cluster;
  GPtrArray *bookings;   /**< GgBooking, in the order of sending. */
  GString *lost_records; /**< Records of runners that were killed. */
  uint64_t fault_ms;     /**< Time of the fault (CLOCK_MONOTONIC). */
  unsigned n_fresh;      /**< Number of new keys used by gg_trial_wait_recovery(). */
} GgTrial;

/** A call and its answer. */
typedef struct
{
  GgTrial *trial;
  uint32_t instance;
  char *key;        /**< Idempotency key; NULL for none. */
  char *barge;      /**< Content of the booking; calls with the same one may run at most once
                     * in total. */
  gboolean is_chat; /**< A request to the model. */
  GThread *thread;  /**< NULL once the answer was received. */
  unsigned status;  /**< 0 if the connection was closed without an answer. */
  char *outcome;    /**< "" if absent, as below. */
  char *request;    /**< Request id given by the router. */
  char *headers;    /**< "name: value" lines sorted by name, without the date. */
  char *body;
} GgBooking;

/** @return NULL, with the case failed, if the cluster did not start. */
GgTrial *gg_trial_begin (GgProof *proof, const GgClusterOptions *options);

/** Checks the invariants and destroys the cluster; @p self may be NULL. */
void gg_trial_end (GgTrial *self);

/** Sends a booking and waits for the answer. */
GgBooking *gg_trial_book (GgTrial *self, uint32_t instance, const char *key, const char *barge);

/** Sends a booking from another thread; gg_booking_wait() waits for the answer. */
GgBooking *
gg_trial_start_booking (GgTrial *self, uint32_t instance, const char *key, const char *barge);
void gg_booking_wait (GgBooking *self);

/** Repeats a booking until it is no longer answered "in progress", at most GG_TRIAL_WAIT_MS. */
GgBooking *gg_trial_repeat (GgTrial *self, uint32_t instance, const char *key, const char *barge);

/** Repeats a booking until its outcome is @p outcome; fails the case after GG_TRIAL_WAIT_MS. */
GgBooking *gg_trial_repeat_until (
    GgTrial *self, uint32_t instance, const char *key, const char *barge, const char *outcome);

/** These send requests to the model, once or until the outcome is @p outcome. */
GgBooking *gg_trial_chat (GgTrial *self, uint32_t instance);
GgBooking *gg_trial_chat_until (GgTrial *self, uint32_t instance, const char *outcome);

/** Fails the case unless the outcome is @p outcome. */
void gg_booking_expect (const GgBooking *self, const char *outcome);

/** Fails the case unless the answers have the same status and body. */
void gg_booking_expect_same (const GgBooking *self, const GgBooking *other);

guint gg_trial_count_runs (GgTrial *self, const char *barge);

/** Fails the case unless @p barge ran @p n times. */
void gg_trial_expect_runs (GgTrial *self, const char *barge, guint n);

/** Waits until a runner of the service has started to run @p barge.
 * @return the number of the runner. */
uint32_t gg_trial_wait_run (GgTrial *self, const char *barge);

/** Waits until a write has taken effect and its reply was lost. */
void gg_trial_wait_lost_reply (GgTrial *self);

/** Makes the runners of the service delay each call by @p delay_ms. */
void gg_trial_delay_services (GgTrial *self, unsigned delay_ms);

void gg_trial_control_services (GgTrial *self, const char *json);
void gg_trial_control_platform (GgTrial *self, const char *json);

/** Sends a signal to the relays of all runners, or of one data centre, and waits until each of them
 * has applied it. */
void gg_trial_signal_relays (GgTrial *self, const char *data_centre, int number);

/** Kills a runner of the service; its records are still checked at the end. */
void gg_trial_kill_service (GgTrial *self, uint32_t runner);

/** Records the time of the fault, from which the recovery time is measured. */
void gg_trial_note_fault (GgTrial *self);

/** Sends bookings with new keys until one is complete, and records the time since the fault. */
void gg_trial_wait_recovery (GgTrial *self, uint32_t instance);

/** Records the time since the fault as the recovery time. */
void gg_trial_note_recovered (GgTrial *self);

/** Fails the case unless @p condition becomes true within @p timeout_ms. */
void gg_trial_expect_until (
    GgTrial *self, GgCondition condition, void *data, uint64_t timeout_ms, const char *what);

/** Appends the request of a booking, and the headers and body of its answer. */
void gg_trial_append_booking (GgGolden *golden, const GgBooking *booking);

/** Appends the calls to the service for the bookings from number @p first on, in order, and the
 * writes at the platform to keys that start with @p prefix, except those that were closed during an
 * outage. */
void gg_trial_append_calls (GgTrial *self, GgGolden *golden, guint first, const char *prefix);
