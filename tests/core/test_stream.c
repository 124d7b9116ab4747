/* Guards the token stream of an answer: no token may be lost, duplicated, reordered or appended
 * after the end, also when readers and the writer run concurrently. */
#include "base/clock.h"
#include "core/stream.h"
#include "test_main.h"

#include <pthread.h>
#include <string.h>

#define N_READERS 4
#define N_ROUNDS 200
#define LONG_WAIT_MS 20000

static GgStream *
create_stream (void)
{
  GgId id;
  gg_id_generate (&id);
  return gg_stream_create (&id, "harbour");
}

/* Guards against a token that is skipped, repeated or appended after the end. */
static void
test_append_is_ordered (void)
{
  GgStream *stream = create_stream ();
  CU_ASSERT_FALSE (gg_stream_append (stream, 0, "zero"));
  CU_ASSERT_FALSE (gg_stream_append (stream, 2, "two"));
  CU_ASSERT_TRUE (gg_stream_append (stream, 1, "one"));
  CU_ASSERT_FALSE (gg_stream_append (stream, 1, "again"));
  gg_stream_end (stream, GG_OUTCOME_COMPLETE, NULL);
  gg_stream_end (stream, GG_OUTCOME_UNKNOWN, "too late");
  CU_ASSERT_FALSE (gg_stream_append (stream, 2, "two"));
  CU_ASSERT_EQUAL (gg_stream_get_length (stream), 1);
  CU_ASSERT_EQUAL (gg_stream_get_outcome (stream), GG_OUTCOME_COMPLETE);
  CU_ASSERT_PTR_NULL (gg_stream_get_detail (stream));
  CU_ASSERT_STRING_EQUAL (gg_stream_get_team (stream), "harbour");
  gg_stream_unref (stream);
}

static void
check_read (GgStream *stream,
            uint32_t number,
            GgStreamReadResult expected,
            const char *expected_token)
{
  char *token = NULL;
  CU_ASSERT_EQUAL (gg_stream_read (stream, number, gg_clock_now_ms () + 5, &token), expected);
  CU_ASSERT_EQUAL (g_strcmp0 (token, expected_token), 0);
  g_free (token);
}

/* Guards against a reader that mistakes a pause for the end, or misses tokens before the end. */
static void
test_read_distinguishes_pause_and_end (void)
{
  GgStream *stream = create_stream ();
  check_read (stream, 1, GG_STREAM_READ_TIMEOUT, NULL);
  gg_stream_append (stream, 1, "one");
  check_read (stream, 0, GG_STREAM_READ_TIMEOUT, NULL);
  check_read (stream, 1, GG_STREAM_READ_TOKEN, "one");
  check_read (stream, 2, GG_STREAM_READ_TIMEOUT, NULL);
  gg_stream_end (stream, GG_OUTCOME_UNKNOWN, "A stage failed.");
  check_read (stream, 1, GG_STREAM_READ_TOKEN, "one");
  check_read (stream, 2, GG_STREAM_READ_END, NULL);
  char *detail = gg_stream_get_detail (stream);
  CU_ASSERT_STRING_EQUAL (detail, "A stage failed.");
  g_free (detail);
  gg_stream_unref (stream);
}

/* Guards against cancelling an answer while it is read, or never cancelling it. */
static void
test_unread_time (void)
{
  GgStream *stream = create_stream ();
  CU_ASSERT_EQUAL (gg_stream_get_unread_ms (stream, 1000), 0);
  CU_ASSERT_EQUAL (gg_stream_get_unread_ms (stream, 1500), 500);
  gg_stream_attach_reader (stream);
  gg_stream_attach_reader (stream);
  CU_ASSERT_EQUAL (gg_stream_get_unread_ms (stream, 2000), 0);
  gg_stream_detach_reader (stream, 3000);
  CU_ASSERT_EQUAL (gg_stream_get_unread_ms (stream, 4000), 0);
  gg_stream_detach_reader (stream, 5000);
  CU_ASSERT_EQUAL (gg_stream_get_unread_ms (stream, 5000), 0);
  CU_ASSERT_EQUAL (gg_stream_get_unread_ms (stream, 5700), 700);
  gg_stream_unref (stream);
}

typedef struct
{
  GgStream *stream;
  uint32_t n_tokens;
} Writer;

static void *
run_writer (void *data)
{
  const Writer *writer = data;
  for (uint32_t i = 1; i <= writer->n_tokens; i++)
    {
      char *token = g_strdup_printf ("t%u", i);
      gg_stream_append (writer->stream, i, token);
      g_free (token);
    }
  gg_stream_end (writer->stream, GG_OUTCOME_COMPLETE, NULL);
  gg_stream_unref (writer->stream);
  return NULL;
}

/** Returns the number of tokens read in order until the end. */
static void *
run_reader (void *data)
{
  GgStream *stream = data;
  uintptr_t n = 0;
  char *token = NULL;
  uint64_t deadline_ms = gg_clock_now_ms () + LONG_WAIT_MS;
  gg_stream_attach_reader (stream);
  while (gg_stream_read (stream, n + 1, deadline_ms, &token) == GG_STREAM_READ_TOKEN)
    {
      char *expected = g_strdup_printf ("t%u", (uint32_t) n + 1);
      gboolean is_expected = strcmp (token, expected) == 0;
      g_free (expected);
      g_free (token);
      if (!is_expected)
        break;
      n++;
    }
  gg_stream_detach_reader (stream, gg_clock_now_ms ());
  gg_stream_unref (stream);
  return (void *) n;
}

/* Guards against lost wake-ups, torn reads and freeing a stream while it is read. */
static void
test_concurrent_readers (void)
{
  for (uint32_t round = 0; round < N_ROUNDS; round++)
    {
      pthread_t threads[N_READERS + 1];
      Writer writer = { create_stream (), round % 50 };
      for (int i = 0; i < N_READERS; i++)
        pthread_create (&threads[i], NULL, run_reader, gg_stream_ref (writer.stream));
      pthread_create (&threads[N_READERS], NULL, run_writer, &writer);
      for (int i = 0; i < N_READERS; i++)
        {
          void *n;
          pthread_join (threads[i], &n);
          CU_ASSERT_EQUAL ((uintptr_t) n, writer.n_tokens);
        }
      pthread_join (threads[N_READERS], NULL);
    }
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "append is ordered", test_append_is_ordered },
    { "read distinguishes pause and end", test_read_distinguishes_pause_and_end },
    { "unread time", test_unread_time },
    { "concurrent readers", test_concurrent_readers },
  };
  return gg_test_run ("stream", cases, G_N_ELEMENTS (cases));
}
