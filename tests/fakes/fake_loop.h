/** @file
 * Frame of the stand-ins for the users' platform: one thread, JSON calls, "--listen IP:PORT". */
#pragma once

#include "loop/server.h"

#include <json-glib/json-glib.h>

typedef struct _GgFakeLoop GgFakeLoop;

/** @p body is NULL unless the request has a JSON object; both are valid during the call. */
typedef void (*GgFakeLoopFunc) (GgServerConnection *connection,
                                const char *method,
                                const char *target,
                                JsonObject *body);
typedef void (*GgFakeGoneFunc) (GgServerConnection *connection);

/** Reads "--NAME VALUE" pairs and listens; ends the process with an error if it can't. */
GgFakeLoop *
gg_fake_loop_create (int argc, char **argv, GgFakeLoopFunc func, GgFakeGoneFunc gone_func);
GgLoop *gg_fake_loop_get_loop (GgFakeLoop *self);

/** Returns the value of an option, or NULL. */
const char *gg_fake_loop_get_option (const GgFakeLoop *self, const char *name);

/** Head of the request that is being handled. */
const GgMessageHead *gg_fake_loop_get_head (const GgFakeLoop *self);

/** Prints "listening IP:PORT" and serves until SIGTERM.
 * @return the exit status. */
int gg_fake_loop_run (GgFakeLoop *self);

void gg_fake_loop_reply (GgServerConnection *connection, uint32_t status, const char *body);

/** Sends what @p builder built and frees it. */
void
gg_fake_loop_reply_json (GgServerConnection *connection, uint32_t status, JsonBuilder *builder);

/** Returns a decoded query argument, owned by the caller, or NULL. */
char *gg_fake_loop_get_argument (const char *target, const char *name);
