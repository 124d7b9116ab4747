/* Guards publishing against lost, delayed and refused writes and against concurrent publishers:
 * each publish takes effect at most once and its outcome is reported correctly. Usage: test_publish
 * [SEED]; with SEED, one random run. */
#include "core/config_document.h"
#include "core/publish.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

#define N_RUNS 1000
#define N_PUBLISHERS 3
#define DEADLINE_MS 30000

typedef enum
{
  FAULT_NONE,
  FAULT_UNREACHABLE,
  FAULT_LOST_REPLY, /* the write takes effect */
  FAULT_DELAY,      /* the write arrives when deliver_delayed() is called */
} Fault;

typedef struct
{
  char *text;
  uint64_t version;
  char *delayed_text;
  uint64_t delayed_version;
  uint64_t now_ms;
} Store;

typedef struct
{
  GgPublish *publish;
  GgPublishEffect effect;
} Run;

static guint32 first_seed = 1;
static guint32 n_runs = N_RUNS;

/* @p pairs is path, text, path, text, ..., NULL. */
static GHashTable *
create_files (const char *const *pairs)
{
  GHashTable *files = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (; *pairs != NULL; pairs += 2)
    g_hash_table_insert (files, g_strdup (pairs[0]), g_strdup (pairs[1]));
  return files;
}

static Run
start (const char *prefix, const char *id, int64_t base, const char *const *pairs)
{
  GHashTable *files = create_files (pairs);
  GgPublishParams params = { .prefix = prefix,
                             .publish_id = id,
                             .files = files,
                             .has_base = base >= 0,
                             .base_generation = base >= 0 ? (uint64_t) base : 0,
                             .deadline_ms = DEADLINE_MS };
  Run run = { .publish = gg_publish_create (&params) };
  GgPublishEvent event = { .type = GG_PUBLISH_EVENT_START };
  gg_publish_apply (run.publish, &event, 0, &run.effect);
  g_hash_table_unref (files);
  return run;
}

static gboolean
swap (Store *store, const char *text, uint64_t version)
{
  if (version != store->version)
    return FALSE;
  g_free (store->text);
  store->text = g_strdup (text);
  store->version += 3;
  return TRUE;
}

static void
deliver_delayed (Store *store)
{
  if (store->delayed_text != NULL)
    swap (store, store->delayed_text, store->delayed_version);
  g_clear_pointer (&store->delayed_text, g_free);
}

static GgPublishWriteResult
write_store (Store *store, const GgPublishEffect *effect, Fault fault)
{
  switch (fault)
    {
    case FAULT_UNREACHABLE:
      return GG_PUBLISH_WRITE_FAILED;
    case FAULT_DELAY:
      deliver_delayed (store);
      store->delayed_text = g_strdup (effect->u.write.text);
      store->delayed_version = effect->u.write.version;
      return GG_PUBLISH_WRITE_IN_DOUBT;
    case FAULT_LOST_REPLY:
      swap (store, effect->u.write.text, effect->u.write.version);
      return GG_PUBLISH_WRITE_IN_DOUBT;
    case FAULT_NONE:
      break;
    }
  return swap (store, effect->u.write.text, effect->u.write.version) ? GG_PUBLISH_WRITE_OK
                                                                     : GG_PUBLISH_WRITE_CONFLICT;
}

/* Performs the pending effect; returns FALSE once the run has ended. */
static gboolean
step (Run *run, Store *store, Fault fault)
{
  GgPublishEvent event = { .type = GG_PUBLISH_EVENT_READ };
  char *text = NULL;
  switch (run->effect.type)
    {
    case GG_PUBLISH_EFFECT_DONE:
    case GG_PUBLISH_EFFECT_FAIL:
      return FALSE;
    case GG_PUBLISH_EFFECT_READ:
      text = g_strdup (store->text);
      event.u.read.text = text;
      event.u.read.version = store->version;
      event.u.read.result = fault != FAULT_NONE ? GG_PUBLISH_READ_FAILED
                            : text == NULL      ? GG_PUBLISH_READ_ABSENT
                                                : GG_PUBLISH_READ_OK;
      break;
    case GG_PUBLISH_EFFECT_WRITE:
      event.type = GG_PUBLISH_EVENT_WRITTEN;
      event.u.written.result = write_store (store, &run->effect, fault);
      break;
    case GG_PUBLISH_EFFECT_WAIT:
      event.type = GG_PUBLISH_EVENT_WAITED;
      store->now_ms += run->effect.u.wait.wait_ms;
      break;
    }
  gg_publish_apply (run->publish, &event, store->now_ms, &run->effect);
  g_free (text);
  return TRUE;
}

static void
step_until (Run *run, Store *store, GgPublishEffectType type)
{
  while (run->effect.type != type && step (run, store, FAULT_NONE))
    continue;
  CU_ASSERT_EQUAL (run->effect.type, type);
}

static void
end_done (Run *run, Store *store, GgPublishOutcome outcome, uint64_t generation)
{
  step_until (run, store, GG_PUBLISH_EFFECT_DONE);
  CU_ASSERT_EQUAL (run->effect.u.done.outcome, outcome);
  CU_ASSERT_EQUAL (run->effect.u.done.generation, generation);
  gg_publish_destroy (run->publish);
}

static void
end_failed (Run *run, Store *store, GgPublishError code, const char *message)
{
  step_until (run, store, GG_PUBLISH_EFFECT_FAIL);
  const GError *error = run->effect.u.fail.error;
  CU_ASSERT_TRUE (g_error_matches (error, GG_PUBLISH_ERROR, (int) code));
  CU_ASSERT_PTR_NOT_NULL_FATAL (error);
  if (strstr (error->message, message) == NULL)
    printf ("\nfound: %s\n", error->message);
  CU_ASSERT_PTR_NOT_NULL (strstr (error->message, message));
  gg_publish_destroy (run->publish);
}

static void
store_clear (Store *store)
{
  g_free (store->text);
  g_free (store->delayed_text);
}

#define FILES(...)                                                                                 \
  (const char *const[])                                                                            \
  {                                                                                                \
    __VA_ARGS__, NULL                                                                              \
  }
#define PLAIN(name, timeout) "[service " name "]\nkind = plain\ntimeout_ms = " timeout "\n"

static void
test_replaces_prefix (void)
{
  Store store = { 0 };
  Run run = start ("a", "p1", -1, FILES ("a/1", PLAIN ("x", "1"), "a/2", PLAIN ("y", "1")));
  end_done (&run, &store, GG_PUBLISH_PUBLISHED, 1);
  run = start ("ab", "p2", -1, FILES ("ab/1", PLAIN ("z", "1")));
  end_done (&run, &store, GG_PUBLISH_PUBLISHED, 2);
  run = start ("a", "p3", -1, FILES ("a/1", PLAIN ("x", "2")));
  end_done (&run, &store, GG_PUBLISH_PUBLISHED, 3);
  run = start ("a", "p4", -1, FILES ("a/1", PLAIN ("x", "2")));
  end_done (&run, &store, GG_PUBLISH_UNCHANGED, 3);
  GgConfigDocument *document = gg_config_document_parse (store.text, NULL);
  GHashTable *files = gg_config_document_get_files (document);
  CU_ASSERT_EQUAL (g_hash_table_size (files), 2);
  CU_ASSERT_TRUE (g_hash_table_contains (files, "a/1") && g_hash_table_contains (files, "ab/1"));
  gg_config_document_unref (document);
  store_clear (&store);
}

/* A publish whose reply was lost must be reported as published, also after others have written, and
 * must take effect only once. */
static void
test_lost_replies (void)
{
  Store store = { 0 };
  Run run = start ("a", "p1", -1, FILES ("a/1", PLAIN ("x", "1")));
  step_until (&run, &store, GG_PUBLISH_EFFECT_WRITE);
  step (&run, &store, FAULT_LOST_REPLY);
  Run other = start ("a", "p2", -1, FILES ("a/1", PLAIN ("x", "2")));
  end_done (&other, &store, GG_PUBLISH_PUBLISHED, 2);
  end_done (&run, &store, GG_PUBLISH_PUBLISHED, 1);

  run = start ("a", "p3", -1, FILES ("a/1", PLAIN ("x", "3")));
  step_until (&run, &store, GG_PUBLISH_EFFECT_WRITE);
  step (&run, &store, FAULT_DELAY);
  step_until (&run, &store, GG_PUBLISH_EFFECT_WRITE);
  deliver_delayed (&store);
  end_done (&run, &store, GG_PUBLISH_PUBLISHED, 3);
  store_clear (&store);
}

static void
test_concurrent_publishers (void)
{
  Store store = { 0 };
  Run first = start ("a", "p1", -1, FILES ("a/1", PLAIN ("x", "1")));
  Run second = start ("b", "p2", -1, FILES ("b/1", PLAIN ("y", "1")));
  step_until (&first, &store, GG_PUBLISH_EFFECT_WRITE);
  step_until (&second, &store, GG_PUBLISH_EFFECT_WRITE);
  end_done (&first, &store, GG_PUBLISH_PUBLISHED, 1);
  end_done (&second, &store, GG_PUBLISH_PUBLISHED, 2);

  first = start ("a", "p3", -1, FILES ("a/1", PLAIN ("x", "2")));
  second = start ("a", "p4", -1, FILES ("a/1", PLAIN ("x", "3")));
  step_until (&first, &store, GG_PUBLISH_EFFECT_WRITE);
  step_until (&second, &store, GG_PUBLISH_EFFECT_WRITE);
  end_done (&second, &store, GG_PUBLISH_PUBLISHED, 3);
  end_failed (&first, &store, GG_PUBLISH_ERROR_CONFLICT,
              "conflict: another publisher changed a/1 concurrently");

  /* Changes of different files that are invalid together must not be published. */
  first = start ("c", "p5", -1, FILES ("c/1", PLAIN ("w", "1")));
  second = start ("d", "p6", -1, FILES ("d/1", PLAIN ("w", "1")));
  step_until (&first, &store, GG_PUBLISH_EFFECT_WRITE);
  step_until (&second, &store, GG_PUBLISH_EFFECT_WRITE);
  end_done (&first, &store, GG_PUBLISH_PUBLISHED, 4);
  end_failed (&second, &store, GG_PUBLISH_ERROR_INVALID,
              "d/1: section [service w] is already declared in c/1");
  store_clear (&store);
}

static void
test_base_generation (void)
{
  Store store = { 0 };
  Run run = start ("a", "p1", -1, FILES ("a/1", PLAIN ("x", "1"), "a/2", PLAIN ("y", "1")));
  end_done (&run, &store, GG_PUBLISH_PUBLISHED, 1);
  run = start ("b", "p2", -1, FILES ("b/1", PLAIN ("z", "1")));
  end_done (&run, &store, GG_PUBLISH_PUBLISHED, 2);
  run = start ("a", "p3", 1, FILES ("a/1", PLAIN ("x", "2"), "a/2", PLAIN ("y", "1")));
  end_done (&run, &store, GG_PUBLISH_PUBLISHED, 3);
  run = start ("a", "p4", 2, FILES ("a/1", PLAIN ("x", "3"), "a/2", PLAIN ("y", "1")));
  end_failed (&run, &store, GG_PUBLISH_ERROR_CONFLICT,
              "a/1 changed after the base generation 2 (last change: generation 3)");
  run = start ("a", "p5", 3, FILES ("a/1", PLAIN ("x", "2")));
  end_done (&run, &store, GG_PUBLISH_PUBLISHED, 4);
  run = start ("a", "p6", 3, FILES ("a/1", PLAIN ("x", "2"), "a/2", PLAIN ("y", "1")));
  end_failed (&run, &store, GG_PUBLISH_ERROR_CONFLICT, "a/2 changed after");
  run = start ("a", "p7", 9, FILES ("a/1", PLAIN ("x", "2")));
  end_failed (&run, &store, GG_PUBLISH_ERROR_CONFLICT, "expected at most");
  store_clear (&store);
}

static void
test_platform_failures (void)
{
  Store store = { 0 };
  Run run = start ("a", "p1", -1, FILES ("a/1", PLAIN ("x", "1")));
  while (step (&run, &store, FAULT_UNREACHABLE))
    CU_ASSERT_TRUE (store.now_ms < DEADLINE_MS);
  end_failed (&run, &store, GG_PUBLISH_ERROR_PLATFORM, "nothing was published");

  store.now_ms = 0;
  run = start ("a", "p2", -1, FILES ("a/1", PLAIN ("x", "1")));
  step_until (&run, &store, GG_PUBLISH_EFFECT_WRITE);
  step (&run, &store, FAULT_LOST_REPLY);
  while (step (&run, &store, FAULT_UNREACHABLE))
    continue;
  end_failed (&run, &store, GG_PUBLISH_ERROR_PLATFORM, "p2 may or may not have taken effect");

  store.now_ms = 0;
  run = start ("a", "p3", -1, FILES ("a/1", PLAIN ("x", "2")));
  step_until (&run, &store, GG_PUBLISH_EFFECT_WRITE);
  g_clear_pointer (&store.text, g_free);
  store.version = 99;
  end_failed (&run, &store, GG_PUBLISH_ERROR_PLATFORM,
              "the generation of the stored document decreased from 1 to 0");
  store.text = g_strdup ("{}");
  run = start ("a", "p4", -1, FILES ("a/1", PLAIN ("x", "2")));
  end_failed (&run, &store, GG_PUBLISH_ERROR_PLATFORM, "configuration document: ");
  store_clear (&store);
}

static void
test_size_limit (void)
{
  Store store = { 0 };
  char *large = g_strnfill (GG_CONFIG_DOCUMENT_MAX_BYTES, '#');
  Run run = start ("a", "p1", -1, FILES ("a/1", large));
  end_failed (&run, &store, GG_PUBLISH_ERROR_INVALID, "expected at most 1000000");
  g_free (large);
}

/* Concurrent publishers each change a shared file and a private file under random faults. A publish
 * that is reported as published must be in the document's history exactly once, one that is
 * reported as a conflict not at all. */
static gboolean
run_race (guint32 seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  Store store = { 0 };
  Run runs[N_PUBLISHERS];
  for (int i = 0; i < N_PUBLISHERS; i++)
    {
      char *own = g_strdup_printf ("a/%d", i);
      char *text = g_strdup_printf ("[service s%d]\nkind = plain\n", i);
      char *shared = g_strdup_printf (PLAIN ("shared", "%d"), g_rand_int_range (rand, 1, 3));
      char id[8];
      g_snprintf (id, sizeof id, "p%d", i);
      runs[i] = start ("a", id, -1, FILES (own, text, "a/shared", shared));
      g_free (shared);
      g_free (text);
      g_free (own);
    }
  for (int n = 0; n < 60; n++)
    {
      Fault fault
          = g_rand_int_range (rand, 0, 3) == 0 ? (Fault) g_rand_int_range (rand, 0, 4) : FAULT_NONE;
      step (&runs[g_rand_int_range (rand, 0, N_PUBLISHERS)], &store, fault);
      if (g_rand_int_range (rand, 0, 4) == 0)
        deliver_delayed (&store);
    }
  gboolean valid = TRUE;
  uint64_t n_published = 0;
  for (int i = 0; i < N_PUBLISHERS; i++)
    while (step (&runs[i], &store, FAULT_NONE))
      continue;
  deliver_delayed (&store);
  GgConfigDocument *document = gg_config_document_parse (store.text, NULL);
  for (int i = 0; i < N_PUBLISHERS; i++)
    {
      char id[8];
      g_snprintf (id, sizeof id, "p%d", i);
      uint64_t found = gg_config_document_find_publish (document, id);
      const GgPublishEffect *effect = &runs[i].effect;
      if (effect->type == GG_PUBLISH_EFFECT_DONE)
        valid = valid && effect->u.done.outcome == GG_PUBLISH_PUBLISHED
                && found == effect->u.done.generation;
      else
        valid = valid && found == 0
                && g_error_matches (effect->u.fail.error, GG_PUBLISH_ERROR,
                                    GG_PUBLISH_ERROR_CONFLICT);
      n_published += found != 0;
      gg_publish_destroy (runs[i].publish);
    }
  valid = valid && n_published > 0 && gg_config_document_get_generation (document) == n_published;
  gg_config_document_unref (document);
  store_clear (&store);
  g_rand_free (rand);
  return valid;
}

static void
test_random_races (void)
{
  for (guint32 seed = first_seed; seed - first_seed < n_runs; seed++)
    if (!run_race (seed))
      {
        printf ("\nfailed: replay with: test_publish %u\n", seed);
        CU_FAIL ("a race reported a wrong outcome");
        return;
      }
}

int
main (int argc, char **argv)
{
  if (argc > 1)
    {
      first_seed = (guint32) g_ascii_strtoull (argv[1], NULL, 10);
      n_runs = 1;
    }
  static const GgTestCase cases[] = {
    { "replaces prefix", test_replaces_prefix },
    { "lost replies", test_lost_replies },
    { "concurrent publishers", test_concurrent_publishers },
    { "base generation", test_base_generation },
    { "platform failures", test_platform_failures },
    { "size limit", test_size_limit },
    { "random races", test_random_races },
  };
  return gg_test_run ("publish", cases, G_N_ELEMENTS (cases));
}
