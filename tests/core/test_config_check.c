/* Guards the check of configurations: each fault that the router accepts silently is found, once
 * and at its entry, a sound configuration has none, and a comparison names revoked keys first. */
#include "core/config_check.h"
#include "test_main.h"

#include <stdio.h>
#include <time.h>

#define N_ROUTES 80000
/* Check and comparison took 1.0 s of processor time; with one search through all services for each
 * service they took 41 s. */
#define MAX_CHECK_S 5.0

static GgCallerRoute *
add_route (GgRoutingConfig *config, const char *name, const char *host, const char *prefix)
{
  GgCallerRoute *route = gg_caller_route_create ();
  route->name = g_strdup (name);
  route->host = g_strdup (host);
  route->path_prefix = g_strdup (prefix);
  route->timeout_ms = 1000;
  route->max_attempts = 1;
  gg_routing_config_add_route (config, route);
  return route;
}

static GgRoutingConfig *
create (void)
{
  GgCallerLimits limits = { 8192, 64000000, 1000, 5000 };
  GgRoutingConfig *config = gg_routing_config_create (1, &limits);
  GgRoutedService *service = gg_routed_service_create ("s");
  service->model = gg_engine_model_create ();
  service->model->n_layers = 80;
  service->model->layer_mb = 100;
  service->model->step_ms = 10;
  gg_engine_model_add_accelerator (service->model, "slow", 1000, 5, 1);
  gg_engine_model_add_accelerator (service->model, "fast", 1000, 2, 1);
  gg_engine_model_add_accelerator (service->model, "small", 99, 1, 1);
  gg_routing_config_add_service (config, service);
  gg_routing_config_add_team (config, "t", 1);
  gg_routing_config_add_key (config, "k");
  GgCallerRoute *route = add_route (config, "sound", "a", "/x/");
  route->latency_target_ms = 1000;
  route->gap_target_ms = 20;
  gg_caller_route_add_share (route, "s", 1);
  return config;
}

/* Checks that a configuration has one finding; frees the configuration.
 * @param fault -1 for none. */
static void
expect (GgRoutingConfig *config, int fault, const char *name)
{
  GPtrArray *findings = gg_config_findings_create ();
  gg_routing_config_freeze (config);
  gg_config_check (config, findings);
  CU_ASSERT_EQUAL (findings->len, fault >= 0 ? 1 : 0);
  if (fault >= 0 && findings->len > 0)
    {
      const GgConfigFinding *finding = g_ptr_array_index (findings, 0);
      CU_ASSERT_EQUAL ((int) finding->fault, fault);
      CU_ASSERT_STRING_EQUAL (finding->name, name);
    }
  g_ptr_array_unref (findings);
  gg_routing_config_unref (config);
}

/* Each of these changes one field of an otherwise sound route. */
static void
test_routes (void)
{
  static const struct
  {
    int fault;
    const char *host, *prefix, *service;
    uint32_t weight, timeout_ms, latency_target_ms, gap_target_ms, max_attempts;
    GgRequestKind kind;
  } cases[] = {
    { -1, "b", "/x/", "s", 1, 9, 9, 20, 2, GG_REQUEST_IDEMPOTENT },
    { GG_CONFIG_ROUTE_SHADOWED, "a", "/x/", "s", 1, 9, 9, 20, 1, GG_REQUEST_IDEMPOTENT },
    { GG_CONFIG_HOST_UNMATCHABLE, "a:80", "/x/", "s", 1, 9, 9, 20, 1, GG_REQUEST_IDEMPOTENT },
    { GG_CONFIG_PREFIX_INVALID, "a", "x/", "s", 1, 9, 9, 20, 1, GG_REQUEST_IDEMPOTENT },
    { GG_CONFIG_PREFIX_INVALID, "a", "/x", "s", 1, 9, 9, 20, 1, GG_REQUEST_IDEMPOTENT },
    { GG_CONFIG_PREFIX_INVALID, "a", "/?/", "s", 1, 9, 9, 20, 1, GG_REQUEST_IDEMPOTENT },
    { GG_CONFIG_SERVICE_MISSING, "b", "/", "q", 1, 9, 9, 20, 1, GG_REQUEST_IDEMPOTENT },
    { GG_CONFIG_WEIGHTS_ZERO, "b", "/", "s", 0, 9, 9, 20, 1, GG_REQUEST_IDEMPOTENT },
    { GG_CONFIG_LIMIT_ZERO, "b", "/", "s", 1, 0, 9, 20, 1, GG_REQUEST_IDEMPOTENT },
    { GG_CONFIG_TARGET_ABOVE_TIMEOUT, "b", "/", "s", 1, 9, 10, 20, 1, GG_REQUEST_IDEMPOTENT },
    { GG_CONFIG_GAP_UNREACHABLE, "b", "/", "s", 1, 9, 9, 19, 1, GG_REQUEST_STREAMING },
    { GG_CONFIG_REPEATS_NON_IDEMPOTENT, "b", "/", "s", 1, 9, 9, 0, 2, GG_REQUEST_NON_IDEMPOTENT },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GgRoutingConfig *config = create ();
      GgCallerRoute *route = add_route (config, "r", cases[i].host, cases[i].prefix);
      gg_caller_route_add_share (route, cases[i].service, cases[i].weight);
      route->timeout_ms = cases[i].timeout_ms;
      route->latency_target_ms = cases[i].latency_target_ms;
      route->gap_target_ms = cases[i].gap_target_ms;
      route->max_attempts = cases[i].max_attempts;
      route->kind = cases[i].kind;
      expect (config, cases[i].fault, "r");
    }
}

static void
test_other_entries (void)
{
  GgRoutingConfig *config = create ();
  gg_routing_config_add_team (config, "u", 1);
  expect (config, GG_CONFIG_TEAM_WITHOUT_KEY, "u");
  config = create ();
  gg_routing_config_add_service (config, gg_routed_service_create ("unused"));
  expect (config, GG_CONFIG_SERVICE_UNUSED, "unused");
  config = create ();
  gg_routing_config_add_service (config, gg_routed_service_create ("s"));
  expect (config, GG_CONFIG_SERVICE_REPEATED, "s");
  GgCallerLimits sound = { 1, 1, 1, 1 };
  config = gg_routing_config_create (1, &sound);
  gg_routing_config_require_keys (config);
  expect (config, GG_CONFIG_TEAMS_EMPTY, "");
  expect (gg_routing_config_create (1, &sound), -1, "");
  config = create ();
  GgCallerRoute *route = add_route (config, "r", "b", "/");
  gg_caller_route_add_share (route, "s", G_MAXUINT32);
  gg_caller_route_add_share (route, "s", 1);
  expect (config, GG_CONFIG_WEIGHTS_TOO_LARGE, "r");
  GgCallerLimits limits = { 1, 64000001, 1, 1 };
  expect (gg_routing_config_create (1, &limits), GG_CONFIG_BODY_TOO_LARGE, "");
  limits = (GgCallerLimits){ 1, 0, 0, 1 };
  expect (gg_routing_config_create (1, &limits), GG_CONFIG_LIMIT_ZERO, "");
}

/* @param i_change index of an expected change, in order. */
static void
expect_change (GPtrArray *changes,
               guint i_change,
               GgConfigChangeType type,
               const char *name,
               GgConfigField field)
{
  CU_ASSERT_FATAL (i_change < changes->len);
  const GgConfigChange *change = g_ptr_array_index (changes, i_change);
  CU_ASSERT_EQUAL (change->type, type);
  CU_ASSERT_STRING_EQUAL (change->name, name);
  CU_ASSERT_EQUAL (change->field, field);
}

/* A key that moves to another team is revoked for the first one. No key is shown. */
static void
test_compare (void)
{
  GgRoutingConfig *before = create ();
  add_route (before, "gone", "b", "/");
  GgRoutingConfig *after = create ();
  add_route (after, "new", "c", "/")->timeout_ms = 5;
  add_route (after, "sound", "d", "/");
  gg_routing_config_add_team (after, "u", 1);
  gg_routing_config_add_key (after, "k");
  ((GgRoutedService *) gg_routing_config_find_service (after, "s"))
      ->model->accelerators[0]
      .memory_mb
      = 7;
  gg_routing_config_freeze (before);
  gg_routing_config_freeze (after);
  GPtrArray *changes = gg_config_compare (before, after);
  CU_ASSERT_EQUAL_FATAL (changes->len, 7);
  expect_change (changes, 0, GG_CONFIG_KEY_REVOKED, "t", GG_CONFIG_FIELD_KEYS);
  expect_change (changes, 1, GG_CONFIG_REMOVED, "gone", GG_CONFIG_FIELD_NONE);
  expect_change (changes, 2, GG_CONFIG_ADDED, "new", GG_CONFIG_FIELD_NONE);
  expect_change (changes, 3, GG_CONFIG_ADDED, "sound", GG_CONFIG_FIELD_NONE);
  expect_change (changes, 4, GG_CONFIG_CHANGED, "s", GG_CONFIG_FIELD_MODEL);
  expect_change (changes, 5, GG_CONFIG_ADDED, "u", GG_CONFIG_FIELD_NONE);
  expect_change (changes, 6, GG_CONFIG_KEY_ADDED, "u", GG_CONFIG_FIELD_KEYS);
  const GgConfigChange *revoked = g_ptr_array_index (changes, 0);
  CU_ASSERT_STRING_EQUAL (revoked->before, "sha256:8254c329");
  g_ptr_array_unref (changes);
  changes = gg_config_compare (after, after);
  CU_ASSERT_EQUAL (changes->len, 0);
  g_ptr_array_unref (changes);
  const GgCallerLimits limits = *gg_routing_config_get_limits (after);
  GgRoutingConfig *open = gg_routing_config_create (2, &limits);
  GgRoutingConfig *closed = gg_routing_config_create (3, &limits);
  gg_routing_config_require_keys (closed);
  changes = gg_config_compare (closed, open);
  CU_ASSERT_EQUAL_FATAL (changes->len, 1);
  expect_change (changes, 0, GG_CONFIG_CHANGED, "", GG_CONFIG_FIELD_TEAMS);
  g_ptr_array_unref (changes);
  gg_routing_config_unref (open);
  gg_routing_config_unref (closed);
  gg_routing_config_unref (before);
  gg_routing_config_unref (after);
}

/* Many routes of one host, many hosts, many services and one name for all routes. */
static void
test_many_routes (void)
{
  GgRoutingConfig *config = create ();
  for (guint i = 0; i < N_ROUTES; i++)
    {
      char *text = g_strdup_printf ("/p%u/", i);
      GgCallerRoute *route = add_route (config, "same", i % 2 == 0 ? "a" : text + 1, text);
      gg_caller_route_add_share (route, text, 1);
      gg_routing_config_add_service (config, gg_routed_service_create (text));
      g_free (text);
    }
  gg_routing_config_freeze (config);
  clock_t start = clock ();
  GPtrArray *findings = gg_config_findings_create ();
  gg_config_check (config, findings);
  GPtrArray *changes = gg_config_compare (config, config);
  CU_ASSERT_EQUAL (findings->len, 0);
  CU_ASSERT_EQUAL (changes->len, 0);
  double used_s = (double) (clock () - start) / CLOCKS_PER_SEC;
  CU_ASSERT (used_s < MAX_CHECK_S);
  printf ("%.2f s ", used_s);
  g_ptr_array_unref (findings);
  g_ptr_array_unref (changes);
  gg_routing_config_unref (config);
}

int
main (void)
{
  const GgTestCase cases[] = {
    { "faults of a route", test_routes },
    { "faults of services, teams and limits", test_other_entries },
    { "differences, revoked keys first", test_compare },
    { "thousands of routes", test_many_routes },
  };
  return gg_test_run ("config_check", cases, G_N_ELEMENTS (cases));
}
