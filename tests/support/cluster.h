/** @file
 * Default environment of process tests, on loopback: fake platform and instance list, a model
 * "reader" of three layer ranges with two engines each, a plain service "moorings" with two
 * runners, and instances with one entryd and one controld each, spread over two data centres. */
#pragma once

#include "http_client.h"
#include "process.h"

#define GG_CLUSTER_LAYERS 12
#define GG_CLUSTER_RANGES 3
#define GG_CLUSTER_ENGINES_PER_RANGE 2
#define GG_CLUSTER_ENGINES (GG_CLUSTER_RANGES * GG_CLUSTER_ENGINES_PER_RANGE)
#define GG_CLUSTER_SERVICES 2
#define GG_CLUSTER_RUNNERS (GG_CLUSTER_ENGINES + GG_CLUSTER_SERVICES)
#define GG_CLUSTER_RUNNERS_MAX 40
#define GG_CLUSTER_INSTANCES_MAX 8

/** Authorization header of the team "team-N", for N below GgClusterOptions.n_teams. */
#define GG_CLUSTER_TEAM_BEARER "Bearer key-of-team-%u"

/** Keys of the two default teams; "rubavu-readers" may call only the model. */
#define GG_CLUSTER_SCHOOLS_KEY "key-of-karongi-schools"
#define GG_CLUSTER_READERS_KEY "key-of-rubavu-readers"
#define GG_CLUSTER_SCHOOLS_BEARER ("Bearer " GG_CLUSTER_SCHOOLS_KEY)
#define GG_CLUSTER_READERS_BEARER ("Bearer " GG_CLUSTER_READERS_KEY)

typedef enum
{
  GG_LISTED_LIVE,
  GG_LISTED_LEAVING,
  GG_LISTED_ABSENT,
} GgListed;

typedef struct
{
  char *id;
  const char *data_centre;
  const char *service;
  uint32_t first_layer; /**< Both are 0 for a plain service. */
  uint32_t end_layer;
  char *address;        /**< Address of the runner, for /control and /records. */
  char *listed_address; /**< Address of its relay, or of the runner without relays. */
  GgProcess *process;
  GgProcess *relay; /**< NULL without relays. */
  GgListed listed;
  uint64_t incarnation;
  char *past_output; /**< Output of its earlier processes; NULL for none. */
} GgClusterRunner;

typedef struct
{
  char *name;
  const char *data_centre;
  char *callers; /**< Listening addresses "IP:PORT" of the two processes. */
  char *entry_rpc;
  char *control_rpc;
  char *control_http;
  char *entry_settings; /**< Paths of the settings files. */
  char *control_settings;
  GgProcess *entry;
  GgProcess *control;
  GgListed listed;
  uint64_t incarnation;
} GgClusterInstance;

typedef struct
{
  uint32_t n_instances;
  gboolean with_relays;
  uint32_t step_us;           /**< Time per position of an engine; 0 for 1000. */
  uint32_t engines_per_range; /**< 0 for the default of 2. */
  const uint32_t *steps_us;   /**< Per engine of a range, instead of step_us; or NULL. */
  uint32_t slots;             /**< Steps that an engine runs concurrently; 0 for 8. */
  uint32_t load_lag_ms;       /**< Age of the load that engines report. */
  gboolean without_records;   /**< Engines write no records, for long runs. */
  uint32_t remote_delay_us;   /**< One-way delay of relays of the second data centre. */
  gboolean one_entry_centre;  /**< All instances are in the first data centre. */
  uint32_t n_teams;           /**< Additional teams "team-0" and so on, without rate limit. */
  uint32_t last_team_requests_per_s; /**< Rate limit of the last of them; 0 for none. */
  const char *reader_declaration;    /**< Replaces the default declaration of the model. */
  const char *const *entry_settings; /**< Section, key, value, ..., NULL; override the defaults. */
  const char *const *control_settings;               /**< As above. */
  const char *const *const *instance_entry_settings; /**< Per instance; as above; or NULL. */
} GgClusterOptions;

typedef struct
{
  char *folder; /**< Temporary; holds settings and declarations. */
  char *services_folder;
  char *kv; /**< Addresses of the fake key-value service and of the fake list. */
  char *list;
  GgProcess *platform_process;
  GgProcess *list_process;
  GgClusterRunner runners[GG_CLUSTER_RUNNERS_MAX]; /**< Engines by range, then services. */
  uint32_t n_engines;
  uint32_t n_runners;
  uint32_t n_teams;
  uint32_t last_team_requests_per_s;
  const char *reader_declaration;
  GgClusterInstance instances[GG_CLUSTER_INSTANCES_MAX];
  uint32_t n_instances;
  GgClusterOptions options; /**< Shallow copy; the arrays must outlive the cluster. */
} GgCluster;

/** Starts all processes and waits until all instances are ready.
 * @return NULL if that failed, after printing the reason to standard error. */
GgCluster *gg_cluster_create (const GgClusterOptions *options);

/** Kills all processes of the cluster and removes its folder; @p self may be NULL. */
void gg_cluster_destroy (GgCluster *self);

/** Removes the folders of all existing clusters, for a program that was interrupted. */
void gg_cluster_remove_folders (void);

/** These start or restart a process of an instance, with the same addresses. */
void gg_cluster_start_entry (GgCluster *self, uint32_t instance);
void gg_cluster_start_control (GgCluster *self, uint32_t instance);

/** Restarts a runner with the same address; the output of its earlier processes is kept. */
gboolean gg_cluster_start_runner (GgCluster *self, uint32_t runner);

/** Returns the standard output of a runner's current and earlier processes, owned by the caller. */
char *gg_cluster_read_output (GgCluster *self, uint32_t runner);

/** Returns whether GET /readyz of an instance answers 200 within @p timeout_ms; FALSE as soon as
 * its entry process ended. */
gboolean gg_cluster_wait_ready (GgCluster *self, uint32_t instance, uint64_t timeout_ms);

/** Publishes all members to the fake list, according to their field "listed". */
gboolean gg_cluster_publish_list (GgCluster *self);

/** Writes a declaration file to the services folder. */
void gg_cluster_write_declaration (GgCluster *self, const char *file, const char *text);

/** Runs greengage-publish on the services folder.
 * @return its exit status. */
int gg_cluster_publish_config (GgCluster *self, char **output_out);

/** Sends fault controls to a runner. */
gboolean gg_cluster_control_runner (GgCluster *self, uint32_t runner, const char *json);

/** One executed layer from the records of the engines. */
typedef struct
{
  char request[33];
  char attempt[33];
  uint32_t epoch;
  uint32_t position;
  uint32_t layer;
  uint64_t time_us; /**< End of the execution (CLOCK_MONOTONIC). */
  uint32_t runner;
} GgClusterRecord;

/** Returns the records (GgClusterRecord) of all engines, including killed and stopped ones, ordered
 * by time; owned by the caller. */
GArray *gg_cluster_read_records (GgCluster *self);

/** Returns whether every layer ran exactly once and in order for positions 0 to @p n_positions - 1
 * of @p request, in one lineage per range; for answers without recovery. */
gboolean gg_cluster_layers_ran_once (GgCluster *self, const char *request, uint32_t n_positions);

/** Returns the calls that the runners of "moorings" executed, one per line; owned by the caller. */
char *gg_cluster_read_calls (GgCluster *self);

/** Prints the standard error output of all processes. */
void gg_cluster_print_errors (GgCluster *self);
