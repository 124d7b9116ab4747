/* Guards routes and API keys: the longest prefix of the host is chosen, a prefix never matches part
 * of a path segment, shares follow their weights, and a key identifies its own team only. */
#include "core/routing_config.h"
#include "test_main.h"

static void
add_route (GgRoutingConfig *config, const char *name, const char *host, const char *prefix)
{
  GgCallerRoute *route = gg_caller_route_create ();
  route->name = g_strdup (name);
  route->host = g_strdup (host);
  route->path_prefix = g_strdup (prefix);
  gg_caller_route_add_share (route, "one", 3);
  gg_caller_route_add_share (route, "two", 1);
  gg_routing_config_add_route (config, route);
}

static GgRoutingConfig *
create (void)
{
  GgCallerLimits limits = { 0 };
  GgRoutingConfig *config = gg_routing_config_create (7, &limits);
  add_route (config, "short", "a.example", "/x/");
  add_route (config, "long", "a.example", "/x/y/");
  add_route (config, "root", "b.example", "/");
  gg_routing_config_add_service (config, gg_routed_service_create ("one"));
  gg_routing_config_add_service (config, gg_routed_service_create ("two"));
  gg_routing_config_add_team (config, "school", 1);
  gg_routing_config_add_key (config, "k1");
  gg_routing_config_add_team (config, "club", GG_TEAM_NO_PRIORITY);
  gg_routing_config_add_key (config, "k2");
  gg_routing_config_freeze (config);
  return config;
}

static const char *
match (const GgRoutingConfig *config, const char *host, const char *target)
{
  const GgCallerRoute *route = gg_routing_config_find_route (config, host, target);
  return route != NULL ? route->name : "none";
}

static void
test_match (void)
{
  GgRoutingConfig *c = create ();
  CU_ASSERT_STRING_EQUAL (match (c, "a.example", "/x/y/z"), "long");
  CU_ASSERT_STRING_EQUAL (match (c, "a.example", "/x/yz"), "short");
  CU_ASSERT_STRING_EQUAL (match (c, "A.Example:8080", "/x/"), "short");
  CU_ASSERT_STRING_EQUAL (match (c, "a.example", "/x"), "none");
  CU_ASSERT_STRING_EQUAL (match (c, "a.example", "/?/x/"), "none");
  CU_ASSERT_STRING_EQUAL (match (c, "b.example", "/x/y"), "root");
  CU_ASSERT_STRING_EQUAL (match (c, "c.example", "/"), "none");
  gg_routing_config_unref (c);
}

static void
test_shares (void)
{
  GgRoutingConfig *c = create ();
  const GgCallerRoute *route = gg_routing_config_find_route (c, "b.example", "/");
  guint n_one = 0;
  for (uint32_t i = 0; i < 400; i++)
    n_one += g_strcmp0 (gg_routing_config_choose_service (c, route, i)->name, "one") == 0 ? 1 : 0;
  CU_ASSERT_EQUAL (n_one, 300);
  gg_routing_config_unref (c);
}

static void
test_keys (void)
{
  GgRoutingConfig *c = create ();
  CU_ASSERT_STRING_EQUAL (gg_routing_config_find_team (c, "k1")->name, "school");
  CU_ASSERT_STRING_EQUAL (gg_routing_config_find_team (c, "k2")->name, "club");
  CU_ASSERT_PTR_NULL (gg_routing_config_find_team (c, "k"));
  CU_ASSERT_PTR_NULL (gg_routing_config_find_team (c, ""));
  gg_routing_config_unref (c);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "match", test_match },
    { "shares", test_shares },
    { "keys", test_keys },
  };
  return gg_test_run ("routing config", cases, G_N_ELEMENTS (cases));
}
