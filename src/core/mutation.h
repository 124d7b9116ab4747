/** @file
 * Mutation testing: each mutation disables one mechanism, so that a test can be shown to detect
 * its absence. */
#pragma once

#include <glib.h>

/** TRUE if the environment variable GG_MUTATION equals @p name; constant FALSE unless built with
 * GG_MUTATIONS. */
#ifdef GG_MUTATIONS
#define GG_IS_MUTATED(name) (g_strcmp0 (g_getenv ("GG_MUTATION"), (name)) == 0)
#else
#define GG_IS_MUTATED(name) FALSE
#endif
