#include "core/routing_config.h"

#include <string.h>

/* A route and the part of the text from which it was decoded. */
typedef struct
{
  size_t offset;
  size_t size_bytes;
  GgCallerRoute *route; /* owned by the configuration's list of its host */
} RouteText;

/* Bytes of a route, as a key. */
typedef struct
{
  const char *bytes;
  size_t size_bytes;
  guint at; /* index of its RouteText */
} TextKey;

struct _GgRoutingConfig
{
  int refs;
  uint64_t version;
  GgCallerLimits limits;
  GHashTable *hosts;    /* host -> GPtrArray of GgCallerRoute, longest prefix first */
  GPtrArray *services;  /* GgRoutedService */
  GPtrArray *teams;     /* GgKeyedTeam */
  GHashTable *key_team; /* key -> GgKeyedTeam */
  gboolean requires_keys;
  GgCallerRoute *last_route;
  guint n_routes;
  GBytes *text;           /* NULL if it is not known */
  GArray *route_texts;    /* RouteText */
  GHashTable *text_index; /* set of TextKey; NULL until a route is not at its expected position */
};

GgCallerRoute *
gg_caller_route_create (void)
{
  GgCallerRoute *self = g_new0 (GgCallerRoute, 1);
  self->refs = 1;
  return self;
}

void
gg_caller_route_add_share (GgCallerRoute *self, const char *service, uint32_t weight)
{
  self->shares = g_renew (GgServiceShare, self->shares, self->n_shares + 1);
  self->shares[self->n_shares++]
      = (GgServiceShare){ .service = g_strdup (service), .weight = weight };
}

GgCallerRoute *
gg_caller_route_ref (GgCallerRoute *self)
{
  self->refs++;
  return self;
}

void
gg_caller_route_unref (GgCallerRoute *self)
{
  if (--self->refs > 0)
    return;
  for (guint i = 0; i < self->n_shares; i++)
    g_free (self->shares[i].service);
  g_free (self->shares);
  g_free (self->name);
  g_free (self->host);
  g_free (self->path_prefix);
  g_free (self);
}

static void
free_route (void *data)
{
  gg_caller_route_unref (data);
}

GgRoutedService *
gg_routed_service_create (const char *name)
{
  GgRoutedService *self = g_new0 (GgRoutedService, 1);
  self->name = g_strdup (name);
  return self;
}

void
gg_routed_service_destroy (GgRoutedService *self)
{
  gg_engine_model_destroy (self->model);
  g_free (self->name);
  g_free (self->health_path);
  g_free (self);
}

static void
free_service (void *data)
{
  gg_routed_service_destroy (data);
}

static void
free_team (void *data)
{
  GgKeyedTeam *team = data;
  g_free (team->name);
  g_free (team);
}

static void
free_routes (void *data)
{
  g_ptr_array_unref (data);
}

GgRoutingConfig *
gg_routing_config_create (uint64_t version, const GgCallerLimits *limits)
{
  GgRoutingConfig *self = g_new0 (GgRoutingConfig, 1);
  self->refs = 1;
  self->version = version;
  self->limits = *limits;
  self->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_routes);
  self->services = g_ptr_array_new_with_free_func (free_service);
  self->teams = g_ptr_array_new_with_free_func (free_team);
  self->key_team = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->route_texts = g_array_new (FALSE, FALSE, sizeof (RouteText));
  return self;
}

GgRoutingConfig *
gg_routing_config_ref (GgRoutingConfig *self)
{
  self->refs++;
  return self;
}

void
gg_routing_config_unref (GgRoutingConfig *self)
{
  if (self == NULL || --self->refs > 0)
    return;
  g_hash_table_unref (self->hosts);
  g_ptr_array_unref (self->services);
  g_hash_table_unref (self->key_team);
  g_ptr_array_unref (self->teams);
  g_array_unref (self->route_texts);
  if (self->text_index != NULL)
    g_hash_table_unref (self->text_index);
  if (self->text != NULL)
    g_bytes_unref (self->text);
  g_free (self);
}

void
gg_routing_config_add_route (GgRoutingConfig *self, GgCallerRoute *route)
{
  GPtrArray *routes = g_hash_table_lookup (self->hosts, route->host);
  if (routes == NULL)
    {
      routes = g_ptr_array_new_with_free_func (free_route);
      g_hash_table_insert (self->hosts, g_strdup (route->host), routes);
    }
  g_ptr_array_add (routes, route);
  self->last_route = route;
  self->n_routes++;
}

void
gg_routing_config_set_text (GgRoutingConfig *self, GBytes *text)
{
  self->text = g_bytes_ref (text);
}

void
gg_routing_config_note_route_text (GgRoutingConfig *self, size_t offset, size_t size_bytes)
{
  RouteText text = { offset, size_bytes, self->last_route };
  g_array_append_val (self->route_texts, text);
}

static guint
hash_text (gconstpointer data)
{
  const TextKey *key = data;
  guint32 hash = 5381;
  for (size_t i = 0; i < key->size_bytes; i++)
    hash = hash * 33 + (guchar) key->bytes[i];
  return hash;
}

static gboolean
is_same_text (gconstpointer a, gconstpointer b)
{
  const TextKey *x = a;
  const TextKey *y = b;
  return x->size_bytes == y->size_bytes && memcmp (x->bytes, y->bytes, x->size_bytes) == 0;
}

static void
index_texts (GgRoutingConfig *self, const char *text)
{
  self->text_index = g_hash_table_new_full (hash_text, is_same_text, g_free, NULL);
  for (guint i = 0; i < self->route_texts->len; i++)
    {
      const RouteText *route = &g_array_index (self->route_texts, RouteText, i);
      TextKey *key = g_new (TextKey, 1);
      *key = (TextKey){ text + route->offset, route->size_bytes, i };
      g_hash_table_add (self->text_index, key);
    }
}

GgCallerRoute *
gg_routing_config_find_same_route (GgRoutingConfig *self,
                                   const char *bytes,
                                   size_t size_bytes,
                                   guint *at_out)
{
  if (self->text == NULL)
    return NULL;
  const char *text = g_bytes_get_data (self->text, NULL);
  TextKey wanted = { bytes, size_bytes, 0 };
  if (*at_out < self->route_texts->len)
    {
      const RouteText *expected = &g_array_index (self->route_texts, RouteText, *at_out);
      TextKey key = { text + expected->offset, expected->size_bytes, *at_out };
      if (is_same_text (&key, &wanted))
        {
          ++*at_out;
          return expected->route;
        }
    }
  if (self->text_index == NULL)
    index_texts (self, text);
  const TextKey *found = g_hash_table_lookup (self->text_index, &wanted);
  if (found == NULL)
    return NULL;
  *at_out = found->at + 1;
  return g_array_index (self->route_texts, RouteText, found->at).route;
}

void
gg_routing_config_add_service (GgRoutingConfig *self, GgRoutedService *service)
{
  g_ptr_array_add (self->services, service);
}

void
gg_routing_config_require_keys (GgRoutingConfig *self)
{
  self->requires_keys = TRUE;
}

void
gg_routing_config_add_team (GgRoutingConfig *self, const char *name, uint32_t priority)
{
  gg_routing_config_require_keys (self);
  GgKeyedTeam *team = g_new0 (GgKeyedTeam, 1);
  team->name = g_strdup (name);
  team->priority = priority;
  g_ptr_array_add (self->teams, team);
}

void
gg_routing_config_add_key (GgRoutingConfig *self, const char *key)
{
  GgKeyedTeam *team = g_ptr_array_index (self->teams, self->teams->len - 1);
  g_hash_table_insert (self->key_team, g_strdup (key), team);
}

static gint
compare_prefix_length (gconstpointer a, gconstpointer b)
{
  const GgCallerRoute *x = *(GgCallerRoute *const *) a;
  const GgCallerRoute *y = *(GgCallerRoute *const *) b;
  size_t nx = strlen (x->path_prefix);
  size_t ny = strlen (y->path_prefix);
  return nx < ny ? 1 : nx > ny ? -1 : 0;
}

void
gg_routing_config_freeze (GgRoutingConfig *self)
{
  GHashTableIter iter;
  void *routes;
  g_hash_table_iter_init (&iter, self->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &routes))
    g_ptr_array_sort (routes, compare_prefix_length);
}

uint64_t
gg_routing_config_get_version (const GgRoutingConfig *self)
{
  return self->version;
}

const GgCallerLimits *
gg_routing_config_get_limits (const GgRoutingConfig *self)
{
  return &self->limits;
}

const GgCallerRoute *
gg_routing_config_find_route (const GgRoutingConfig *self, const char *host, const char *target)
{
  char *name = g_ascii_strdown (host, (gssize) strcspn (host, ":"));
  const GPtrArray *routes = g_hash_table_lookup (self->hosts, name);
  g_free (name);
  if (routes == NULL)
    return NULL;
  size_t path_length = strcspn (target, "?#");
  for (guint i = 0; i < routes->len; i++)
    {
      const GgCallerRoute *route = g_ptr_array_index (routes, i);
      size_t n = strlen (route->path_prefix);
      if (n <= path_length && strncmp (target, route->path_prefix, n) == 0)
        return route;
    }
  return NULL;
}

const GgRoutedService *
gg_routing_config_choose_service (const GgRoutingConfig *self,
                                  const GgCallerRoute *route,
                                  uint32_t random)
{
  uint64_t total = 0;
  for (guint i = 0; i < route->n_shares; i++)
    total += route->shares[i].weight;
  if (total == 0)
    return NULL;
  uint64_t point = random % total;
  for (guint i = 0; i < route->n_shares; i++)
    {
      if (point < route->shares[i].weight)
        return gg_routing_config_find_service (self, route->shares[i].service);
      point -= route->shares[i].weight;
    }
  return NULL;
}

const GgKeyedTeam *
gg_routing_config_find_team (const GgRoutingConfig *self, const char *key)
{
  return g_hash_table_lookup (self->key_team, key);
}

gboolean
gg_routing_config_requires_keys (const GgRoutingConfig *self)
{
  return self->requires_keys;
}

const GgRoutedService *
gg_routing_config_find_service (const GgRoutingConfig *self, const char *name)
{
  for (guint i = 0; i < self->services->len; i++)
    {
      const GgRoutedService *service = g_ptr_array_index (self->services, i);
      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

guint
gg_routing_config_count_services (const GgRoutingConfig *self)
{
  return self->services->len;
}

const GgRoutedService *
gg_routing_config_get_service (const GgRoutingConfig *self, guint i)
{
  return g_ptr_array_index (self->services, i);
}

guint
gg_routing_config_count_routes (const GgRoutingConfig *self)
{
  return self->n_routes;
}

static gboolean
is_sent_to (const GgCallerRoute *route, const char *service)
{
  for (guint i = 0; i < route->n_shares; i++)
    if (strcmp (route->shares[i].service, service) == 0)
      return TRUE;
  return FALSE;
}

uint32_t
gg_routing_config_get_gap_target_ms (const GgRoutingConfig *self, const char *service)
{
  uint32_t shortest_ms = 0;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, self->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const GPtrArray *routes = value;
      for (guint i = 0; i < routes->len; i++)
        {
          const GgCallerRoute *route = g_ptr_array_index (routes, i);
          if (route->gap_target_ms > 0 && is_sent_to (route, service)
              && (shortest_ms == 0 || route->gap_target_ms < shortest_ms))
            shortest_ms = route->gap_target_ms;
        }
    }
  return shortest_ms;
}

static gint
compare_hosts (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

GPtrArray *
gg_routing_config_list_routes (const GgRoutingConfig *self)
{
  GPtrArray *list = g_ptr_array_new ();
  GList *hosts = g_list_sort (g_hash_table_get_keys (self->hosts), compare_hosts);
  for (const GList *host = hosts; host != NULL; host = host->next)
    {
      const GPtrArray *routes = g_hash_table_lookup (self->hosts, host->data);
      for (guint i = 0; i < routes->len; i++)
        g_ptr_array_add (list, g_ptr_array_index (routes, i));
    }
  g_list_free (hosts);
  return list;
}

guint
gg_routing_config_count_teams (const GgRoutingConfig *self)
{
  return self->teams->len;
}

const GgKeyedTeam *
gg_routing_config_get_team (const GgRoutingConfig *self, guint i)
{
  return g_ptr_array_index (self->teams, i);
}

GHashTable *
gg_routing_config_get_keys (const GgRoutingConfig *self)
{
  return self->key_team;
}
