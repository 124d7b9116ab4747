/* Guards the retry decision after a send: a request that can't be retried safely must never be sent
 * again once it may have been executed, and callers must only be told that a request was not
 * executed if that is certain. */
#include "core/attempt.h"
#include "test_main.h"

static const GgSendResult results[] = { GG_SEND_COMPLETE, GG_SEND_FAILED, GG_SEND_UNSENT,
                                        GG_SEND_REFUSED,  GG_SEND_LOST,   GG_SEND_UNCONFIRMED };

static GgAttemptAction
send_and_decide (GgAttempt *a, GgSendResult result)
{
  gg_attempt_note_send (a, result);
  return gg_attempt_decide (a, result);
}

static void
test_non_idempotent_runs_at_most_once (void)
{
  GgAttempt a = { .kind = GG_REQUEST_NON_IDEMPOTENT, .max_attempts = 3 };
  CU_ASSERT_EQUAL (send_and_decide (&a, GG_SEND_REFUSED), GG_ATTEMPT_RETRY);
  CU_ASSERT_EQUAL (send_and_decide (&a, GG_SEND_UNSENT), GG_ATTEMPT_RETRY);
  CU_ASSERT_EQUAL (send_and_decide (&a, GG_SEND_LOST), GG_ATTEMPT_FAIL);
}

static void
test_failure_of_the_runner_is_forwarded (void)
{
  GgAttempt a = { .kind = GG_REQUEST_NON_IDEMPOTENT, .max_attempts = 2 };
  CU_ASSERT_EQUAL (send_and_decide (&a, GG_SEND_FAILED), GG_ATTEMPT_DELIVER);
  GgAttempt b = { .kind = GG_REQUEST_IDEMPOTENT, .max_attempts = 2 };
  CU_ASSERT_EQUAL (send_and_decide (&b, GG_SEND_FAILED), GG_ATTEMPT_RETRY);
  CU_ASSERT_EQUAL (send_and_decide (&b, GG_SEND_FAILED), GG_ATTEMPT_DELIVER);
}

static void
test_stream_is_resumed_or_aborted (void)
{
  GgAttempt a = { .kind = GG_REQUEST_STREAMING, .is_resumable = TRUE, .max_attempts = 2 };
  a.has_answer_started = TRUE;
  CU_ASSERT_EQUAL (send_and_decide (&a, GG_SEND_LOST), GG_ATTEMPT_RETRY);
  CU_ASSERT_EQUAL (send_and_decide (&a, GG_SEND_LOST), GG_ATTEMPT_ABORT);
  GgAttempt b = { .kind = GG_REQUEST_STREAMING, .max_attempts = 2 };
  CU_ASSERT_EQUAL (send_and_decide (&b, GG_SEND_LOST), GG_ATTEMPT_FAIL);
}

static void
test_nothing_is_sent_after_the_deadline (void)
{
  GgAttempt a = { .kind = GG_REQUEST_IDEMPOTENT, .max_attempts = 9, .is_past_deadline = TRUE };
  CU_ASSERT_EQUAL (send_and_decide (&a, GG_SEND_REFUSED), GG_ATTEMPT_REJECT);
  CU_ASSERT_EQUAL (send_and_decide (&a, GG_SEND_LOST), GG_ATTEMPT_FAIL);
}

/* Guards against a hedge that would run a request more often, or later, than its route allows. */
static void
test_hedge_counts_as_a_run (void)
{
  GgAttempt a = { .kind = GG_REQUEST_STREAMING, .is_resumable = TRUE, .max_attempts = 2 };
  a.has_answer_started = TRUE;
  CU_ASSERT_TRUE (gg_attempt_may_hedge (&a));
  a.is_past_deadline = TRUE;
  CU_ASSERT_FALSE (gg_attempt_may_hedge (&a));
  a.is_past_deadline = FALSE;
  /* One of the two sends has been dropped. */
  gg_attempt_note_send (&a, GG_SEND_LOST);
  CU_ASSERT_FALSE (gg_attempt_may_hedge (&a));
  GgAttempt refused = { .kind = GG_REQUEST_IDEMPOTENT, .max_attempts = 2 };
  gg_attempt_note_send (&refused, GG_SEND_REFUSED);
  CU_ASSERT_TRUE (gg_attempt_may_hedge (&refused));
  refused.has_answer_started = TRUE;
  CU_ASSERT_FALSE (gg_attempt_may_hedge (&refused));
  /* A hedge may be dropped for another one only if that is allowed as a third run. */
  GgAttempt two = { .kind = GG_REQUEST_STREAMING, .is_resumable = TRUE, .max_attempts = 2 };
  GgAttempt three = two;
  three.max_attempts = 3;
  CU_ASSERT_FALSE (gg_attempt_may_replace_hedge (&two));
  CU_ASSERT_TRUE (gg_attempt_may_replace_hedge (&three));
  CU_ASSERT_EQUAL (three.n_possible_runs, 0);
  /* Each refused hedge is a repeat of the shared budget. */
  GgAttempt unlucky = { .kind = GG_REQUEST_STREAMING, .is_resumable = TRUE, .max_attempts = 2 };
  guint n_hedges = 0;
  for (; n_hedges < 100 && gg_attempt_may_hedge (&unlucky); n_hedges++)
    gg_attempt_note_send (&unlucky, GG_SEND_REFUSED);
  CU_ASSERT_TRUE (n_hedges > 0 && n_hedges < 10);
  const GgAttempt never[] = {
    { .kind = GG_REQUEST_NON_IDEMPOTENT, .max_attempts = 3 },
    { .kind = GG_REQUEST_STREAMING, .max_attempts = 3 },
    { .kind = GG_REQUEST_STREAMING, .is_resumable = TRUE, .max_attempts = 1 },
  };
  for (gsize i = 0; i < G_N_ELEMENTS (never); i++)
    CU_ASSERT_FALSE (gg_attempt_may_hedge (&never[i]));
}

/* Guards against bytes that a runner sends after a complete answer, or in the place of one, being
 * taken for the answer to the request that waits on the connection. */
static void
test_answers_of_other_requests_are_not_owned (void)
{
  for (int is_first = 0; is_first <= 1; is_first++)
    {
      CU_ASSERT_EQUAL (gg_attempt_find_owner ("a1", "a1", is_first), GG_ANSWER_OWN);
      CU_ASSERT_EQUAL (gg_attempt_find_owner ("a1", "a2", is_first), GG_ANSWER_FOREIGN);
      CU_ASSERT_EQUAL (gg_attempt_find_owner ("a1", "", is_first), GG_ANSWER_FOREIGN);
    }
  CU_ASSERT_EQUAL (gg_attempt_find_owner ("a1", NULL, TRUE), GG_ANSWER_UNIDENTIFIED);
  CU_ASSERT_EQUAL (gg_attempt_find_owner ("a1", NULL, FALSE), GG_ANSWER_FOREIGN);
}

/* Guards against a refusal that is forwarded although the request may have been executed: its
 * caller would send it again, and it must not be executed twice. */
static void
test_unconfirmed_refusal_is_not_delivered (void)
{
  const GgAttempt once[] = { { .kind = GG_REQUEST_NON_IDEMPOTENT, .max_attempts = 3 },
                             { .kind = GG_REQUEST_STREAMING, .max_attempts = 3 } };
  for (gsize i = 0; i < G_N_ELEMENTS (once); i++)
    {
      GgAttempt a = once[i];
      CU_ASSERT_FALSE (gg_attempt_may_deliver_unconfirmed (&a));
      CU_ASSERT_EQUAL (send_and_decide (&a, GG_SEND_UNCONFIRMED), GG_ATTEMPT_FAIL);
    }
  const GgAttempt repeatable[]
      = { { .kind = GG_REQUEST_IDEMPOTENT, .max_attempts = 1 },
          { .kind = GG_REQUEST_STREAMING, .is_resumable = TRUE, .max_attempts = 1 } };
  for (gsize i = 0; i < G_N_ELEMENTS (repeatable); i++)
    CU_ASSERT_TRUE (gg_attempt_may_deliver_unconfirmed (&repeatable[i]));
}

static gboolean
may_have_run (GgSendResult result)
{
  return result != GG_SEND_UNSENT && result != GG_SEND_REFUSED;
}

/* With any sequence of results, the guarantees hold and the attempt ends after a limited number of
 * sends. */
static void
run_history (GRand *rand)
{
  GgAttempt a = { .kind = (GgRequestKind) g_rand_int_range (rand, 0, 3),
                  .is_resumable = g_rand_boolean (rand),
                  .max_attempts = (uint32_t) g_rand_int_range (rand, 1, 4) };
  guint n_runs = 0;
  for (guint i = 0; i < 20; i++)
    {
      GgSendResult result = results[g_rand_int_range (rand, 0, G_N_ELEMENTS (results))];
      n_runs += may_have_run (result) ? 1 : 0;
      if (a.kind == GG_REQUEST_STREAMING && result == GG_SEND_LOST && g_rand_boolean (rand))
        a.has_answer_started = TRUE;
      GgAttemptAction action = send_and_decide (&a, result);
      gboolean is_repeatable
          = a.kind == GG_REQUEST_IDEMPOTENT || (a.kind == GG_REQUEST_STREAMING && a.is_resumable);
      if (action == GG_ATTEMPT_REJECT)
        CU_ASSERT_EQUAL_FATAL (n_runs, 0);
      if (action == GG_ATTEMPT_RETRY)
        {
          CU_ASSERT_TRUE_FATAL (is_repeatable || n_runs == 0);
          CU_ASSERT_TRUE_FATAL (n_runs < a.max_attempts);
          continue;
        }
      if (a.has_answer_started && action != GG_ATTEMPT_DELIVER)
        CU_ASSERT_EQUAL_FATAL (action, GG_ATTEMPT_ABORT);
      return;
    }
  CU_FAIL ("a request is retried without limit");
}

static void
test_random_histories (void)
{
  for (guint i = 0; i < 20000; i++)
    {
      GRand *rand = g_rand_new_with_seed (i);
      run_history (rand);
      g_rand_free (rand);
    }
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "non-idempotent request runs at most once", test_non_idempotent_runs_at_most_once },
    { "failure of the runner is forwarded", test_failure_of_the_runner_is_forwarded },
    { "stream is resumed or aborted", test_stream_is_resumed_or_aborted },
    { "nothing is sent after the deadline", test_nothing_is_sent_after_the_deadline },
    { "hedge counts as a run", test_hedge_counts_as_a_run },
    { "answers of other requests are not owned", test_answers_of_other_requests_are_not_owned },
    { "unconfirmed refusal is not delivered", test_unconfirmed_refusal_is_not_delivered },
    { "random histories", test_random_histories },
  };
  return gg_test_run ("attempt", cases, G_N_ELEMENTS (cases));
}
