/* Guards the reader against servers in trouble: bytes that are no answer may come without end, in a
 * head, between chunks or in place of an answer. Whatever comes outside a body must end the reading
 * after a bounded number of bytes, and must not become a part of an answer. */
#include "loop/message_reader.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

#define MAX_HEAD_BYTES 65536
/* Reading ends before this many bytes without a part of a body. */
#define BOUND_BYTES (4 * MAX_HEAD_BYTES)
#define OK_HEAD "HTTP/1.1 200 OK\r\n"

typedef struct
{
  guint n_heads;
  size_t body_bytes;
} Seen;

static gboolean
on_message (void *data, const GgMessageEvent *event)
{
  Seen *seen = data;
  switch (event->kind)
    {
    case GG_MESSAGE_HEAD:
      seen->n_heads++;
      gg_message_head_destroy (event->head);
      return TRUE;
    case GG_MESSAGE_BODY:
      seen->body_bytes += event->body.size_bytes;
      return TRUE;
    case GG_MESSAGE_END:
      return TRUE;
    }
  return FALSE;
}

/* Guards answers against the body of an interim response, which has none: its bytes would become
 * the start of the answer that follows. After a switch of protocols, which is never requested, the
 * bytes are no HTTP, even if they look like an answer. */
static void
test_interim_responses_have_no_body (void)
{
  static const struct
  {
    const char *text;
    GgReadResult result;
    guint n_heads;
    size_t body_bytes;
  } rows[] = {
    { "HTTP/1.1 100 Continue\r\n\r\n" OK_HEAD "Content-Length: 2\r\n\r\nok", GG_READ_COMPLETE, 1,
      2 },
    { "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" OK_HEAD "Content-Length: 2\r\n\r\nok",
      GG_READ_COMPLETE, 1, 2 },
    { "HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\ntext" OK_HEAD
      "Content-Length: 2\r\n\r\nok",
      GG_READ_MALFORMED, 0, 0 },
    { "HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n" OK_HEAD
      "Content-Length: 2\r\n\r\nok",
      GG_READ_MALFORMED, 0, 0 },
    { "HTTP/1.1 101 Switch\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" OK_HEAD
      "Content-Length: 2\r\n\r\nok",
      GG_READ_MALFORMED, 0, 0 },
    { "HTTP/1.1 101 Switch\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nother bytes",
      GG_READ_MALFORMED, 0, 0 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Seen seen = { 0 };
      size_t n_used = 0;
      GgMessageReader *r
          = gg_message_reader_create (GG_MESSAGE_RESPONSES, MAX_HEAD_BYTES, on_message, &seen);
      GgReadResult result
          = gg_message_reader_feed (r, rows[i].text, strlen (rows[i].text), &n_used);
      if (result != rows[i].result || seen.body_bytes != rows[i].body_bytes)
        fprintf (stderr, "row %u: result %d, %u heads, %zu bytes\n", i, (int) result, seen.n_heads,
                 seen.body_bytes);
      CU_ASSERT_EQUAL (result, rows[i].result);
      CU_ASSERT_EQUAL (seen.n_heads, rows[i].n_heads);
      CU_ASSERT_EQUAL (seen.body_bytes, rows[i].body_bytes);
      gg_message_reader_destroy (r);
    }
}

/* Guards against an answer whose status is none: the caller would get it, or wait for the answer
 * that should follow an interim response until its time limit. */
static void
test_invalid_statuses (void)
{
  static const struct
  {
    const char *status;
    gboolean is_valid;
  } rows[] = { { "200", TRUE },  { "299", TRUE },  { "404", TRUE },   { "599", TRUE },
               { "000", FALSE }, { "001", FALSE }, { "099", FALSE },  { "101", FALSE },
               { "600", FALSE }, { "700", FALSE }, { "999", FALSE },  { "2000", FALSE },
               { "20", FALSE },  { "", FALSE },    { "+200", FALSE }, { "0x200", FALSE } };
  static const char *const bodies[] = { "\r\n", "Content-Length: 2\r\n\r\nok",
                                        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" };
  for (guint i = 0; i < G_N_ELEMENTS (rows) * G_N_ELEMENTS (bodies); i++)
    {
      const char *status = rows[i % G_N_ELEMENTS (rows)].status;
      gboolean is_valid = rows[i % G_N_ELEMENTS (rows)].is_valid;
      Seen seen = { 0 };
      size_t n_used = 0;
      char *text
          = g_strdup_printf ("HTTP/1.1 %s Text\r\n%s", status, bodies[i / G_N_ELEMENTS (rows)]);
      GgMessageReader *r
          = gg_message_reader_create (GG_MESSAGE_RESPONSES, MAX_HEAD_BYTES, on_message, &seen);
      GgReadResult result = gg_message_reader_feed (r, text, strlen (text), &n_used);
      if ((result == GG_READ_MALFORMED) == is_valid || seen.n_heads != (is_valid ? 1 : 0))
        fprintf (stderr, "status '%s': result %d, %u heads\n", status, (int) result, seen.n_heads);
      CU_ASSERT_EQUAL (result == GG_READ_MALFORMED, !is_valid);
      CU_ASSERT_EQUAL (seen.n_heads, is_valid ? 1 : 0);
      gg_message_reader_destroy (r);
      g_free (text);
    }
}

/* Feeds @p start, then @p endless again and again.
 * @return the bytes after which reading ended, or BOUND_BYTES. */
static size_t
feed_endless (const char *start, const char *endless)
{
  Seen seen = { 0 };
  GgMessageReader *r
      = gg_message_reader_create (GG_MESSAGE_RESPONSES, MAX_HEAD_BYTES, on_message, &seen);
  size_t n_fed = strlen (start);
  size_t n_used = 0;
  GgReadResult result = GG_READ_OK;
  if (n_fed > 0)
    result = gg_message_reader_feed (r, start, n_fed, &n_used);
  while (result == GG_READ_OK && n_fed < BOUND_BYTES)
    {
      result = gg_message_reader_feed (r, endless, strlen (endless), &n_used);
      n_fed += strlen (endless);
    }
  CU_ASSERT_EQUAL (seen.body_bytes, 0);
  gg_message_reader_destroy (r);
  return n_fed;
}

static void
test_endless_bytes (void)
{
  static const struct
  {
    const char *start;
    const char *endless;
  } rows[] = {
    { "", "x" },
    { "", "\r\n" },
    { "HTTP/1.1 200 ", "reason " },
    { OK_HEAD "X-Field", "name" },
    { OK_HEAD "X-Field: ", "value" },
    { OK_HEAD "X-Field: value", " " },
    { OK_HEAD, "X-Field: value\r\n" },
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" },
    { OK_HEAD "Transfer-Encoding: chunked\r\n\r\n", "0" },
    { OK_HEAD "Transfer-Encoding: chunked\r\n\r\n5;", "extension" },
    { OK_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: value\r\n" },
    { OK_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", "value" },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      size_t n = feed_endless (rows[i].start, rows[i].endless);
      if (n >= BOUND_BYTES)
        fprintf (stderr, "\"%s\" followed by \"%s\" without end is read on\n", rows[i].start,
                 rows[i].endless);
      CU_ASSERT_TRUE (n < BOUND_BYTES);
    }
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "endless bytes", test_endless_bytes },
    { "invalid statuses", test_invalid_statuses },
    { "interim responses have no body", test_interim_responses_have_no_body },
  };
  return gg_test_run ("message reader", cases, G_N_ELEMENTS (cases));
}
