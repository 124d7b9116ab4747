#include "loop/message_head.h"

#include <stdlib.h>
#include <string.h>

#define LIST_SEPARATORS " \t,"

/* Offsets into texts. All strings share one buffer, so that a head needs only two allocations. */
typedef struct
{
  uint32_t name;
  uint32_t value;
} Field;

struct _GgMessageHead
{
  GString *texts;
  GArray *fields; /* Field */
  uint32_t method;
  uint32_t target;
  uint32_t status; /* 0 for a request */
};

static uint32_t
append_text (GgMessageHead *self, const char *text)
{
  uint32_t offset = (uint32_t) self->texts->len;
  g_string_append_len (self->texts, text, (gssize) strlen (text) + 1);
  return offset;
}

GgMessageHead *
gg_message_head_create (void)
{
  GgMessageHead *self = g_new0 (GgMessageHead, 1);
  self->texts = g_string_sized_new (512);
  self->fields = g_array_new (FALSE, FALSE, sizeof (Field));
  g_string_append_c (self->texts, '\0'); /* offset 0 is the empty string */
  return self;
}

GgMessageHead *
gg_message_head_create_request (const char *method, const char *target)
{
  GgMessageHead *self = gg_message_head_create ();
  gg_message_head_set_method (self, method);
  gg_message_head_set_target (self, target);
  return self;
}

GgMessageHead *
gg_message_head_create_response (uint32_t status)
{
  GgMessageHead *self = gg_message_head_create ();
  self->status = status;
  return self;
}

void
gg_message_head_destroy (GgMessageHead *self)
{
  if (self == NULL)
    return;
  g_string_free (self->texts, TRUE);
  g_array_unref (self->fields);
  g_free (self);
}

void
gg_message_head_set_method (GgMessageHead *self, const char *method)
{
  self->method = append_text (self, method);
}

void
gg_message_head_set_target (GgMessageHead *self, const char *target)
{
  self->target = append_text (self, target);
}

void
gg_message_head_set_status (GgMessageHead *self, uint32_t status)
{
  self->status = status;
}

const char *
gg_message_head_get_method (const GgMessageHead *self)
{
  return self->texts->str + self->method;
}

const char *
gg_message_head_get_target (const GgMessageHead *self)
{
  return self->texts->str + self->target;
}

uint32_t
gg_message_head_get_status (const GgMessageHead *self)
{
  return self->status;
}

void
gg_message_head_add (GgMessageHead *self, const char *name, const char *value)
{
  Field field = { .name = append_text (self, name) };
  field.value = append_text (self, value);
  g_array_append_val (self->fields, field);
}

void
gg_message_head_add_uint (GgMessageHead *self, const char *name, uint64_t value)
{
  char text[24];
  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, value);
  gg_message_head_add (self, name, text);
}

size_t
gg_message_head_get_memory (const GgMessageHead *self)
{
  return sizeof *self + self->texts->allocated_len + self->fields->len * sizeof (Field);
}

guint
gg_message_head_get_size (const GgMessageHead *self)
{
  return self->fields->len;
}

const char *
gg_message_head_get_name (const GgMessageHead *self, guint i)
{
  return self->texts->str + g_array_index (self->fields, Field, i).name;
}

const char *
gg_message_head_get_value (const GgMessageHead *self, guint i)
{
  return self->texts->str + g_array_index (self->fields, Field, i).value;
}

const char *
gg_message_head_get (const GgMessageHead *self, const char *name)
{
  for (guint i = 0; i < self->fields->len; i++)
    if (g_ascii_strcasecmp (gg_message_head_get_name (self, i), name) == 0)
      return gg_message_head_get_value (self, i);
  return NULL;
}

gboolean
gg_message_head_get_uint (const GgMessageHead *self, const char *name, uint64_t *value_out)
{
  const char *text = gg_message_head_get (self, name);
  guint64 value;
  if (text == NULL || !g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT64, &value, NULL))
    return FALSE;
  *value_out = value;
  return TRUE;
}

/* Returns whether the comma-separated list of a field contains @p name. */
static gboolean
list_contains (const char *list, const char *name)
{
  size_t length = strlen (name);
  for (const char *p = list; *p != '\0';)
    {
      p += strspn (p, LIST_SEPARATORS);
      size_t n = strcspn (p, LIST_SEPARATORS);
      if (n == length && g_ascii_strncasecmp (p, name, n) == 0)
        return TRUE;
      p += n;
    }
  return FALSE;
}

gboolean
gg_message_head_is_delimited (const GgMessageHead *self)
{
  for (guint i = 0; i < self->fields->len; i++)
    if (g_ascii_strcasecmp (gg_message_head_get_name (self, i), "Transfer-Encoding") == 0
        && list_contains (gg_message_head_get_value (self, i), "chunked"))
      return TRUE;
  return gg_message_head_get (self, "Content-Length") != NULL;
}

static int
compare_names (const void *a, const void *b)
{
  return g_ascii_strcasecmp (*(const char *const *) a, *(const char *const *) b);
}

GPtrArray *
gg_message_head_list_connection_options (const GgMessageHead *self)
{
  GPtrArray *options = NULL;
  for (guint i = 0; i < self->fields->len; i++)
    {
      if (g_ascii_strcasecmp (gg_message_head_get_name (self, i), "Connection") != 0)
        continue;
      if (options == NULL)
        options = g_ptr_array_new_with_free_func (g_free);
      const char *p = gg_message_head_get_value (self, i);
      for (p += strspn (p, LIST_SEPARATORS); *p != '\0'; p += strspn (p, LIST_SEPARATORS))
        {
          size_t n = strcspn (p, LIST_SEPARATORS);
          g_ptr_array_add (options, g_strndup (p, n));
          p += n;
        }
    }
  if (options != NULL)
    g_ptr_array_sort (options, compare_names);
  return options;
}

gboolean
gg_message_head_is_hop_by_hop (const char *name, const GPtrArray *options)
{
  static const char *const names[] = {
    "Connection", "Keep-Alive",         "Proxy-Connection",   "TE", "Trailer", "Transfer-Encoding",
    "Upgrade",    "Proxy-Authenticate", "Proxy-Authorization"
  };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_ascii_strcasecmp (names[i], name) == 0)
      return TRUE;
  return options != NULL && options->len > 0
         && bsearch (&name, options->pdata, options->len, sizeof *options->pdata, compare_names)
                != NULL;
}

static const char *
get_reason_phrase (uint32_t status)
{
  switch (status)
    {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
    }
}

void
gg_message_head_print (const GgMessageHead *self, GString *text_out)
{
  if (self->status != 0)
    g_string_append_printf (text_out, "HTTP/1.1 %u %s\r\n", self->status,
                            get_reason_phrase (self->status));
  else
    g_string_append_printf (text_out, "%s %s HTTP/1.1\r\n", gg_message_head_get_method (self),
                            gg_message_head_get_target (self));
  for (guint i = 0; i < self->fields->len; i++)
    {
      g_string_append (text_out, gg_message_head_get_name (self, i));
      g_string_append (text_out, ": ");
      g_string_append (text_out, gg_message_head_get_value (self, i));
      g_string_append (text_out, "\r\n");
    }
  g_string_append (text_out, "\r\n");
}
