#include "base/metric_family.h"

/* Upper bounds of the buckets; they cover plain calls as well as the longest streams. */
static const uint32_t bounds_ms[] = { 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000 };

typedef struct
{
  uint64_t count;
  uint64_t sum_ms;
  uint64_t buckets[G_N_ELEMENTS (bounds_ms)];
} Series;

static GgMetricFamily *families;

static Series *
get_series (GgMetricFamily *self, const char *label_value)
{
  if (self->series == NULL)
    {
      self->series = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      self->next = families;
      families = self;
    }
  Series *series = g_hash_table_lookup (self->series, label_value);
  if (series != NULL)
    return series;
  if (g_hash_table_size (self->series) >= GG_METRIC_MAX_LABELS)
    {
      label_value = "other";
      series = g_hash_table_lookup (self->series, label_value);
    }
  if (series == NULL)
    {
      series = g_new0 (Series, 1);
      g_hash_table_insert (self->series, g_strdup (label_value), series);
    }
  return series;
}

void
gg_metric_family_add (GgMetricFamily *self, const char *label_value, uint64_t delta)
{
  get_series (self, label_value)->count += delta;
}

void
gg_metric_family_observe (GgMetricFamily *self, const char *label_value, uint64_t value_ms)
{
  Series *series = get_series (self, label_value);
  series->count++;
  series->sum_ms += value_ms;
  for (guint i = 0; i < G_N_ELEMENTS (bounds_ms); i++)
    if (value_ms <= bounds_ms[i])
      series->buckets[i]++;
}

uint64_t
gg_metric_family_get (const GgMetricFamily *self, const char *label_value)
{
  const Series *series
      = self->series != NULL ? g_hash_table_lookup (self->series, label_value) : NULL;
  return series != NULL ? series->count : 0;
}

static void
expose_histogram (const GgMetricFamily *self, const char *value, const Series *series, GString *out)
{
  for (guint i = 0; i < G_N_ELEMENTS (bounds_ms); i++)
    g_string_append_printf (out, "%s_bucket{%s=\"%s\",le=\"%u\"} %" G_GUINT64_FORMAT "\n",
                            self->name, self->label, value, bounds_ms[i],
                            (guint64) series->buckets[i]);
  g_string_append_printf (out, "%s_bucket{%s=\"%s\",le=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
                          self->name, self->label, value, (guint64) series->count);
  g_string_append_printf (out, "%s_sum{%s=\"%s\"} %" G_GUINT64_FORMAT "\n", self->name, self->label,
                          value, (guint64) series->sum_ms);
  g_string_append_printf (out, "%s_count{%s=\"%s\"} %" G_GUINT64_FORMAT "\n", self->name,
                          self->label, value, (guint64) series->count);
}

void
gg_metric_families_expose (GString *text_out)
{
  for (const GgMetricFamily *f = families; f != NULL; f = f->next)
    {
      gboolean is_counter = f->type == GG_METRIC_COUNTER;
      g_string_append_printf (text_out, "# HELP %s %s\n# TYPE %s %s\n", f->name, f->help, f->name,
                              is_counter ? "counter" : "histogram");
      GHashTableIter iter;
      void *value;
      void *series;
      g_hash_table_iter_init (&iter, f->series);
      while (g_hash_table_iter_next (&iter, &value, &series))
        if (is_counter)
          g_string_append_printf (text_out, "%s{%s=\"%s\"} %" G_GUINT64_FORMAT "\n", f->name,
                                  f->label, (const char *) value,
                                  (guint64) ((const Series *) series)->count);
        else
          expose_histogram (f, value, series, text_out);
    }
}
