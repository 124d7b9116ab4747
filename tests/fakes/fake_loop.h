/** @file
 * Single-threaded HTTP server shared by the fakes of the users' platform: JSON calls, command-line
 * options. */
#pragma once

#include "loop/server.h"

#include <json-glib/json-glib.h>

typedef struct _GgFakeLoop GgFakeLoop;

/** Handles a request. @p target and @p body are valid during the call; @p body is NULL unless the
 * request body is a JSON object. */
typedef void (*GgFakeLoopFunc) (GgServerConnection *connection,
                                const char *method,
                                const char *target,
                                JsonObject *body);
/** Reports that the client disconnected before its request was answered. */
typedef void (*GgFakeDisconnectFunc) (GgServerConnection *connection);

/** Reads "--NAME VALUE" pairs and listens on --listen IP:PORT; exits with status 2 on failure. */
GgFakeLoop *gg_fake_loop_create (int argc,
                                 char **argv,
                                 GgFakeLoopFunc func,
                                 GgFakeDisconnectFunc disconnect_func);
GgLoop *gg_fake_loop_get_loop (GgFakeLoop *self);

/** Returns the value of an option, or NULL. */
const char *gg_fake_loop_get_option (const GgFakeLoop *self, const char *name);

/** Returns the head of the current request; NULL outside of GgFakeLoopFunc. */
const GgMessageHead *gg_fake_loop_get_head (const GgFakeLoop *self);

/** Prints "listening IP:PORT" and serves until SIGTERM.
 * @return the exit status. */
int gg_fake_loop_run (GgFakeLoop *self);

/** Adds a field to all replies from now on; replaces the one before.
 * @param value kept by reference. */
void gg_fake_loop_set_field (const char *name, const char *value);

void gg_fake_loop_reply (GgServerConnection *connection, uint32_t status, const char *body);

/** Sends the JSON value in @p builder and frees it. */
void
gg_fake_loop_reply_json (GgServerConnection *connection, uint32_t status, JsonBuilder *builder);

/** Returns a decoded query argument, owned by the caller, or NULL. */
char *gg_fake_loop_get_argument (const char *target, const char *name);
