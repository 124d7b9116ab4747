/* Guards against an instance that takes a partition of its own links for the failure of all
 * runners, so that it rejects requests that its peers could serve, and against one that takes
 * failures of runners for its own. */
#include "core/link_health.h"
#include "test_main.h"

#include <stdio.h>

typedef enum
{
  SENT,
  ENDED,
  RECEIVED,
  MISSED,
  PROBE_FAILED,  /* sent 400 ms before */
  PEER_RECEIVED, /* just now */
  EXPECT,
} Kind;

typedef struct
{
  uint64_t at_ms;
  Kind kind;
  const char *service;
  const char *runner;
  GgLinkState state; /* EXPECT: of the service, or of all links */
} Step;

#define START_MS 10000

static void
apply (GgLinkHealth *h, const Step *step)
{
  uint64_t now_ms = START_MS + step->at_ms;
  switch (step->kind)
    {
    case SENT:
      gg_link_health_note_sent (h, step->service, now_ms);
      break;
    case ENDED:
      gg_link_health_note_ended (h, step->service);
      break;
    case RECEIVED:
      gg_link_health_note_received (h, step->service, now_ms);
      break;
    case MISSED:
      gg_link_health_note_missed (h, step->service, step->runner, now_ms, now_ms);
      break;
    case PROBE_FAILED:
      gg_link_health_note_probe_failed (h, step->service, step->runner, now_ms - 400, now_ms);
      break;
    case PEER_RECEIVED:
      gg_link_health_note_peer_received (h, step->service, 0, now_ms);
      break;
    case EXPECT:
      CU_ASSERT_EQUAL (gg_link_health_get_state (h, step->service, now_ms), step->state);
      if (gg_link_health_get_state (h, step->service, now_ms) != step->state)
        fprintf (stderr, "at %u ms: not state %d\n", (guint) step->at_ms, (int) step->state);
      break;
    }
}

static void
play (const Step *steps, size_t n)
{
  GgLinkHealth *h = gg_link_health_create ();
  for (size_t i = 0; i < n; i++)
    apply (h, &steps[i]);
  gg_link_health_destroy (h);
}

#define PLAY(steps) play (steps, G_N_ELEMENTS (steps))

static void
test_silence_of_all_is_down_with_proof_of_a_peer (void)
{
  static const Step steps[] = {
    { 0, SENT, "a", NULL, 0 },
    { 50, RECEIVED, "a", NULL, 0 },
    { 100, SENT, "a", NULL, 0 },
    { 449, EXPECT, NULL, NULL, GG_LINKS_UP },
    { 500, EXPECT, NULL, NULL, GG_LINKS_DOUBT },
    { 500, EXPECT, "b", NULL, GG_LINKS_DOUBT },
    { 900, PROBE_FAILED, "a", "a1", 0 },
    { 900, PEER_RECEIVED, "b", NULL, 0 },
    { 900, EXPECT, NULL, NULL, GG_LINKS_DOUBT },
    { 950, PROBE_FAILED, "b", "b1", 0 },
    { 950, EXPECT, NULL, NULL, GG_LINKS_DOWN },
    { 950, EXPECT, "a", NULL, GG_LINKS_DOWN },
    { 950, EXPECT, "unused", NULL, GG_LINKS_DOWN },
    { 2350, EXPECT, NULL, NULL, GG_LINKS_DOWN },
    { 2450, EXPECT, NULL, NULL, GG_LINKS_DOUBT }, /* the proof has expired */
    { 2500, PEER_RECEIVED, "a", NULL, 0 },
    { 2500, EXPECT, NULL, NULL, GG_LINKS_DOWN },
    { 2600, RECEIVED, "a", NULL, 0 },
    { 2600, EXPECT, NULL, NULL, GG_LINKS_UP },
    { 2600, EXPECT, "b", NULL, GG_LINKS_UP },
  };
  PLAY (steps);
}

/* Guards against instances that all leave rotation while the runners are down. */
static void
test_silence_of_all_without_proof_stays_in_doubt (void)
{
  static const Step steps[] = {
    { 0, SENT, "a", NULL, 0 },
    { 0, PEER_RECEIVED, "a", NULL, 0 }, /* before this instance received bytes last */
    { 50, RECEIVED, "a", NULL, 0 },
    { 850, PROBE_FAILED, "a", "a1", 0 },
    { 900, PROBE_FAILED, "a", "a2", 0 },
    { 950, PROBE_FAILED, "a", "a3", 0 },
    { 950, EXPECT, NULL, NULL, GG_LINKS_DOUBT },
    { 950, EXPECT, "a", NULL, GG_LINKS_DOUBT },
  };
  PLAY (steps);
}

static void
test_one_failing_runner_among_others_is_no_doubt (void)
{
  static const Step steps[] = {
    { 0, SENT, "a", NULL, 0 },
    { 0, SENT, "a", NULL, 0 },
    { 10, MISSED, "a", "a1", 0 },
    { 20, RECEIVED, "a", NULL, 0 },
    { 300, MISSED, "a", "a1", 0 },
    { 300, PEER_RECEIVED, "a", NULL, 0 },
    { 310, EXPECT, NULL, NULL, GG_LINKS_UP },
    { 320, RECEIVED, "a", NULL, 0 },
    { 600, PROBE_FAILED, "a", "a1", 0 }, /* others answered after it was sent */
    { 610, PROBE_FAILED, "a", "a2", 0 },
    { 610, EXPECT, NULL, NULL, GG_LINKS_UP },
  };
  PLAY (steps);
}

/* Guards against a runner that is down being taken for the links: the first failures at a single
 * one only lead to probes of others. */
static void
test_one_failing_runner_alone (void)
{
  static const Step steps[] = {
    { 0, MISSED, "a", "a1", 0 },
    { 100, MISSED, "a", "a1", 0 },
    { 100, EXPECT, "a", NULL, GG_LINKS_UP },
    { 250, MISSED, "a", "a1", 0 },
    { 250, PEER_RECEIVED, "a", NULL, 0 },
    { 250, EXPECT, "a", NULL, GG_LINKS_DOUBT },
    { 550, PROBE_FAILED, "a", "a1", 0 },
    { 550, EXPECT, "a", NULL, GG_LINKS_DOUBT },
    { 850, PROBE_FAILED, "a", "a1", 0 },
    { 850, EXPECT, "a", NULL, GG_LINKS_DOWN },
  };
  PLAY (steps);
}

static void
test_reset_of_all (void)
{
  static const Step steps[] = {
    { 0, RECEIVED, "a", NULL, 0 },
    { 100, MISSED, "a", "a1", 0 },
    { 100, EXPECT, NULL, NULL, GG_LINKS_UP },
    { 101, MISSED, "b", "b1", 0 },
    { 101, EXPECT, NULL, NULL, GG_LINKS_DOUBT },
    { 102, PEER_RECEIVED, "a", NULL, 0 },
    { 102, EXPECT, NULL, NULL, GG_LINKS_DOUBT }, /* no probe has failed yet */
    { 103, PROBE_FAILED, "a", "a2", 0 },
    { 103, EXPECT, NULL, NULL, GG_LINKS_UP }, /* a runner answered after it was sent */
    { 403, PROBE_FAILED, "a", "a2", 0 },
    { 403, EXPECT, NULL, NULL, GG_LINKS_DOWN },
  };
  /* Probes that are refused fail at once, so they are sent after the last bytes. */
  GgLinkHealth *h = gg_link_health_create ();
  for (size_t i = 0; i < 7; i++)
    apply (h, &steps[i]);
  gg_link_health_note_probe_failed (h, "a", "a2", START_MS + 103, START_MS + 103);
  CU_ASSERT_EQUAL (gg_link_health_get_state (h, NULL, START_MS + 103), GG_LINKS_DOWN);
  gg_link_health_destroy (h);
}

static void
test_quiet_instance_stays_up (void)
{
  static const Step steps[] = {
    { 0, EXPECT, NULL, NULL, GG_LINKS_UP },
    { 0, SENT, "a", NULL, 0 },
    { 100, RECEIVED, "a", NULL, 0 },
    { 100, ENDED, "a", NULL, 0 },
    { 60000, EXPECT, NULL, NULL, GG_LINKS_UP },
    { 60000, PEER_RECEIVED, "a", NULL, 0 },
    { 60000, EXPECT, "a", NULL, GG_LINKS_UP },
    { 60000, SENT, "a", NULL, 0 }, /* silence is counted from here */
    { 60399, EXPECT, NULL, NULL, GG_LINKS_UP },
    { 60400, EXPECT, NULL, NULL, GG_LINKS_DOUBT },
    { 60500, ENDED, "a", NULL, 0 },
    { 60500, EXPECT, NULL, NULL, GG_LINKS_UP },
    { 70000, MISSED, "a", "a1", 0 },
    { 80000, MISSED, "a", "a2", 0 }, /* the first one has expired */
    { 80000, EXPECT, NULL, NULL, GG_LINKS_UP },
  };
  PLAY (steps);
}

static void
test_half_path (void)
{
  static const Step steps[] = {
    { 0, SENT, "a", NULL, 0 },
    { 0, SENT, "b", NULL, 0 },
    { 300, RECEIVED, "a", NULL, 0 },
    { 600, RECEIVED, "a", NULL, 0 },
    { 700, EXPECT, "b", NULL, GG_LINKS_UP },
    { 850, RECEIVED, "a", NULL, 0 },
    { 850, EXPECT, "b", NULL, GG_LINKS_DOUBT },
    { 1250, PROBE_FAILED, "b", "b1", 0 },
    { 1250, PROBE_FAILED, "b", "b2", 0 },
    { 1250, PEER_RECEIVED, "b", NULL, 0 },
    { 1251, RECEIVED, "a", NULL, 0 },
    { 1260, EXPECT, "b", NULL, GG_LINKS_DOWN },
    { 1260, EXPECT, "a", NULL, GG_LINKS_UP },
    { 1260, EXPECT, NULL, NULL, GG_LINKS_UP },
    { 1300, RECEIVED, "b", NULL, 0 },
    { 1300, EXPECT, "b", NULL, GG_LINKS_UP },
  };
  PLAY (steps);
}

static void
test_flapping_links (void)
{
  GgLinkHealth *h = gg_link_health_create ();
  for (uint64_t at_ms = 0; at_ms < 10000; at_ms += 2000)
    {
      const Step cut[] = {
        { at_ms, RECEIVED, "a", NULL, 0 },
        { at_ms + 1, SENT, "a", NULL, 0 },
        { at_ms + 900, PROBE_FAILED, "a", "a1", 0 },
        { at_ms + 900, PROBE_FAILED, "a", "a2", 0 },
        { at_ms + 900, PEER_RECEIVED, "a", NULL, 0 },
        { at_ms + 900, EXPECT, "a", NULL, GG_LINKS_DOWN },
        { at_ms + 1000, RECEIVED, "a", NULL, 0 },
        { at_ms + 1000, ENDED, "a", NULL, 0 },
        { at_ms + 1000, EXPECT, "a", NULL, GG_LINKS_UP },
        { at_ms + 1000, PEER_RECEIVED, "a", NULL, 0 },
        { at_ms + 1999, EXPECT, "a", NULL, GG_LINKS_UP },
      };
      for (size_t i = 0; i < G_N_ELEMENTS (cut); i++)
        apply (h, &cut[i]);
    }
  gg_link_health_destroy (h);
}

/* Guards against misses of a cut instance that make others avoid sound runners. */
static void
test_a_miss_counts_once_another_runner_answers (void)
{
  GgLinkHealth *h = gg_link_health_create ();
  CU_ASSERT_FALSE (gg_link_health_is_runner_at_fault (h, "a", 1000, 1000));
  gg_link_health_note_missed (h, "a", "a1", 1000, 1000);
  CU_ASSERT_FALSE (gg_link_health_is_runner_at_fault (h, "a", 1000, 1010));
  gg_link_health_note_received (h, "b", 1000);
  CU_ASSERT_TRUE (gg_link_health_is_runner_at_fault (h, "a", 1000, 1010));
  CU_ASSERT_FALSE (gg_link_health_is_runner_at_fault (h, "a", 1005, 1010));
  gg_link_health_note_missed (h, "a", "a1", 1020, 1020);
  gg_link_health_note_missed (h, "a", "a2", 1020, 1020);
  CU_ASSERT_FALSE (gg_link_health_is_runner_at_fault (h, "a", 1000, 1020));
  CU_ASSERT_EQUAL (gg_link_health_get_received_age_ms (h, "b", 1030), 30);
  CU_ASSERT_EQUAL (gg_link_health_get_received_age_ms (h, "a", 1030), G_MAXUINT64);
  gg_link_health_destroy (h);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "silence of all is down with proof of a peer",
      test_silence_of_all_is_down_with_proof_of_a_peer },
    { "silence of all without proof stays in doubt",
      test_silence_of_all_without_proof_stays_in_doubt },
    { "one failing runner among others is no doubt",
      test_one_failing_runner_among_others_is_no_doubt },
    { "one failing runner alone", test_one_failing_runner_alone },
    { "reset of all", test_reset_of_all },
    { "quiet instance stays up", test_quiet_instance_stays_up },
    { "half path", test_half_path },
    { "flapping links", test_flapping_links },
    { "a miss counts once another runner answers", test_a_miss_counts_once_another_runner_answers },
  };
  return gg_test_run ("link health", cases, G_N_ELEMENTS (cases));
}
