#include "base/counters.h"

#include <string.h>

static GgCounter *_Atomic registry;

void
gg_counter_register (GgCounter *self)
{
  if (atomic_flag_test_and_set (&self->registered))
    return;
  self->next = atomic_load (&registry);
  while (!atomic_compare_exchange_weak (&registry, &self->next, self))
    ;
}

void
gg_counter_add (GgCounter *self, int64_t delta)
{
  gg_counter_register (self);
  atomic_fetch_add_explicit (&self->value, delta, memory_order_relaxed);
}

void
gg_counter_set (GgCounter *self, int64_t value)
{
  gg_counter_register (self);
  atomic_store_explicit (&self->value, value, memory_order_relaxed);
}

int64_t
gg_counter_get (GgCounter *self)
{
  return atomic_load_explicit (&self->value, memory_order_relaxed);
}

/* Returns the length of the name without its labels. */
static size_t
base_name_length (const char *name)
{
  return strcspn (name, "{");
}

static int
compare_names (const void *a, const void *b)
{
  const GgCounter *x = *(GgCounter *const *) a;
  const GgCounter *y = *(GgCounter *const *) b;
  return strcmp (x->name, y->name);
}

void
gg_counters_expose (GString *text_out)
{
  GPtrArray *list = g_ptr_array_new ();
  for (GgCounter *c = atomic_load (&registry); c != NULL; c = c->next)
    g_ptr_array_add (list, c);
  g_ptr_array_sort (list, compare_names);

  const char *previous = "";
  size_t previous_length = 0;
  for (guint i = 0; i < list->len; i++)
    {
      GgCounter *c = g_ptr_array_index (list, i);
      size_t length = base_name_length (c->name);
      if (length != previous_length || strncmp (c->name, previous, length) != 0)
        {
          g_string_append_printf (text_out, "# HELP %.*s %s\n# TYPE %.*s %s\n", (int) length,
                                  c->name, c->help, (int) length, c->name,
                                  c->is_gauge ? "gauge" : "counter");
          previous = c->name;
          previous_length = length;
        }
      g_string_append_printf (text_out, "%s %" G_GINT64_FORMAT "\n", c->name,
                              (gint64) gg_counter_get (c));
    }
  g_ptr_array_unref (list);
}

int64_t
gg_counters_sum (const char *name)
{
  int64_t sum = 0;
  size_t length = strlen (name);
  for (GgCounter *c = atomic_load (&registry); c != NULL; c = c->next)
    if (base_name_length (c->name) == length && strncmp (c->name, name, length) == 0)
      sum += gg_counter_get (c);
  return sum;
}
