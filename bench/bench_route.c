/* Time of one routing decision by number of runners and policy. */
#include "base/clock.h"
#include "core/route.h"

#include <stdio.h>
#include <stdlib.h>

#define DECISIONS 200000U
#define LAYERS 12
#define RANGES 3

static const char *const policy_names[]
    = { "predicted", "random", "round_robin", "least_reported" };

static GgRouteTable *
make_table (uint32_t n_runners, uint32_t n_models, GRand *rand)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (GgRouteEntry));
  for (uint32_t i = 0; i < n_runners; i++)
    {
      uint32_t range = i / n_models % RANGES;
      char *id = g_strdup_printf ("runner-%u", i);
      char *model = g_strdup_printf ("model-%u", i % n_models);
      GgRouteEntry entry
          = { .runner = gg_runner_create (id, 1, "127.0.0.1:1", "dc", model,
                                          range * LAYERS / RANGES, (range + 1) * LAYERS / RANGES),
              .reported_outstanding_tokens = (uint32_t) g_rand_int_range (rand, 0, 64),
              .tokens_per_s = 1000,
              .reported_at_ms = 1000,
              .link_us = (uint32_t) g_rand_int_range (rand, 10, 1000) };
      g_array_append_val (entries, entry);
      g_free (id);
      g_free (model);
    }
  GgRouteTable *table = gg_route_table_create ((const GgRouteEntry *) entries->data, entries->len);
  for (guint i = 0; i < entries->len; i++)
    gg_runner_unref (g_array_index (entries, GgRouteEntry, i).runner);
  g_array_unref (entries);
  return table;
}

static void
measure (const GgRouteTable *table, uint32_t n_runners, GgRoutePolicy policy, GRand *rand)
{
  uint64_t failed = 0;
  uint64_t started_us = gg_clock_now_us ();
  for (uint32_t i = 0; i < DECISIONS; i++)
    {
      GgRouteQuery query = { .service = "model-0",
                             .layers = LAYERS,
                             .tokens = 256,
                             .prefix_hash = i + 1,
                             .policy = policy,
                             .now_ms = 1500,
                             .random = (uint64_t) g_rand_int (rand) << 32 | i };
      GgRoutePlan plan;
      if (gg_route_choose (table, &query, &plan))
        gg_route_plan_clear (&plan);
      else
        failed++;
    }
  uint64_t elapsed_us = gg_clock_now_us () - started_us;
  printf ("route runners=%u policy=%s decisions=%u failed=%u ns_per_decision=%.0f\n", n_runners,
          policy_names[policy], DECISIONS, (unsigned int) failed,
          (double) elapsed_us * 1000.0 / DECISIONS);
}

int
main (int argc, char **argv)
{
  static const struct
  {
    uint32_t runners;
    uint32_t models;
  } sizes[] = { { 30, 1 }, { 160, 1 }, { 810, 5 }, { 810, 1 } };
  uint32_t seed = argc > 1 ? (uint32_t) strtoul (argv[1], NULL, 10) : 1;
  GRand *rand = g_rand_new_with_seed (seed);
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      GgRouteTable *table = make_table (sizes[i].runners, sizes[i].models, rand);
      printf ("route seed=%u runners=%u models=%u\n", seed, sizes[i].runners, sizes[i].models);
      for (int policy = 0; policy < (int) G_N_ELEMENTS (policy_names); policy++)
        measure (table, sizes[i].runners, (GgRoutePolicy) policy, rand);
      gg_route_table_destroy (table);
    }
  g_rand_free (rand);
  return 0;
}
