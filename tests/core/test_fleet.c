/* Guards the state kept of runners: a restarted runner has no earlier load or failures,
 * simultaneous failures count once, and a runner that keeps refusing is avoided for longer. */
#include "core/fleet.h"
#include "core/plain_choice.h"
#include "model_fixture.h"
#include "test_main.h"

#include <string.h>

static void
test_restarted_runner_is_a_new_one (void)
{
  GgFleet *fleet = gg_fleet_create ();
  fixture_add_runners (fleet, "north", "a100", 1);
  GgFleetRunner *old = gg_fleet_runner_ref (gg_fleet_get (fleet, 0));
  old->own.n_requests = 3;
  gg_fleet_runner_note_failure (old, 1000);
  GgRunnerRecord record = { .id = g_strdup (old->record.id),
                            .address = g_strdup (old->record.address),
                            .service = g_strdup (FIXTURE_SERVICE),
                            .data_centre = g_strdup ("north"),
                            .started_ms = 2 };
  CU_ASSERT_TRUE (gg_fleet_put (fleet, &record));
  GgFleetRunner *now = gg_fleet_get (fleet, 0);
  CU_ASSERT_EQUAL (gg_fleet_get_size (fleet), 1);
  CU_ASSERT_TRUE (now != old);
  CU_ASSERT_EQUAL (now->own.n_requests, 0);
  CU_ASSERT_TRUE (gg_fleet_runner_is_usable (now, 1000));
  CU_ASSERT_FALSE (gg_fleet_runner_is_usable (old, 100000));
  gg_fleet_runner_unref (old);
  gg_fleet_destroy (fleet);
}

/* Guards against a leaving runner that is used again, since a store that was restored from a copy
 * still shows it as ready. */
static void
test_leaving_runner_stays_so (void)
{
  GgFleet *fleet = gg_fleet_create ();
  fixture_add_runners (fleet, "north", "a100", 1);
  GgFleetRunner *runner = gg_fleet_get (fleet, 0);
  GgRunnerRecord ready;
  GgRunnerRecord leaving;
  GgRunnerRecord restarted;
  gg_runner_record_copy (&ready, &runner->record);
  gg_runner_record_copy (&leaving, &runner->record);
  gg_runner_record_copy (&restarted, &runner->record);
  leaving.is_leaving = TRUE;
  restarted.started_ms++;
  CU_ASSERT_TRUE (gg_fleet_put (fleet, &leaving));
  CU_ASSERT_FALSE (gg_fleet_put (fleet, &ready));
  CU_ASSERT_TRUE (gg_fleet_get (fleet, 0)->record.is_leaving);
  CU_ASSERT_TRUE (gg_fleet_put (fleet, &restarted));
  CU_ASSERT_FALSE (gg_fleet_get (fleet, 0)->record.is_leaving);
  gg_fleet_destroy (fleet);
}

static void
test_same_record_is_no_change (void)
{
  GgFleet *fleet = gg_fleet_create ();
  fixture_add_runners (fleet, "north", "l4", 2);
  uint64_t revision = gg_fleet_get_revision (fleet);
  GgRunnerRecord record = { .id = g_strdup ("north-l4-1"),
                            .address = g_strdup ("10.0.0.2:80"),
                            .service = g_strdup (FIXTURE_SERVICE),
                            .data_centre = g_strdup ("north"),
                            .accelerator = g_strdup ("l4"),
                            .started_ms = 1,
                            .slots = 192 };
  CU_ASSERT_FALSE (gg_fleet_put (fleet, &record));
  CU_ASSERT_EQUAL (gg_fleet_get_revision (fleet), revision);
  gg_fleet_destroy (fleet);
}

static void
test_remove (void)
{
  GgFleet *fleet = gg_fleet_create ();
  fixture_add_runners (fleet, "north", "l4", 5);
  GgFleetRunner *gone = gg_fleet_runner_ref (gg_fleet_find (fleet, "north-l4-0"));
  CU_ASSERT_TRUE (gg_fleet_remove (fleet, "north-l4-0"));
  CU_ASSERT_FALSE (gg_fleet_remove (fleet, "north-l4-0"));
  CU_ASSERT_EQUAL (gg_fleet_get_size (fleet), 4);
  CU_ASSERT_PTR_NOT_NULL (gg_fleet_find (fleet, "north-l4-4"));
  CU_ASSERT_PTR_NULL (gg_fleet_find (fleet, "north-l4-0"));
  CU_ASSERT_FALSE (gg_fleet_runner_is_usable (gone, 10));
  gg_fleet_runner_unref (gone);
  gg_fleet_destroy (fleet);
}

static GgRunnerRecord
make_desk (uint64_t started_ms)
{
  return (GgRunnerRecord){ .id = g_strdup ("desk-1"),
                           .address = g_strdup ("127.0.0.1:1"),
                           .service = g_strdup ("desk"),
                           .data_centre = g_strdup ("north"),
                           .started_ms = started_ms };
}

/* Guards a runner that has named a Retry-After against getting requests because its entry
 * expired meanwhile and was written again: it is the same process. */
static void
test_retry_after_of_a_runner_whose_entry_comes_back (void)
{
  GgFleet *fleet = gg_fleet_create ();
  GgRunnerRecord record = make_desk (7);
  gg_fleet_put (fleet, &record);
  gg_retry_after_note (&gg_fleet_find (fleet, "desk-1")->retry_after, 5000, 0, 1000);
  gg_fleet_remove (fleet, "desk-1");
  record = make_desk (7);
  gg_fleet_put (fleet, &record);
  GgFleetRunner *runner = gg_fleet_find (fleet, "desk-1");
  CU_ASSERT_FALSE (gg_fleet_runner_is_usable (runner, 5999));
  CU_ASSERT_TRUE (gg_fleet_runner_is_usable (runner, 6000));
  /* Another process under the same id has said nothing. */
  gg_fleet_remove (fleet, "desk-1");
  record = make_desk (8);
  gg_fleet_put (fleet, &record);
  CU_ASSERT_TRUE (gg_fleet_runner_is_usable (gg_fleet_find (fleet, "desk-1"), 1000));
  gg_fleet_destroy (fleet);
}

static void
test_simultaneous_failures_count_once (void)
{
  GgFleetRunner r = { .refs = 1, .is_listed = TRUE };
  for (guint i = 0; i < 50; i++)
    gg_fleet_runner_note_failure (&r, 1000);
  CU_ASSERT_EQUAL (r.failures, 1);
  uint64_t first_ms = r.suspended_until_ms - 1000;
  CU_ASSERT_FALSE (gg_fleet_runner_is_usable (&r, 1000));
  CU_ASSERT_TRUE (gg_fleet_runner_is_usable (&r, r.suspended_until_ms));
  gg_fleet_runner_note_failure (&r, r.suspended_until_ms);
  CU_ASSERT_EQUAL (r.failures, 2);
  CU_ASSERT_TRUE (r.suspended_until_ms > 1000 + 2 * first_ms);
  gg_fleet_runner_note_success (&r, 0);
  CU_ASSERT_EQUAL (r.failures, 0);
}

/* A draining runner refuses every request whose path includes it, until its entry shows that it
 * is leaving. */
static void
test_pauses_grow_with_consecutive_refusals (void)
{
  GgFleetRunner r = { .refs = 1, .is_listed = TRUE };
  uint64_t now = 1000;
  guint n_tried = 0;
  for (; now < 3000; now++)
    if (gg_fleet_runner_is_usable (&r, now))
      {
        gg_fleet_runner_note_refusal (&r, TRUE, now);
        n_tried++;
      }
  CU_ASSERT_TRUE (n_tried <= 8);
  gg_fleet_runner_note_success (&r, now);
  CU_ASSERT_TRUE (gg_fleet_runner_is_usable (&r, now));
}

/* A runner that is leaving refuses new requests and completes those that it has. Its last answers
 * must not end the pause, or every instance would keep sending to it. */
static void
test_last_answers_of_a_leaving_runner (void)
{
  GgFleetRunner r = { .refs = 1, .is_listed = TRUE };
  guint n_tried = 0;
  for (uint64_t now = 1000; now < 3000; now++)
    {
      if (gg_fleet_runner_is_usable (&r, now))
        {
          gg_fleet_runner_note_refusal (&r, TRUE, now);
          n_tried++;
        }
      if (now % 20 == 0)
        gg_fleet_runner_note_success (&r, 500);
    }
  CU_ASSERT_TRUE (n_tried <= 8);
}

/* The entry of a lost runner remains for some seconds. Without reports from peers, each of many
 * instances would find out by itself, at the cost of a failed request each time; with them, each
 * rarely sends to it. */
static void
test_peer_misses_are_considered (void)
{
  enum
  {
    N_INSTANCES = 20,
    REPORT_MS = 150,
    END_MS = 4600
  };
  GgFleetRunner at[N_INSTANCES] = { 0 };
  guint n_tried = 0;
  for (int i = 0; i < N_INSTANCES; i++)
    at[i] = (GgFleetRunner){ .refs = 1, .is_listed = TRUE };
  for (uint64_t now = 1000; now < END_MS; now += 10)
    {
      for (int i = 0; i < N_INSTANCES; i++)
        if (gg_fleet_runner_is_usable (&at[i], now) && (now / 10 + (uint64_t) i * 7) % 10 == 0)
          {
            gg_fleet_runner_note_refusal (&at[i], FALSE, now);
            n_tried++;
          }
      for (int i = 0; i < N_INSTANCES && now % REPORT_MS == 0; i++)
        {
          uint32_t n = 0;
          for (int j = 0; j < N_INSTANCES; j++)
            n += j != i ? gg_fleet_runner_get_misses (&at[j], now) : 0;
          gg_fleet_runner_note_peer_misses (&at[i], n, now);
        }
    }
  CU_ASSERT_TRUE (n_tried <= 5 * N_INSTANCES);
}

/* A burst of requests may find a runner short of memory; that is no reason for all instances to
 * avoid it. */
static void
test_refusals_of_a_full_runner_are_not_reported (void)
{
  GgFleetRunner r = { .refs = 1, .is_listed = TRUE };
  gg_fleet_runner_note_refusal (&r, TRUE, 1000);
  CU_ASSERT_EQUAL (gg_fleet_runner_get_misses (&r, 1000), 0);
  gg_fleet_runner_note_failure (&r, 1000);
  CU_ASSERT_EQUAL (gg_fleet_runner_get_misses (&r, 1000), 1);
  CU_ASSERT_EQUAL (gg_fleet_runner_get_misses (&r, 3000), 0);
  gg_fleet_runner_note_peer_misses (&r, 1, 3000);
  CU_ASSERT_TRUE (gg_fleet_runner_is_usable (&r, 3000));
}

static GgFleetRunner *
choose (const GgFleet *fleet, const GgFleetRunner *excluded, uint32_t random)
{
  GgPlainQuery query = { .fleet = fleet,
                         .service = FIXTURE_SERVICE,
                         .data_centre = "north",
                         .excluded = excluded,
                         .now_ms = 1000,
                         .random = random };
  gboolean is_full = FALSE;
  return gg_plain_choose_runner (&query, &is_full);
}

static void
test_plain_choice (void)
{
  GgFleet *fleet = gg_fleet_create ();
  fixture_add_runners (fleet, "north", "x", 2);
  fixture_add_runners (fleet, "south", "x", 1);
  for (guint i = 0; i < 3; i++)
    gg_fleet_get (fleet, i)->record.slots = 6;
  CU_ASSERT_STRING_EQUAL (choose (fleet, NULL, 0)->record.data_centre, "north");
  gg_fleet_find (fleet, "north-x-0")->own.n_requests = 4;
  gg_fleet_find (fleet, "north-x-1")->peers.n_requests = 5;
  CU_ASSERT_STRING_EQUAL (choose (fleet, NULL, 0)->record.id, "south-x-0");
  GgFleetRunner *south = gg_fleet_find (fleet, "south-x-0");
  CU_ASSERT_STRING_EQUAL (choose (fleet, south, 0)->record.id, "north-x-0");
  gg_fleet_runner_note_failure (gg_fleet_find (fleet, "north-x-0"), 1000);
  gg_fleet_runner_note_failure (gg_fleet_find (fleet, "north-x-1"), 1000);
  CU_ASSERT_PTR_EQUAL (choose (fleet, south, 0), south);
  gg_fleet_destroy (fleet);
}

/* Guards against a runner that is taken for lost, so that its layers are placed elsewhere, since it
 * was silent for a second or so; and against new work for it meanwhile. */
static void
test_short_silence_is_one_failure (void)
{
  GgFleet *fleet = gg_fleet_create ();
  fixture_add_runners (fleet, "north", "a100", 1);
  GgFleetRunner *runner = gg_fleet_get (fleet, 0);
  uint64_t now_ms = 5000;
  CU_ASSERT_TRUE (gg_fleet_runner_note_silent (runner, now_ms + 550, now_ms));
  for (; now_ms < 6000; now_ms += 450)
    {
      CU_ASSERT_FALSE (gg_fleet_runner_note_silent (runner, now_ms + 550, now_ms));
      CU_ASSERT_FALSE (gg_fleet_runner_is_usable (runner, now_ms + 500));
    }
  CU_ASSERT_TRUE (runner->failures < GG_FLEET_LOST_FAILURES);
  gg_fleet_runner_note_heard (runner);
  CU_ASSERT_TRUE (gg_fleet_runner_is_usable (runner, now_ms));
  /* Further silences, also without any bytes between them. */
  for (guint i = 0; i < 3; i++, now_ms += 2500)
    {
      CU_ASSERT_TRUE (gg_fleet_runner_note_silent (runner, now_ms + 550, now_ms));
      CU_ASSERT_TRUE (runner->failures < GG_FLEET_LOST_FAILURES);
    }
  /* One that stays silent is lost; a failure that was counted for another reason remains. */
  for (uint64_t end_ms = now_ms + 2000; now_ms < end_ms; now_ms += 450)
    gg_fleet_runner_note_silent (runner, now_ms + 550, now_ms);
  CU_ASSERT_TRUE (runner->failures >= GG_FLEET_LOST_FAILURES);
  gg_fleet_runner_note_heard (runner);
  CU_ASSERT_EQUAL (runner->failures, 0);
  gg_fleet_runner_note_failure (runner, now_ms += 20000);
  gg_fleet_runner_note_silent (runner, now_ms + 550, now_ms);
  gg_fleet_runner_note_heard (runner);
  CU_ASSERT_EQUAL (runner->failures, 1);
  gg_fleet_destroy (fleet);
}

/* Guards against sound runners that stay unused after a partition of this instance has healed. */
static void
test_cleared_failures (void)
{
  GgFleet *fleet = gg_fleet_create ();
  fixture_add_runners (fleet, "north", "a100", 2);
  uint64_t now_ms = 100000;
  for (guint i = 0; i < 2; i++)
    {
      gg_fleet_runner_note_failure (gg_fleet_get (fleet, i), now_ms);
      gg_fleet_runner_note_silent (gg_fleet_get (fleet, i), now_ms + 550, now_ms);
      CU_ASSERT_FALSE (gg_fleet_runner_is_usable (gg_fleet_get (fleet, i), now_ms));
    }
  gg_fleet_clear_failures (fleet, "another service");
  CU_ASSERT_FALSE (gg_fleet_runner_is_usable (gg_fleet_get (fleet, 0), now_ms));
  gg_fleet_clear_failures (fleet, FIXTURE_SERVICE);
  for (guint i = 0; i < 2; i++)
    {
      CU_ASSERT_TRUE (gg_fleet_runner_is_usable (gg_fleet_get (fleet, i), now_ms));
      CU_ASSERT_EQUAL (gg_fleet_get (fleet, i)->failures, 0);
      CU_ASSERT_EQUAL (gg_fleet_runner_get_misses (gg_fleet_get (fleet, i), now_ms), 0);
    }
  /* What a runner has refused by itself still counts. */
  gg_fleet_runner_note_refusal (gg_fleet_get (fleet, 0), FALSE, now_ms);
  gg_fleet_clear_failures (fleet, NULL);
  CU_ASSERT_FALSE (gg_fleet_runner_is_usable (gg_fleet_get (fleet, 0), now_ms));
  gg_fleet_destroy (fleet);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "peer misses are considered", test_peer_misses_are_considered },
    { "refusals of a full runner are not reported",
      test_refusals_of_a_full_runner_are_not_reported },
    { "last answers of a leaving runner", test_last_answers_of_a_leaving_runner },
    { "restarted runner is a new one", test_restarted_runner_is_a_new_one },
    { "leaving runner stays so", test_leaving_runner_stays_so },
    { "same record is no change", test_same_record_is_no_change },
    { "remove", test_remove },
    { "retry-after of a runner whose entry comes back",
      test_retry_after_of_a_runner_whose_entry_comes_back },
    { "short silence is one failure", test_short_silence_is_one_failure },
    { "simultaneous failures count once", test_simultaneous_failures_count_once },
    { "pauses grow with consecutive refusals", test_pauses_grow_with_consecutive_refusals },
    { "cleared failures", test_cleared_failures },
    { "plain choice", test_plain_choice },
  };
  return gg_test_run ("fleet", cases, G_N_ELEMENTS (cases));
}
