/** @file
 * The usual setting of process tests on loopback: fake platform and list, a model "reader" of
 * three ranges with two engines each, a plain service "moorings" with two runners, and instances
 * with one entryd and one controld each, spread over two data centres. */
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

/** Bearer header of team number N of GgClusterOptions.n_teams, which is called "team-N". */
#define GG_CLUSTER_TEAM_BEARER "Bearer key-of-team-%u"

/** Bearer keys of the two teams; "readers" may call only the model. */
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
  uint32_t first_layer; /**< 0 to 0 for a plain service. */
  uint32_t end_layer;
  char *address;        /**< Of the runner itself, for /control and /records. */
  char *listed_address; /**< Of its relay, if there is one. */
  GgProcess *process;
  GgProcess *relay; /**< NULL without relays. */
  GgListed listed;
  uint64_t incarnation;
  char *past_output; /**< Of processes that were replaced; NULL for none. */
} GgClusterRunner;

typedef struct
{
  char *name;
  const char *data_centre;
  char *callers;
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
  uint32_t step_us;                    /**< Time per position of an engine; 0 for 1000. */
  uint32_t engines_per_range;          /**< 0 for the usual two. */
  const uint32_t *steps_us;            /**< Per engine of a range, instead of step_us; or NULL. */
  uint32_t slots;                      /**< Steps that an engine runs at once; 0 for its default. */
  uint32_t load_lag_ms;                /**< Age of the load that engines report. */
  gboolean without_records;            /**< Engines keep no records, for long runs. */
  uint32_t remote_delay_us;            /**< One-way time of relays of the second data centre. */
  gboolean one_entry_centre;           /**< All instances are in the first data centre. */
  uint32_t n_teams;                    /**< Further teams "team-0" and so on, without rate limit. */
  uint32_t last_team_requests_per_s;   /**< Limit of the last of them; 0 for none. */
  const char *reader_declaration;      /**< Instead of the usual declaration of the model. */
  const char *const *entry_settings;   /**< Section, key, value, ..., NULL; override the usual. */
  const char *const *control_settings; /**< As above. */
  const char *const *const *instance_entry_settings; /**< Per instance; as above; or NULL. */
} GgClusterOptions;

typedef struct
{
  char *folder; /**< Temporary; holds settings and declarations. */
  char *services_folder;
  char *kv;
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
  GgClusterOptions options; /**< As given; its arrays outlive the cluster. */
} GgCluster;

/** Starts everything and waits until all instances are ready.
 * @return NULL after a report on standard error if that failed. */
GgCluster *gg_cluster_create (const GgClusterOptions *options);

/** Kills all processes of the cluster and removes its folder; @p self may be NULL. */
void gg_cluster_destroy (GgCluster *self);

/** Removes the folders of all clusters that still exist, for a program that is interrupted. */
void gg_cluster_remove_folders (void);

/** Starts the process again after it ended, under the same addresses. */
void gg_cluster_start_entry (GgCluster *self, uint32_t instance);
void gg_cluster_start_control (GgCluster *self, uint32_t instance);

/** Starts a runner again under the same address; what its earlier processes wrote is kept. */
gboolean gg_cluster_start_runner (GgCluster *self, uint32_t runner);

/** Standard output of a runner's present and past processes, owned by the caller. */
char *gg_cluster_read_output (GgCluster *self, uint32_t runner);

/** Returns whether GET /readyz of an instance gives 200 within @p timeout_ms. */
gboolean gg_cluster_wait_ready (GgCluster *self, uint32_t instance, uint64_t timeout_ms);

/** Publishes the members with their state "listed" to the list. */
gboolean gg_cluster_publish_list (GgCluster *self);

/** Writes a declaration file below the services' folder. */
void gg_cluster_write_declaration (GgCluster *self, const char *file, const char *text);

/** Runs greengage-publish over the services' folder.
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
  uint64_t time_us;
  uint32_t runner;
} GgClusterRecord;

/** Reads the records of all engines, also of killed and stopped ones, ordered by time. */
GArray *gg_cluster_read_records (GgCluster *self);

/** Returns whether positions 0 to @p n_positions - 1 of @p request ran every layer exactly once
 * and in order, in one lineage per range; for answers without recovery. */
gboolean gg_cluster_layers_ran_once (GgCluster *self, const char *request, uint32_t n_positions);

/** Calls that moorings' runners executed, one line per call; owned by the caller. */
char *gg_cluster_read_calls (GgCluster *self);

/** Prints what the processes wrote to standard error. */
void gg_cluster_print_errors (GgCluster *self);
