/** @file
 * Start line and header fields of one HTTP/1.1 message. Strings that are passed in are copied;
 * returned ones are owned by the head and valid until it is changed or destroyed. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _GgMessageHead GgMessageHead;

GgMessageHead *gg_message_head_create (void);
GgMessageHead *gg_message_head_create_request (const char *method, const char *target);
GgMessageHead *gg_message_head_create_response (uint32_t status);
void gg_message_head_destroy (GgMessageHead *self);

void gg_message_head_set_method (GgMessageHead *self, const char *method);
/** Sets the request target, without percent-decoding. */
void gg_message_head_set_target (GgMessageHead *self, const char *target);
void gg_message_head_set_status (GgMessageHead *self, uint32_t status);

const char *gg_message_head_get_method (const GgMessageHead *self);
const char *gg_message_head_get_target (const GgMessageHead *self);
uint32_t gg_message_head_get_status (const GgMessageHead *self);

void gg_message_head_add (GgMessageHead *self, const char *name, const char *value);
void gg_message_head_add_uint (GgMessageHead *self, const char *name, uint64_t value);

/** Returns the first value of a field, or NULL; field names are case-insensitive. */
const char *gg_message_head_get (const GgMessageHead *self, const char *name);

/** Parses the first value of a field as a decimal number.
 * @return FALSE if the field is absent or holds anything else. */
gboolean
gg_message_head_get_uint (const GgMessageHead *self, const char *name, uint64_t *value_out);

/** Returns the memory that the head takes, in bytes: fields take more than their text. */
size_t gg_message_head_get_memory (const GgMessageHead *self);

guint gg_message_head_get_size (const GgMessageHead *self);
const char *gg_message_head_get_name (const GgMessageHead *self, guint i);
const char *gg_message_head_get_value (const GgMessageHead *self, guint i);

/** Returns whether the head of a response states where its body ends, by a length or by chunks.
 * Otherwise the body ends with the connection. */
gboolean gg_message_head_is_delimited (const GgMessageHead *self);

/** Returns the options that the Connection fields list, sorted, so that looking up each of many
 * fields takes little time; owned by the caller. NULL if there is no such field. */
GPtrArray *gg_message_head_list_connection_options (const GgMessageHead *self);

/** Returns whether a field is hop-by-hop (RFC 9110) and must not be forwarded.
 * @param options of its message; NULL for none. */
gboolean gg_message_head_is_hop_by_hop (const char *name, const GPtrArray *options);

/** Appends the start line, all fields and the empty line. */
void gg_message_head_print (const GgMessageHead *self, GString *text_out);
