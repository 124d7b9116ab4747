/* Guards the choice of paths by many instances that know each other's requests only from reports:
 * all of them see the same runners with the lowest cost until the next report, and together would
 * send more to them than they can read or hold (herding). */
#include "core/layer_path.h"
#include "core/placement.h"
#include "model_fixture.h"
#include "test_main.h"

#include <math.h>

#define N_CENTRES 5
#define MAX_OPEN 6000
#define DURATION_MS 24000
#define WARM_UP_MS 6000
#define STEP_MS 5
#define MS_PER_S 1000.0
/* Sums of other data centres come in every third report. */
#define REMOTE_ROUNDS 3
/* A request whose prompt is read later than this misses its objective of 600 ms. */
#define LATE_MS 500
/* Part of its time that a runner reads while it has prompts to read. */
#define READING_SHARE 0.7
/* The users want under one stream in a hundred late on a calm day. */
#define MAX_MISSED 0.01

typedef struct
{
  guint n_fast;
  guint n_middle;
  guint n_slow;
  double streams_per_s;
} CentrePlan;

/* A deployment of 190 runners like the users' large one. */
static const CentrePlan large[N_CENTRES] = {
  { 4, 11, 28, 70 }, { 2, 18, 16, 95 }, { 6, 8, 19, 97 }, { 4, 11, 28, 74 }, { 2, 18, 15, 99 },
};
static const char *const centre_names[N_CENTRES] = { "a", "b", "c", "d", "e" };

typedef struct
{
  GgLayerPath path;
  uint64_t end_ms;
} Open;

typedef struct
{
  GgRunnerLoad real;
  GgRunnerLoad local;  /* as reported inside its data centre */
  GgRunnerLoad remote; /* as reported to the others */
  guint centre;
  double backlog_ms; /* of reading */
  double capacity;
} Runner;

typedef struct
{
  GgEngineModel *model;
  GgFleet *fleet;
  GRand *rand;
  Runner *runners;
  Open open[MAX_OPEN];
  guint n_open;
  double shift[N_CENTRES]; /* factor on the streams that arrive in each data centre */
} Deployment;

typedef struct
{
  guint n_arrived;
  guint n_overloaded; /* sent to a runner whose memory was full */
  guint n_late;       /* read too late */
  guint n_full;       /* not sent, since no path seemed to have room */
  guint n_remote;
} Outcome;

static void
place_layers (Deployment *d)
{
  guint n = gg_fleet_get_size (d->fleet);
  GgPlacementRunner *plan = g_new0 (GgPlacementRunner, n);
  for (guint i = 0; i < n; i++)
    {
      const GgRunnerRecord *record = &gg_fleet_get (d->fleet, i)->record;
      plan[i] = (GgPlacementRunner){ .id = record->id,
                                     .data_centre = record->data_centre,
                                     .accelerator = gg_engine_model_find_accelerator (
                                         d->model, record->accelerator),
                                     .is_usable = TRUE };
    }
  gg_placement_plan (d->model, plan, n);
  for (guint i = 0; i < n; i++)
    {
      Runner *runner = &d->runners[i];
      gg_fleet_get (d->fleet, i)->record.range = plan[i].target;
      runner->centre = (guint) (plan[i].data_centre[0] - 'a');
      runner->capacity = gg_engine_model_get_capacity (
          d->model, plan[i].accelerator, plan[i].target.end_layer - plan[i].target.first_layer);
    }
  g_free (plan);
}

static Deployment *
create (guint32 seed)
{
  Deployment *d = g_new0 (Deployment, 1);
  d->model = fixture_create_model ();
  d->model->token_bytes = 754000;
  d->model->prefill_tokens_per_s = 128000;
  d->model->typical_answer_tokens = 214;
  d->fleet = gg_fleet_create ();
  d->rand = g_rand_new_with_seed (seed);
  for (guint i = 0; i < N_CENTRES; i++)
    d->shift[i] = 1;
  for (guint i = 0; i < N_CENTRES; i++)
    {
      fixture_add_runners (d->fleet, centre_names[i], "a100", large[i].n_fast);
      fixture_add_runners (d->fleet, centre_names[i], "l40s", large[i].n_middle);
      fixture_add_runners (d->fleet, centre_names[i], "l4", large[i].n_slow);
    }
  d->runners = g_new0 (Runner, gg_fleet_get_size (d->fleet));
  place_layers (d);
  return d;
}

static void
destroy (Deployment *d)
{
  for (guint i = 0; i < d->n_open; i++)
    gg_layer_path_clear (&d->open[i].path);
  gg_fleet_destroy (d->fleet);
  gg_engine_model_destroy (d->model);
  g_rand_free (d->rand);
  g_free (d->runners);
  g_free (d);
}

static Runner *
get_runner (const Deployment *d, const GgPathHop *hop)
{
  for (guint i = 0; i < gg_fleet_get_size (d->fleet); i++)
    if (gg_fleet_get (d->fleet, i) == hop->runner)
      return &d->runners[i];
  return NULL;
}

static const GgAccelerator *
get_accelerator (const Deployment *d, const GgPathHop *hop)
{
  return gg_engine_model_find_accelerator (d->model, hop->runner->record.accelerator);
}

static uint32_t
count_layers (const GgPathHop *hop)
{
  return hop->range.end_layer - hop->range.first_layer;
}

static GgRunnerLoad
get_load (const GgLayerPath *path, guint h)
{
  return (GgRunnerLoad){ .n_requests = 1,
                         .n_first_hop = h == 0,
                         .token_layers = (uint64_t) path->tokens * count_layers (&path->hops[h]) };
}

static void
end_requests (Deployment *d, uint64_t now_ms)
{
  for (guint i = 0; i < d->n_open;)
    {
      Open *open = &d->open[i];
      if (open->end_ms > now_ms)
        {
          i++;
          continue;
        }
      for (guint h = 0; h < open->path.n_hops; h++)
        {
          GgRunnerLoad load = get_load (&open->path, h);
          gg_runner_load_subtract (&get_runner (d, &open->path.hops[h])->real, &load);
        }
      gg_layer_path_clear (&open->path);
      *open = d->open[--d->n_open];
    }
}

static void
publish_reports (Deployment *d, gboolean to_remote)
{
  for (guint i = 0; i < gg_fleet_get_size (d->fleet); i++)
    {
      Runner *runner = &d->runners[i];
      runner->local = runner->real;
      if (to_remote)
        runner->remote = runner->real;
    }
}

static void
read_prompts (Deployment *d, double passed_ms)
{
  for (guint i = 0; i < gg_fleet_get_size (d->fleet); i++)
    d->runners[i].backlog_ms = MAX (d->runners[i].backlog_ms - passed_ms * READING_SHARE, 0);
}

/* Sends a request over a path.
 * @return the time of a token. */
static double
send_request (Deployment *d, const GgLayerPath *path, uint32_t prompt, Outcome *outcome)
{
  double token_ms = 0;
  double read_ms = 0;
  double wait_ms = 0;
  gboolean is_overloaded = FALSE;
  for (guint h = 0; h < path->n_hops; h++)
    {
      const GgPathHop *hop = &path->hops[h];
      Runner *runner = get_runner (d, hop);
      GgRunnerLoad load = get_load (path, h);
      gg_runner_load_add (&runner->real, &load);
      is_overloaded |= (double) runner->real.token_layers > runner->capacity;
      double hop_ms = prompt * MS_PER_S / d->model->prefill_tokens_per_s
                      * get_accelerator (d, hop)->prefill_factor * count_layers (hop)
                      / d->model->n_layers;
      runner->backlog_ms += hop_ms;
      read_ms += hop_ms;
      wait_ms = MAX (wait_ms, runner->backlog_ms / READING_SHARE);
      token_ms += gg_engine_model_get_step_ms (d->model, get_accelerator (d, hop),
                                               count_layers (hop), runner->real.n_requests);
    }
  outcome->n_overloaded += is_overloaded;
  outcome->n_late += wait_ms + read_ms > LATE_MS;
  return token_ms + wait_ms / d->model->typical_answer_tokens;
}

static void
arrive (Deployment *d, guint centre, uint64_t now_ms, Outcome *counted)
{
  Outcome ignored = { 0 };
  Outcome *outcome = now_ms >= WARM_UP_MS ? counted : &ignored;
  uint32_t answer = (uint32_t) g_rand_int_range (d->rand, 40, 390);
  uint32_t prompt = (uint32_t) g_rand_int_range (d->rand, 100, 1450);
  for (guint i = 0; i < gg_fleet_get_size (d->fleet); i++)
    gg_fleet_get (d->fleet, i)->peers
        = d->runners[i].centre == centre ? d->runners[i].local : d->runners[i].remote;
  GgPathQuery query = { .fleet = d->fleet,
                        .model = d->model,
                        .service = FIXTURE_SERVICE,
                        .data_centre = centre_names[centre],
                        .tokens = prompt + answer * 7 / 10,
                        .random = g_rand_int (d->rand),
                        .now_ms = 1 };
  Open *open = &d->open[d->n_open];
  outcome->n_arrived++;
  if (d->n_open == MAX_OPEN || gg_layer_path_choose (&query, &open->path) != GG_PATH_FOUND)
    {
      outcome->n_full++;
      return;
    }
  outcome->n_remote += get_runner (d, &open->path.hops[0])->centre != centre;
  double token_ms = send_request (d, &open->path, prompt, outcome);
  open->end_ms = now_ms + 30 + (uint64_t) (token_ms * answer);
  d->n_open++;
}

/* @param report_ms interval of the reports; each one shows the state of the time when it was made.
 * @param load relative to the users' deployment. */
static Outcome
simulate (Deployment *d, double load, uint64_t report_ms)
{
  Outcome outcome = { 0 };
  double next_ms[N_CENTRES] = { 0 };
  uint64_t n_rounds = 0;
  for (uint64_t now_ms = 0; now_ms < DURATION_MS; now_ms += STEP_MS)
    {
      end_requests (d, now_ms);
      read_prompts (d, STEP_MS);
      if (now_ms % report_ms == 0)
        publish_reports (d, n_rounds++ % REMOTE_ROUNDS == 0);
      for (guint i = 0; i < N_CENTRES; i++)
        for (; next_ms[i] <= (double) now_ms;
             next_ms[i] += -log (1 - g_rand_double (d->rand)) * MS_PER_S
                           / (large[i].streams_per_s * d->shift[i] * load))
          arrive (d, i, now_ms, &outcome);
    }
  return outcome;
}

/* The users' deployment at its usual rate, with reports as old as they are there and twice as old:
 * under one stream in a hundred may be late or meet a full runner, and few streams leave their data
 * centre, since each has room for its own. */
static void
test_herding (void)
{
  const uint64_t report_ms[] = { 150, 300 };
  for (guint i = 0; i < G_N_ELEMENTS (report_ms); i++)
    for (guint32 seed = 1; seed <= 3; seed++)
      {
        Deployment *d = create (seed);
        Outcome o = simulate (d, 1.1, report_ms[i]);
        CU_ASSERT_TRUE (o.n_late < MAX_MISSED * o.n_arrived);
        CU_ASSERT_TRUE (o.n_overloaded < MAX_MISSED * o.n_arrived);
        CU_ASSERT_TRUE (o.n_full < MAX_MISSED * o.n_arrived);
        destroy (d);
      }
}

/* Callers move: one data centre receives four times its usual streams, more than it can serve. The
 * others take what it can't, and nobody's prompt waits for a herd. */
static void
test_shift_to_one_centre (void)
{
  for (guint32 seed = 1; seed <= 3; seed++)
    {
      Deployment *d = create (seed);
      d->shift[0] = 4;
      Outcome o = simulate (d, 0.8, 150);
      CU_ASSERT_TRUE (o.n_remote > 0);
      CU_ASSERT_TRUE (o.n_full < MAX_MISSED * o.n_arrived);
      CU_ASSERT_TRUE (o.n_late < MAX_MISSED * o.n_arrived);
      destroy (d);
    }
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "herding under old reports", test_herding },
    { "shift to one data centre", test_shift_to_one_centre },
  };
  return gg_test_run ("path spread", cases, G_N_ELEMENTS (cases));
}
