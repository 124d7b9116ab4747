/** @file
 * Admission control: request rate limits of teams, weighted fair shares under contention, and
 * refusal of requests whose predicted wait exceeds the caller's deadline. Thread-safe. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _GgAdmission GgAdmission;

typedef enum
{
  GG_ADMISSION_ADMITTED,
  GG_ADMISSION_TEAM_LIMIT, /**< Over the team's request rate. */
  GG_ADMISSION_OVERLOAD,   /**< Over the team's fair share while the runners are full. */
  GG_ADMISSION_DEADLINE,   /**< Predicted wait exceeds the caller's deadline. */
} GgAdmissionResult;

typedef struct
{
  const char *team;
  double weight;
  uint32_t requests_per_s;    /**< Rate limit over all instances; 0 for none. */
  uint32_t cost_tokens;       /**< Expected cost of the request. */
  uint64_t predicted_wait_ms; /**< From the route table. */
  uint64_t deadline_ms;       /**< Monotonic time by which the answer must start. */
} GgAdmissionQuery;

/** @param target_wait_ms predicted wait above which fair shares are enforced. */
GgAdmission *gg_admission_create (uint64_t target_wait_ms);
void gg_admission_destroy (GgAdmission *self);

/** Admits or refuses one request.
 * @param retry_after_ms_out set on refusal: delay after which a retry is likely to be admitted. */
GgAdmissionResult gg_admission_decide (GgAdmission *self,
                                       const GgAdmissionQuery *query,
                                       uint64_t now_ms,
                                       uint64_t *retry_after_ms_out);

/** Sets a team's request rate at the other entry instances, in requests per second, as exchanged
 * between control processes. */
void gg_admission_set_remote_use (GgAdmission *self,
                                  const char *team,
                                  double requests_per_s,
                                  uint64_t now_ms);

/** Returns the request rate of a team at this instance, in requests per second. */
double gg_admission_get_local_use (GgAdmission *self, const char *team, uint64_t now_ms);
