#include "core/config_check.h"

#include <math.h>
#include <string.h>

/* Usual bound on the input of all clients of an instance, which a larger body raises. */
#define MAX_BODY_BYTES G_GUINT64_CONSTANT (64000000)
#define DIGEST_DIGITS 8

static void
free_finding (void *data)
{
  GgConfigFinding *self = data;
  g_free (self->field_name);
  g_free (self->name);
  g_free (self->value);
  g_free (self->detail);
  g_free (self);
}

GPtrArray *
gg_config_findings_create (void)
{
  return g_ptr_array_new_with_free_func (free_finding);
}

GgConfigFinding *
gg_config_findings_add (GPtrArray *findings,
                        GgConfigFault fault,
                        GgConfigPlace place,
                        const char *name,
                        GgConfigField field,
                        char *value,
                        char *detail)
{
  GgConfigFinding *self = g_new0 (GgConfigFinding, 1);
  self->fault = fault;
  self->place = place;
  self->field = field;
  self->name = g_strdup (name);
  self->value = value != NULL ? value : g_strdup ("");
  self->detail = detail;
  g_ptr_array_add (findings, self);
  return self;
}

static char *
print_uint (uint64_t value)
{
  return g_strdup_printf ("%" G_GUINT64_FORMAT, (guint64) value);
}

char *
gg_config_digest_key (const char *key)
{
  char *sum = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
  char *text = g_strdup_printf ("sha256:%.*s", DIGEST_DIGITS, sum);
  g_free (sum);
  return text;
}

/* The first service of each name, which is the one that the router uses. */
static GHashTable *
index_services (const GgRoutingConfig *config)
{
  GHashTable *services = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < gg_routing_config_count_services (config); i++)
    {
      const GgRoutedService *service = gg_routing_config_get_service (config, i);
      if (!g_hash_table_contains (services, service->name))
        g_hash_table_insert (services, service->name, (void *) service);
    }
  return services;
}

static void
add_route_finding (GPtrArray *findings,
                   const GgCallerRoute *route,
                   GgConfigFault fault,
                   GgConfigField field,
                   char *value,
                   char *detail)
{
  gg_config_findings_add (findings, fault, GG_CONFIG_ROUTE, route->name, field, value, detail);
}

/* Shortest time of a token step over all layers, with one request in the batch: a path over several
 * runners adds transfers to it, and more requests make it longer.
 * @return milliseconds, INFINITY if no accelerator of the model can hold a layer. */
static double
find_shortest_step_ms (const GgEngineModel *model)
{
  double shortest_ms = INFINITY;
  for (guint i = 0; i < model->n_accelerators; i++)
    {
      const GgAccelerator *accelerator = &model->accelerators[i];
      if (accelerator->memory_mb >= model->layer_mb)
        shortest_ms = MIN (shortest_ms,
                           gg_engine_model_get_step_ms (model, accelerator, model->n_layers, 1));
    }
  return shortest_ms;
}

static void
check_gap (const GgCallerRoute *route, const GgRoutedService *service, GPtrArray *findings)
{
  if (route->gap_target_ms == 0 || service->model == NULL || service->model->n_accelerators == 0)
    return;
  double shortest_ms = find_shortest_step_ms (service->model);
  if (shortest_ms > route->gap_target_ms)
    add_route_finding (findings, route, GG_CONFIG_GAP_UNREACHABLE, GG_CONFIG_FIELD_GAP_TARGET,
                       print_uint (route->gap_target_ms),
                       isinf (shortest_ms)
                           ? g_strdup_printf ("%s, on which no layer fits", service->name)
                           : g_strdup_printf ("%s needs %.1f ms", service->name, shortest_ms));
}

static void
check_shares (const GgCallerRoute *route,
              GHashTable *services,
              GHashTable *used,
              GPtrArray *findings)
{
  uint64_t total = 0;
  for (guint i = 0; i < route->n_shares; i++)
    {
      const GgServiceShare *share = &route->shares[i];
      const GgRoutedService *service = g_hash_table_lookup (services, share->service);
      total += share->weight;
      if (service == NULL)
        {
          add_route_finding (findings, route, GG_CONFIG_SERVICE_MISSING, GG_CONFIG_FIELD_SERVICES,
                             g_strdup (share->service), NULL);
          continue;
        }
      g_hash_table_add (used, service->name);
      if (share->weight > 0)
        check_gap (route, service, findings);
    }
  /* The router chooses a share by 32 random bits. */
  if (total == 0 || total > G_MAXUINT32)
    add_route_finding (findings, route,
                       total == 0 ? GG_CONFIG_WEIGHTS_ZERO : GG_CONFIG_WEIGHTS_TOO_LARGE,
                       GG_CONFIG_FIELD_SERVICES, print_uint (total), NULL);
}

static gboolean
is_prefix_valid (const char *prefix)
{
  return g_str_has_prefix (prefix, "/") && g_str_has_suffix (prefix, "/")
         && strpbrk (prefix, "?#") == NULL;
}

static void
check_limits_of_route (const GgCallerRoute *route, GPtrArray *findings)
{
  if (route->timeout_ms == 0)
    add_route_finding (findings, route, GG_CONFIG_LIMIT_ZERO, GG_CONFIG_FIELD_TIMEOUT,
                       g_strdup ("0"), NULL);
  else if (route->latency_target_ms > route->timeout_ms)
    add_route_finding (findings, route, GG_CONFIG_TARGET_ABOVE_TIMEOUT,
                       GG_CONFIG_FIELD_LATENCY_TARGET, print_uint (route->latency_target_ms),
                       print_uint (route->timeout_ms));
  if (route->kind == GG_REQUEST_NON_IDEMPOTENT && route->max_attempts > 1)
    add_route_finding (findings, route, GG_CONFIG_REPEATS_NON_IDEMPOTENT,
                       GG_CONFIG_FIELD_MAX_ATTEMPTS, print_uint (route->max_attempts), NULL);
}

/* @param seen host and prefix to the route that is tried first. */
static void
check_match (const GgCallerRoute *route, GHashTable *seen, GPtrArray *findings)
{
  /* The router compares with the caller's host without its port. */
  if (*route->host == '\0' || strchr (route->host, ':') != NULL)
    add_route_finding (findings, route, GG_CONFIG_HOST_UNMATCHABLE, GG_CONFIG_FIELD_HOST,
                       g_strdup (route->host), NULL);
  if (!is_prefix_valid (route->path_prefix))
    add_route_finding (findings, route, GG_CONFIG_PREFIX_INVALID, GG_CONFIG_FIELD_PATH_PREFIX,
                       g_strdup (route->path_prefix), NULL);
  char *key = g_strconcat (route->host, " ", route->path_prefix, NULL);
  const GgCallerRoute *first = g_hash_table_lookup (seen, key);
  if (first == NULL)
    {
      g_hash_table_insert (seen, key, (void *) route);
      return;
    }
  add_route_finding (findings, route, GG_CONFIG_ROUTE_SHADOWED, GG_CONFIG_FIELD_PATH_PREFIX, key,
                     g_strdup (first->name));
}

static void
check_services (const GgRoutingConfig *config,
                GHashTable *services,
                GHashTable *used,
                GPtrArray *findings)
{
  for (guint i = 0; i < gg_routing_config_count_services (config); i++)
    {
      const GgRoutedService *service = gg_routing_config_get_service (config, i);
      if (g_hash_table_lookup (services, service->name) != service)
        gg_config_findings_add (findings, GG_CONFIG_SERVICE_REPEATED, GG_CONFIG_SERVICE,
                                service->name, GG_CONFIG_FIELD_NAME, g_strdup (service->name),
                                NULL);
      else if (!g_hash_table_contains (used, service->name))
        gg_config_findings_add (findings, GG_CONFIG_SERVICE_UNUSED, GG_CONFIG_SERVICE,
                                service->name, GG_CONFIG_FIELD_NAME, g_strdup (service->name),
                                NULL);
    }
}

static void
check_teams (const GgRoutingConfig *config, GPtrArray *findings)
{
  if (gg_routing_config_requires_keys (config) && gg_routing_config_count_teams (config) == 0)
    gg_config_findings_add (findings, GG_CONFIG_TEAMS_EMPTY, GG_CONFIG_DOCUMENT, "",
                            GG_CONFIG_FIELD_TEAMS, NULL, NULL);
  GHashTable *with_key = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  void *owner;
  g_hash_table_iter_init (&iter, gg_routing_config_get_keys (config));
  while (g_hash_table_iter_next (&iter, NULL, &owner))
    g_hash_table_add (with_key, owner);
  for (guint i = 0; i < gg_routing_config_count_teams (config); i++)
    {
      const GgKeyedTeam *team = gg_routing_config_get_team (config, i);
      if (!g_hash_table_contains (with_key, team))
        gg_config_findings_add (findings, GG_CONFIG_TEAM_WITHOUT_KEY, GG_CONFIG_TEAM, team->name,
                                GG_CONFIG_FIELD_KEYS, NULL, NULL);
    }
  g_hash_table_unref (with_key);
}

static void
check_limits (const GgCallerLimits *limits, GPtrArray *findings)
{
  const struct
  {
    uint64_t value;
    GgConfigField field;
  } needed[] = {
    { limits->max_head_bytes, GG_CONFIG_FIELD_MAX_HEAD_BYTES },
    { limits->head_timeout_ms, GG_CONFIG_FIELD_HEAD_TIMEOUT },
    { limits->idle_timeout_ms, GG_CONFIG_FIELD_IDLE_TIMEOUT },
  };
  for (guint i = 0; i < G_N_ELEMENTS (needed); i++)
    if (needed[i].value == 0)
      gg_config_findings_add (findings, GG_CONFIG_LIMIT_ZERO, GG_CONFIG_DOCUMENT, "",
                              needed[i].field, g_strdup ("0"), NULL);
  if (limits->max_body_bytes > MAX_BODY_BYTES)
    gg_config_findings_add (findings, GG_CONFIG_BODY_TOO_LARGE, GG_CONFIG_DOCUMENT, "",
                            GG_CONFIG_FIELD_MAX_BODY_BYTES, print_uint (limits->max_body_bytes),
                            NULL);
}

void
gg_config_check (const GgRoutingConfig *config, GPtrArray *findings)
{
  GHashTable *services = index_services (config);
  GHashTable *used = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GPtrArray *routes = gg_routing_config_list_routes (config);
  check_limits (gg_routing_config_get_limits (config), findings);
  for (guint i = 0; i < routes->len; i++)
    {
      const GgCallerRoute *route = g_ptr_array_index (routes, i);
      check_match (route, seen, findings);
      check_shares (route, services, used, findings);
      check_limits_of_route (route, findings);
    }
  check_services (config, services, used, findings);
  check_teams (config, findings);
  g_ptr_array_unref (routes);
  g_hash_table_unref (seen);
  g_hash_table_unref (used);
  g_hash_table_unref (services);
}

static void
free_change (void *data)
{
  GgConfigChange *self = data;
  g_free (self->name);
  g_free (self->before);
  g_free (self->after);
  g_free (self);
}

/* Takes ownership of the texts before and after. */
static void
add_change (GPtrArray *changes,
            GgConfigChangeType type,
            GgConfigPlace place,
            const char *name,
            GgConfigField field,
            char *before,
            char *after)
{
  GgConfigChange *change = g_new0 (GgConfigChange, 1);
  *change = (GgConfigChange){ type, place, g_strdup (name), field, before, after };
  g_ptr_array_add (changes, change);
}

/* An entry as its name and a list of texts, one for each field that is compared. */
typedef struct
{
  GgConfigPlace place;
  const char *name;
  guint n_repeated; /* in the first entry of a name: how many others have it */
  guint n_fields;
  GgConfigField fields[16];
  char *texts[16];
} Entry;

static void
free_entry (void *data)
{
  Entry *self = data;
  for (guint i = 0; i < self->n_fields; i++)
    g_free (self->texts[i]);
  g_free (self);
}

static void
add_text (Entry *entry, GgConfigField field, char *text)
{
  g_assert (entry->n_fields < G_N_ELEMENTS (entry->fields));
  entry->fields[entry->n_fields] = field;
  entry->texts[entry->n_fields++] = text;
}

static Entry *
add_entry (GHashTable *entries, GgConfigPlace place, const char *name)
{
  Entry *entry = g_new0 (Entry, 1);
  entry->place = place;
  entry->name = name;
  char *key = g_strdup_printf ("%u 0 %s", place, name);
  Entry *first = g_hash_table_lookup (entries, key);
  if (first != NULL)
    {
      g_free (key);
      key = g_strdup_printf ("%u %u %s", place, ++first->n_repeated, name);
    }
  g_hash_table_insert (entries, key, entry);
  return entry;
}

static char *
print_boolean (gboolean value)
{
  return g_strdup (value ? "true" : "false");
}

static void
add_route (GHashTable *entries, const GgCallerRoute *route)
{
  static const char *const kinds[] = { "idempotent", "non_idempotent", "streaming" };
  Entry *entry = add_entry (entries, GG_CONFIG_ROUTE, route->name);
  GString *shares = g_string_new (NULL);
  for (guint i = 0; i < route->n_shares; i++)
    g_string_append_printf (shares, "%s%s:%u", i > 0 ? "," : "", route->shares[i].service,
                            route->shares[i].weight);
  add_text (entry, GG_CONFIG_FIELD_HOST, g_strdup (route->host));
  add_text (entry, GG_CONFIG_FIELD_PATH_PREFIX, g_strdup (route->path_prefix));
  add_text (entry, GG_CONFIG_FIELD_KIND, g_strdup (kinds[route->kind]));
  add_text (entry, GG_CONFIG_FIELD_SERVICES, g_string_free (shares, FALSE));
  add_text (entry, GG_CONFIG_FIELD_TIMEOUT, print_uint (route->timeout_ms));
  add_text (entry, GG_CONFIG_FIELD_LATENCY_TARGET, print_uint (route->latency_target_ms));
  add_text (entry, GG_CONFIG_FIELD_GAP_TARGET, print_uint (route->gap_target_ms));
  add_text (entry, GG_CONFIG_FIELD_PRIORITY, print_uint (route->priority));
  add_text (entry, GG_CONFIG_FIELD_MAX_ATTEMPTS, print_uint (route->max_attempts));
  add_text (entry, GG_CONFIG_FIELD_IS_ANONYMOUS, print_boolean (route->is_anonymous));
  add_text (entry, GG_CONFIG_FIELD_IS_RESUMABLE, print_boolean (route->is_resumable));
}

/* Prints each parameter, so that models are equal if their texts are. */
static char *
print_model (const GgEngineModel *model)
{
  if (model == NULL)
    return g_strdup ("none");
  GString *text = g_string_new (NULL);
  const double numbers[] = { model->n_layers,
                             model->layer_mb,
                             model->token_bytes,
                             model->slots,
                             model->step_ms,
                             model->request_ms,
                             model->load_s,
                             model->steps_per_pass,
                             model->context_ms_per_1000,
                             model->loads_at_once,
                             model->activation_bytes,
                             model->prefill_tokens_per_s,
                             model->typical_prompt_tokens,
                             model->typical_answer_tokens,
                             model->data_centre_link_mbps };
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    g_string_append_printf (text, "%.17g ", numbers[i]);
  for (guint i = 0; i < model->n_accelerators; i++)
    {
      const GgAccelerator *a = &model->accelerators[i];
      g_string_append_printf (text, "%s %.17g %.17g %.17g ", a->name, a->memory_mb, a->step_factor,
                              a->prefill_factor);
    }
  for (guint i = 0; i < model->n_links; i++)
    {
      const GgLinkDelay *link = &model->links[i];
      g_string_append_printf (text, "%s %s %.17g ", link->from, link->to, link->delay_ms);
    }
  char *digest = gg_config_digest_key (text->str);
  g_string_free (text, TRUE);
  return digest;
}

static GHashTable *
index_entries (const GgRoutingConfig *config)
{
  GHashTable *entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_entry);
  const GgCallerLimits *limits = gg_routing_config_get_limits (config);
  Entry *entry = add_entry (entries, GG_CONFIG_DOCUMENT, "");
  add_text (entry, GG_CONFIG_FIELD_MAX_HEAD_BYTES, print_uint (limits->max_head_bytes));
  add_text (entry, GG_CONFIG_FIELD_MAX_BODY_BYTES, print_uint (limits->max_body_bytes));
  add_text (entry, GG_CONFIG_FIELD_HEAD_TIMEOUT, print_uint (limits->head_timeout_ms));
  add_text (entry, GG_CONFIG_FIELD_IDLE_TIMEOUT, print_uint (limits->idle_timeout_ms));
  add_text (
      entry, GG_CONFIG_FIELD_TEAMS,
      g_strdup (gg_routing_config_requires_keys (config) ? "keys required" : "no keys required"));
  GPtrArray *routes = gg_routing_config_list_routes (config);
  for (guint i = 0; i < routes->len; i++)
    add_route (entries, g_ptr_array_index (routes, i));
  g_ptr_array_unref (routes);
  for (guint i = 0; i < gg_routing_config_count_services (config); i++)
    {
      const GgRoutedService *service = gg_routing_config_get_service (config, i);
      const char *path = service->health_path != NULL ? service->health_path : "none";
      entry = add_entry (entries, GG_CONFIG_SERVICE, service->name);
      add_text (entry, GG_CONFIG_FIELD_HEALTH_PATH, g_strdup (path));
      add_text (entry, GG_CONFIG_FIELD_MAX_CONNECTIONS, print_uint (service->max_connections));
      add_text (entry, GG_CONFIG_FIELD_MODEL, print_model (service->model));
    }
  for (guint i = 0; i < gg_routing_config_count_teams (config); i++)
    {
      const GgKeyedTeam *team = gg_routing_config_get_team (config, i);
      entry = add_entry (entries, GG_CONFIG_TEAM, team->name);
      add_text (entry, GG_CONFIG_FIELD_PRIORITY,
                team->priority == GG_TEAM_NO_PRIORITY ? g_strdup ("none")
                                                      : print_uint (team->priority));
    }
  return entries;
}

static void
compare_fields (const Entry *before, const Entry *after, GPtrArray *changes)
{
  for (guint i = 0; i < before->n_fields; i++)
    if (strcmp (before->texts[i], after->texts[i]) != 0)
      add_change (changes, GG_CONFIG_CHANGED, before->place, before->name, before->fields[i],
                  g_strdup (before->texts[i]), g_strdup (after->texts[i]));
}

/* Adds the keys whose team in @p config has not got them in @p other. */
static void
add_keys_missing_in (const GgRoutingConfig *config,
                     const GgRoutingConfig *other,
                     GgConfigChangeType type,
                     GPtrArray *changes)
{
  GHashTableIter iter;
  void *key;
  void *owner;
  g_hash_table_iter_init (&iter, gg_routing_config_get_keys (config));
  while (g_hash_table_iter_next (&iter, &key, &owner))
    {
      const GgKeyedTeam *team = owner;
      const GgKeyedTeam *kept = gg_routing_config_find_team (other, key);
      if (kept != NULL && strcmp (kept->name, team->name) == 0)
        continue;
      char *digest = gg_config_digest_key (key);
      gboolean is_revoked = type == GG_CONFIG_KEY_REVOKED;
      add_change (changes, type, GG_CONFIG_TEAM, team->name, GG_CONFIG_FIELD_KEYS,
                  is_revoked ? digest : NULL, is_revoked ? NULL : digest);
    }
}

static gint
compare_changes (gconstpointer a, gconstpointer b)
{
  const GgConfigChange *x = *(GgConfigChange *const *) a;
  const GgConfigChange *y = *(GgConfigChange *const *) b;
  gint order = (y->type == GG_CONFIG_KEY_REVOKED) - (x->type == GG_CONFIG_KEY_REVOKED);
  if (order == 0)
    order = (gint) x->place - (gint) y->place;
  if (order == 0)
    order = strcmp (x->name, y->name);
  if (order == 0)
    order = (gint) x->type - (gint) y->type;
  if (order == 0)
    order = (gint) x->field - (gint) y->field;
  if (order == 0)
    order = g_strcmp0 (x->before, y->before);
  return order != 0 ? order : g_strcmp0 (x->after, y->after);
}

GPtrArray *
gg_config_compare (const GgRoutingConfig *before, const GgRoutingConfig *after)
{
  GPtrArray *changes = g_ptr_array_new_with_free_func (free_change);
  GHashTable *old_entries = index_entries (before);
  GHashTable *new_entries = index_entries (after);
  GHashTableIter iter;
  void *key;
  void *value;
  g_hash_table_iter_init (&iter, old_entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Entry *entry = value;
      const Entry *other = g_hash_table_lookup (new_entries, key);
      if (other != NULL)
        compare_fields (entry, other, changes);
      else
        add_change (changes, GG_CONFIG_REMOVED, entry->place, entry->name, GG_CONFIG_FIELD_NONE,
                    NULL, NULL);
    }
  g_hash_table_iter_init (&iter, new_entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Entry *entry = value;
      if (!g_hash_table_contains (old_entries, key))
        add_change (changes, GG_CONFIG_ADDED, entry->place, entry->name, GG_CONFIG_FIELD_NONE, NULL,
                    NULL);
    }
  add_keys_missing_in (before, after, GG_CONFIG_KEY_REVOKED, changes);
  add_keys_missing_in (after, before, GG_CONFIG_KEY_ADDED, changes);
  g_ptr_array_sort (changes, compare_changes);
  g_hash_table_unref (old_entries);
  g_hash_table_unref (new_entries);
  return changes;
}
