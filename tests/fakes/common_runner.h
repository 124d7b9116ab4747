/** @file
 * HTTP server, fault controls, load report and records shared by the fake runners. */
#pragma once

#include <stdatomic.h>
#include <glib.h>
#include <json-glib/json-glib.h>
#include <microhttpd.h>
#include <stdint.h>

#define RUNNER_REPLY_HEADERS_MAX 8

typedef struct
{
  struct MHD_Connection *connection;
  const char *method;
  const char *path; /**< Without the query. */
  const char *uri;  /**< With the query. */
  GString *body;
} RunnerCall;

typedef struct
{
  unsigned status;
  char *body;                                        /**< JSON, freed by the server. */
  gboolean ran;                                      /**< Executed: reply faults apply. */
  const char *headers[RUNNER_REPLY_HEADERS_MAX + 1]; /**< Name, value, ..., NULL. */
} RunnerReply;

/** Injected faults, set by POST /control. */
typedef struct
{
  uint32_t delay_ms;       /**< Additional execution time of each call. */
  uint32_t late_ms;        /**< Delay of the next reply of an executed call, once. */
  uint32_t drop_after_run; /**< Number of executed calls whose connection closes without a reply. */
  gboolean hang;           /**< Block calls, except /control and /records, until it is FALSE. */
  gboolean cross_replies;  /**< Swap the replies of two concurrent steps of an engine. */
  gboolean double_replies; /**< Send each reply of an executed call twice. */
  gboolean leaving;        /**< Reject new work with this reason; reported with the load. */
  gboolean busy;           /**< Reject new work with this reason. */
} RunnerFaults;

typedef struct
{
  const char *_Atomic version; /**< Reported with the load. */
  uint32_t tokens_per_s;       /**< Reported with the load. */
  uint32_t load_lag_ms;        /**< Age of the reported load. */
  gboolean without_records;    /**< Write no records or trace lines, for long runs. */
} RunnerProfile;

typedef void (*RunnerHandler) (const RunnerCall *call, RunnerReply *reply_out);

/** Parses @p entries and --listen; exits with status 2 on a usage error.
 * @return the listening address, owned by the caller. */
char *runner_parse_options (int argc, char **argv, const GOptionEntry *entries);

/** Serves at @p listen until SIGTERM or SIGINT.
 * @param profile kept by reference; only its version may change later. */
int runner_serve (const char *listen, RunnerProfile *profile, RunnerHandler handler);

/** Returns a copy of the current faults. */
RunnerFaults runner_faults (void);

/** Adds to the outstanding tokens of the load report; may be negative. */
void runner_add_outstanding (int32_t tokens);

/** Adds one line to GET /records, and, with the prefix "record ", to standard output, where it
 * outlives the process; does nothing if the profile has without_records set. */
void runner_record (const char *format, ...) G_GNUC_PRINTF (1, 2);

/** Records several lines (char *) with one write, so that a kill leaves either all or none. */
void runner_record_all (const GPtrArray *lines);

/** Writes one line to standard output unless the profile has without_records set. */
void runner_trace (const char *format, ...) G_GNUC_PRINTF (1, 2);

/** Sleeps for @p us microseconds. */
void runner_sleep_us (uint64_t us);

/** Fills a reply of @p status with a JSON object of one string member. */
void
runner_reply_reason (RunnerReply *reply, unsigned status, const char *member, const char *text);

/** Serializes the value in @p builder and frees it.
 * @return the text, owned by the caller. */
char *runner_json_text (JsonBuilder *builder);

/** Parses a JSON object; free with json_object_unref().
 * @return NULL if @p text is not an object. */
JsonObject *runner_json_parse (const char *text);
