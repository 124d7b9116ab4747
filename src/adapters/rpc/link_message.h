/** @file
 * Datagrams in which an instance asks its peers which services they reach, and their answers (XDR).
 */
#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/** Largest size of a datagram, and the most services in it. */
#define GG_LINK_MESSAGE_MAX_BYTES 1400
#define GG_LINK_MESSAGE_MAX_SERVICES 64

/** Longest name, address or name of a data centre. */
#define GG_LINK_MESSAGE_MAX_TEXT_BYTES 256

typedef enum
{
  GG_LINK_MESSAGE_QUERY = 1,
  GG_LINK_MESSAGE_ANSWER = 2,
} GgLinkMessageKind;

/** A service of which the sender has reached a runner. */
typedef struct
{
  uint32_t service_hash;    /**< g_str_hash() of its name. */
  uint32_t received_age_ms; /**< How long ago. */
} GgReachedService;

typedef struct
{
  GgLinkMessageKind kind;
  char *name;             /**< Of the sender; in an answer, of the peer that makes the offer. */
  char *address;          /**< "IP:PORT" to which answers go, or of the peer. */
  char *data_centre;      /**< Likewise. */
  uint64_t number;        /**< Of the query. */
  uint64_t token;         /**< Answers only: to be sent with requests that are handed over. */
  uint32_t room;          /**< Answers only: requests that the peer would still take over. */
  uint32_t load_permille; /**< Answers only. */
  GArray *services;       /**< Answers only: GgReachedService. */
} GgLinkMessage;

/** The texts are allocated with g_malloc() and owned by the message. */
void gg_link_message_init (GgLinkMessage *self, GgLinkMessageKind kind);
void gg_link_message_clear (GgLinkMessage *self);

/** @return the size in bytes, 0 if it does not fit or a text is missing. */
size_t gg_link_message_encode (GgLinkMessage *self, char *buffer, size_t size_bytes);

/** @return FALSE if the bytes are no valid message; there is nothing to clear then. */
gboolean gg_link_message_decode (char *buffer, size_t size_bytes, GgLinkMessage *self_out);
