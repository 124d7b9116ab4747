/** @file
 * The users' platform in small, on loopback: a store, runners and routers as processes. */
#pragma once

#include "process.h"

#include <glib.h>

#define SITE_MAX_RUNNERS 16
#define SITE_MAX_ROUTERS 4
#define SITE_LAYERS 8
#define SITE_HOST "desk.example"
#define SITE_KEY "key-of-school"

/** A runner of the site. */
typedef struct
{
  char *id;
  char *address;
  GgProcess *process;
} SiteRunner;

typedef struct
{
  char *name;
  char *callers_address;
  char *ready_address;
  char *metrics_address;
  char *settings_path;
  GgProcess *process;
} SiteRouter;

typedef struct
{
  char *folder;
  char *store_address;
  GgProcess *store;
  SiteRunner runners[SITE_MAX_RUNNERS];
  guint n_runners;
  SiteRouter routers[SITE_MAX_ROUTERS];
  guint n_routers;
} Site;

/** Starts the store, ten model runners in two data centres, two desk runners, and @p n_routers
 * routers, and writes a configuration. Waits until all routers are ready and models are placed.
 * @return NULL if that takes too long. */
Site *site_create (guint n_routers);
void site_destroy (Site *self);

/** Starts a router again after its process ended. */
void site_start_router (Site *self, guint i);

/** Writes the configuration with a version; @p has_key tells whether SITE_KEY is in it. */
void site_write_config (Site *self, guint version, gboolean has_key);

/** Sends a request to a router on a new connection and returns the whole answer as it came, with
 * chunks joined, owned by the caller; an answer that was cut ends with "(cut)". NULL if there was
 * none in time.
 * @param fields more header fields, each ended by CRLF; may be empty. */
char *site_call (const Site *self,
                 guint router,
                 const char *method,
                 const char *target,
                 const char *fields,
                 const char *body);

/** Sends bytes as they are. */
char *site_send_raw (const Site *self, guint router, const char *text);

/** Requests that all runners whose id begins with @p prefix have run. */
guint site_count_runs (const Site *self, const char *prefix);

/** Whether the router answers its balancer with 200. */
gboolean site_is_ready (const Site *self, guint router);
