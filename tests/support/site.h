/** @file
 * A small deployment on loopback: a fake store, fake runners and routers as processes. */
#pragma once

#include "process.h"

#include <glib.h>

#define SITE_MAX_RUNNERS 16
#define SITE_MAX_ROUTERS 12
#define SITE_LAYERS 8
#define SITE_HOST "desk.example"
#define SITE_KEY "key-of-school"

typedef struct
{
  char *id;
  char *address;
  char *own_address; /* where it listens behind the links; NULL without them */
  const char *service;
  const char *data_centre;
  const char *kind; /* NULL for a plain service */
  GgProcess *process;
} SiteRunner;

typedef struct
{
  char *name;
  char *callers_address;
  char *ready_address;
  char *metrics_address;
  char *peers_address;
  char *settings_path;
  const char *program; /* NULL for this build's */
  GgProcess *process;
} SiteRouter;

typedef struct
{
  char *folder;
  char *store_address;
  GgProcess *store;
  GgProcess *links; /* between routers and runners; NULL for direct connections */
  char *links_address;
  GgProcess *store_links; /* between routers and the store; NULL for direct connections */
  char *store_links_address;
  char *routers_store_address; /* at which routers find the store */
  SiteRunner runners[SITE_MAX_RUNNERS];
  guint n_runners;
  SiteRouter routers[SITE_MAX_ROUTERS];
  guint n_routers;
  guint n_large;       /* 0: all routers have the same size */
  guint n_old;         /* routers with the program $GG_OLD_BIN */
  guint extra_retries; /* in a window, for all routers together */
  guint max_attempts;  /* of the route of streams, from the next configuration on; 0: two */
} Site;

/** Starts the store, ten model runners in two data centres, two runners of the service "desk", and
 * @p n_routers routers, and writes a configuration. Waits until all routers are ready and models
 * are placed.
 * @return NULL if that takes longer than 15 s. */
Site *site_create (guint n_routers);

/** As site_create(), with routers that start together for the first time. The first @p n_large of
 * them are larger than the others, so that they register first. */
Site *site_create_sized (guint n_routers, guint n_large);

/** As site_create(), with a limit on the retries that all routers may make in a window beyond a
 * tenth of the requests. */
Site *site_create_with_retries (guint n_routers, guint extra_retries);

/** As site_create(), with $GG_OLD_BIN as the program of the first @p n_old routers; this build's if
 * that is not set. */
Site *site_create_mixed (guint n_routers, guint n_old);

/** As site_create(), with links between routers and runners that can be cut. */
Site *site_create_with_links (guint n_routers);

/** As site_create(), with links between routers and the store that can be cut. */
Site *site_create_with_store_links (guint n_routers);

/** As site_create(), with both kinds of links. */
Site *site_create_with_all_links (guint n_routers);

/** Cuts some routers off from the store, and lets all others reach it.
 * @param is_cut for each router.
 * @param mode of tests/fakes/fake_links.c.
 * @return FALSE if that failed. */
gboolean site_cut_store (const Site *self, const gboolean *is_cut, const char *mode);

/** Cuts some routers off from all runners until site_heal().
 * @param is_cut for each router.
 * @param mode of tests/fakes/fake_links.c.
 * @return FALSE if that failed. */
gboolean site_cut (const Site *self, const gboolean *is_cut, const char *mode);
void site_heal (const Site *self);

/** Returns the number of connections to runners that were cut so far, or reset as they were
 * opened. */
guint site_count_cut (const Site *self);

void site_destroy (Site *self);

/** Adds a runner of the service "desk". */
void site_add_desk (Site *self, const char *data_centre);

/** Replaces the runners of the service "desk" by one fake desk, which serves soon after.
 * @param address_out of the desk, owned by the caller.
 * @return its process, owned by the caller; NULL if it does not start. */
GgProcess *site_replace_desks (Site *self, char **address_out);

/** Starts a runner again, under the same id and address. */
void site_start_runner (Site *self, SiteRunner *runner);

/** Starts or restarts a router. */
void site_start_router (Site *self, guint i);

/** Writes the configuration with a version; SITE_KEY is valid in it if @p has_key is TRUE. */
void site_write_config (const Site *self, guint version, gboolean has_key);

/** Returns what site_write_config() writes with two attempts, owned by the caller. */
char *site_print_config (guint version, gboolean has_key);

/** Sends a request to a router on a new connection.
 * @param fields additional header fields, each terminated by CRLF; may be empty.
 * @return the raw answer with chunks joined, owned by the caller; "(cut)" is appended to a
 * truncated one. NULL if no complete head was received within 8 s. */
char *site_call (const Site *self,
                 guint router,
                 const char *method,
                 const char *target,
                 const char *fields,
                 const char *body);

/** Sends a request without a body and does not wait for its answer.
 * @return the socket, to be closed by the caller; -1 if the router does not listen. */
int site_begin_call (
    const Site *self, guint router, const char *method, const char *target, const char *attempt);

/** Connects to a router as a caller does.
 * @return the socket; -1 if the router does not listen. */
int site_connect (const Site *self, guint router);

/** As site_call(), with @p text sent verbatim. */
char *site_send_raw (const Site *self, guint router, const char *text);

/** As site_send_raw(), to any address. */
char *site_send_raw_to (const char *address, const char *text);

/** These write or delete a key of the store, as an operator or another writer does. The key stands
 * in JSON as it is. */
void site_put (const Site *self, const char *key, const char *value);
void site_put_bytes (const Site *self, const char *key, const char *value, size_t size_bytes);
void site_delete (const Site *self, const char *key);

/** Returns the first runner whose id starts with @p prefix; NULL if there is none. */
SiteRunner *site_find_runner (Site *self, const char *prefix);

/** Makes all runners whose id starts with @p prefix name a rate limit in their answers; none if
 * @p limit is empty. */
void site_set_limit (const Site *self, const char *prefix, const char *limit);

/** Starts runners again whose process has ended.
 * @return their number. */
guint site_revive_runners (Site *self);

/** Returns the number of requests run by all runners whose id starts with @p prefix. */
guint site_count_runs (const Site *self, const char *prefix);

/** Returns whether the router reports ready (200) to its balancer. */
gboolean site_is_ready (const Site *self, guint router);

/** Returns how often a text stands in the logs of the running routers. */
guint site_count_log (const Site *self, const char *text);

/** Adds the attempts that a runner of a plain service has run.
 * @param runs attempt -> number of runs; owns its keys.
 * @return FALSE if the runner does not answer. */
gboolean site_add_attempts (const SiteRunner *runner, GHashTable *runs);
