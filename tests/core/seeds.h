/** @file
 * Runs a randomized check with many seeds and prints the seeds that fail. */
#pragma once

#include "test_main.h"

#include <glib.h>
#include <stdio.h>

#define SEEDS_MAX_FAILURES 3

static gboolean seeds_has_single;
static guint32 seeds_single;

/** Reads a single seed to replay from the first program argument, if there is one. */
static inline void
seeds_init (int argc, char **argv)
{
  seeds_has_single = argc > 1;
  if (seeds_has_single)
    seeds_single = (guint32) g_ascii_strtoull (argv[1], NULL, 10);
}

/** A check; returns NULL on success, or a description of the failure, owned by the caller. */
typedef char *(*SeedsCheck) (GRand *rand);

static inline gboolean
seeds_run_one (SeedsCheck check, guint32 seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  char *failure = check (rand);
  if (failure != NULL)
    printf ("\n  seed %u: %s", seed, failure);
  gboolean is_ok = failure == NULL;
  g_free (failure);
  g_rand_free (rand);
  return is_ok;
}

static inline void
seeds_run (SeedsCheck check, guint32 n)
{
  guint32 failures = 0;
  if (seeds_has_single)
    failures = !seeds_run_one (check, seeds_single);
  else
    for (guint32 seed = 1; seed <= n && failures < SEEDS_MAX_FAILURES; seed++)
      failures += !seeds_run_one (check, seed);
  CU_ASSERT_EQUAL (failures, 0);
}

/** Returns TRUE with a probability of @p percent. */
static inline gboolean
seeds_chance (GRand *rand, int percent)
{
  return g_rand_int_range (rand, 0, 100) < percent;
}
