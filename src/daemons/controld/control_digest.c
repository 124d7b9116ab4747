#include "daemons/controld/control_digest.h"

#include "greengage/id.h"

#include <string.h>

static char *
copy_text (const char *text)
{
  return strdup (text != NULL ? text : "");
}

/* Returns the set of data centres that have live entry instances; the names are owned by the
 * member table. */
static GHashTable *
collect_data_centres (const GgControlState *state)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < gg_member_table_get_size (state->members); i++)
    {
      const GgMember *member = gg_member_table_get (state->members, i);
      if (member->role == GG_MEMBER_ENTRY && member->state == GG_MEMBER_LIVE
          && member->data_centre != NULL)
        g_hash_table_add (names, member->data_centre);
    }
  return names;
}

/* Returns whether a digest contains the load record of @runner. Peers of the same data centre get
 * all records; other peers get only those from data centres without live entry instances, since no
 * instance sums them. */
static gboolean
needs_record (GHashTable *data_centres, const GgMember *runner, gboolean same_data_centre)
{
  return same_data_centre || runner->data_centre == NULL
         || !g_hash_table_contains (data_centres, runner->data_centre);
}

static void
add_loads (GgControlState *state, gboolean same_data_centre, uint64_t now_ms, gg_rpc_digest *digest)
{
  GByteArray *records = g_byte_array_new ();
  GHashTable *data_centres = collect_data_centres (state);
  for (guint i = 0; i < gg_member_table_get_size (state->members); i++)
    {
      const GgMember *member = gg_member_table_get (state->members, i);
      GgLoadRecord load;
      uint8_t record[GG_LOAD_RECORD_SIZE_BYTES];
      if (member->role != GG_MEMBER_RUNNER || !needs_record (data_centres, member, same_data_centre)
          || !gg_load_table_get (state->loads, gg_id_hash_instance (member->id), now_ms, &load))
        continue;
      gg_load_record_encode (&load, record);
      g_byte_array_append (records, record, sizeof record);
    }
  g_hash_table_unref (data_centres);
  digest->loads.loads_len = records->len;
  digest->loads.loads_val = (char *) g_byte_array_free (records, FALSE);
}

static gg_rpc_model_sum *
find_sum (GArray *sums, const char *service)
{
  for (guint i = 0; i < sums->len; i++)
    if (strcmp (g_array_index (sums, gg_rpc_model_sum, i).service, service) == 0)
      return &g_array_index (sums, gg_rpc_model_sum, i);
  gg_rpc_model_sum sum = { .service = strdup (service) };
  g_array_append_val (sums, sum);
  return &g_array_index (sums, gg_rpc_model_sum, sums->len - 1);
}

static void
add_sums (GgControlState *state, uint64_t now_ms, gg_rpc_digest *digest)
{
  GArray *sums = g_array_new (FALSE, TRUE, sizeof (gg_rpc_model_sum));
  for (guint i = 0; i < gg_member_table_get_size (state->members); i++)
    {
      const GgMember *member = gg_member_table_get (state->members, i);
      GgLoadRecord load;
      if (member->role != GG_MEMBER_RUNNER
          || g_strcmp0 (member->data_centre, state->data_centre) != 0
          || !gg_load_table_get (state->loads, gg_id_hash_instance (member->id), now_ms, &load))
        continue;
      gg_rpc_model_sum *sum = find_sum (sums, member->service != NULL ? member->service : "");
      sum->runners++;
      sum->outstanding_tokens += load.outstanding_tokens;
      sum->tokens_per_s += load.tokens_per_s;
    }
  digest->sums.sums_len = sums->len;
  digest->sums.sums_val = (gg_rpc_model_sum *) (void *) g_array_free (sums, FALSE);
}

static void
add_leaving (GgControlState *state, gg_rpc_digest *digest)
{
  GArray *leaving = g_array_new (FALSE, TRUE, sizeof (gg_rpc_leaving));
  for (guint i = 0; i < gg_member_table_get_size (state->members); i++)
    {
      const GgMember *member = gg_member_table_get (state->members, i);
      if (member->state != GG_MEMBER_LEAVING)
        continue;
      gg_rpc_leaving mark = { strdup (member->id), member->incarnation };
      g_array_append_val (leaving, mark);
    }
  digest->leaving.leaving_len = leaving->len;
  digest->leaving.leaving_val = (gg_rpc_leaving *) (void *) g_array_free (leaving, FALSE);
}

static void
add_use (GgControlState *state, gg_rpc_digest *digest)
{
  const GArray *use = gg_load_table_get_use (state->loads, state->name);
  guint n = use != NULL ? use->len : 0;
  digest->use.use_len = n;
  digest->use.use_val = calloc (n + 1, sizeof (gg_rpc_team_share));
  for (guint i = 0; i < n; i++)
    {
      const GgTeamUse *own = &g_array_index (use, GgTeamUse, i);
      digest->use.use_val[i].team_hash = gg_id_hash_instance (own->team);
      digest->use.use_val[i].milli_requests_per_s = own->milli_requests_per_s;
    }
}

void
gg_control_digest_build (GgControlState *state,
                         const char *data_centre,
                         uint64_t now_ms,
                         gg_rpc_digest *digest_out)
{
  gboolean same = data_centre == NULL || strcmp (data_centre, state->data_centre) == 0;
  memset (digest_out, 0, sizeof *digest_out);
  digest_out->sender = copy_text (state->name);
  digest_out->data_centre = copy_text (state->data_centre);
  digest_out->generation = gg_control_state_get_generation (state);

  gg_control_state_lock (state);
  add_loads (state, same, now_ms, digest_out);
  if (!same)
    add_sums (state, now_ms, digest_out);
  add_leaving (state, digest_out);
  add_use (state, digest_out);
  gg_control_state_unlock (state);
}

static void
merge_loads (GgControlState *state, const gg_rpc_digest *digest, uint64_t now_ms)
{
  u_int n = digest->loads.loads_len / GG_LOAD_RECORD_SIZE_BYTES;
  for (u_int i = 0; i < n; i++)
    {
      GgLoadRecord load;
      gg_load_record_decode (&load, (const uint8_t *) digest->loads.loads_val
                                        + i * GG_LOAD_RECORD_SIZE_BYTES);
      gg_load_table_put (state->loads, &load, now_ms);
    }
}

static void
merge_sums (GgControlState *state, const gg_rpc_digest *digest, uint64_t now_ms)
{
  for (u_int i = 0; i < digest->sums.sums_len; i++)
    {
      const gg_rpc_model_sum *in = &digest->sums.sums_val[i];
      GgLoadSum sum = { .runners = in->runners,
                        .outstanding_tokens = in->outstanding_tokens,
                        .tokens_per_s = in->tokens_per_s,
                        .received_ms = now_ms };
      gg_load_table_put_sum (state->loads, digest->data_centre, in->service, &sum);
    }
}

void
gg_control_put_use (GgControlState *state,
                    const char *sender,
                    const gg_rpc_team_use *use,
                    u_int n_use,
                    uint64_t now_ms)
{
  GArray *copies = g_array_new (FALSE, FALSE, sizeof (GgTeamUse));
  g_array_set_clear_func (copies, (GDestroyNotify) gg_team_use_clear);
  for (u_int i = 0; i < n_use; i++)
    {
      GgTeamUse copy = { g_strdup (use[i].team), use[i].milli_requests_per_s };
      g_array_append_val (copies, copy);
    }
  gg_control_state_lock (state);
  gg_load_table_put_use (state->loads, sender, copies, now_ms);
  gg_control_state_unlock (state);
}

/* Finds a team of the configuration by the hash of its name. Call with the state locked. */
static const char *
find_team_name (const GgControlState *state, uint32_t hash)
{
  guint n = state->config != NULL ? gg_config_get_n_teams (state->config) : 0;
  for (guint i = 0; i < n; i++)
    {
      const GgTeam *team = gg_config_get_team (state->config, i);
      if (gg_id_hash_instance (team->name) == hash)
        return team->name;
    }
  return NULL;
}

/* Skips teams that are not in this process's configuration yet. */
static void
merge_use (GgControlState *state, const gg_rpc_digest *digest, uint64_t now_ms)
{
  GArray *use = g_array_new (FALSE, FALSE, sizeof (GgTeamUse));
  g_array_set_clear_func (use, (GDestroyNotify) gg_team_use_clear);
  for (u_int i = 0; i < digest->use.use_len; i++)
    {
      const gg_rpc_team_share *share = &digest->use.use_val[i];
      const char *name = find_team_name (state, share->team_hash);
      GgTeamUse copy = { g_strdup (name), share->milli_requests_per_s };
      if (name != NULL)
        g_array_append_val (use, copy);
    }
  gg_load_table_put_use (state->loads, digest->sender, use, now_ms);
}

static void
note_sender (GgControlState *state,
             const gg_rpc_digest *digest,
             const char *address,
             uint64_t now_ms)
{
  char *address_copy = NULL;
  gg_control_state_lock (state);
  gg_member_table_confirm (state->members, digest->sender, now_ms);
  const GgMember *member = gg_member_table_find (state->members, digest->sender);
  if (address == NULL && member != NULL)
    address = address_copy = g_strdup (member->control_address);
  gg_control_state_unlock (state);
  if (address != NULL)
    gg_control_state_note_generation (state, address, digest->generation);
  g_free (address_copy);
}

void
gg_control_digest_merge (GgControlState *state,
                         const gg_rpc_digest *digest,
                         const char *address,
                         uint64_t now_ms)
{
  gg_control_state_lock (state);
  merge_loads (state, digest, now_ms);
  merge_sums (state, digest, now_ms);
  merge_use (state, digest, now_ms);
  gg_control_state_unlock (state);

  for (u_int i = 0; i < digest->leaving.leaving_len; i++)
    {
      const gg_rpc_leaving *mark = &digest->leaving.leaving_val[i];
      if (mark->incarnation != 0)
        gg_control_state_mark_leaving (state, mark->id, mark->incarnation, GG_MEMBER_SOURCE_PEER,
                                       now_ms);
    }
  note_sender (state, digest, address, now_ms);
}

gboolean
gg_control_get_load (GgControlState *state,
                     const GgMember *runner,
                     uint64_t now_ms,
                     GgLoadRecord *load_out)
{
  uint32_t hash = gg_id_hash_instance (runner->id);
  if (gg_load_table_get (state->loads, hash, now_ms, load_out))
    return TRUE;
  const GgLoadSum *sum
      = gg_load_table_get_sum (state->loads, runner->data_centre, runner->service, now_ms);
  if (sum == NULL)
    return FALSE;
  *load_out = (GgLoadRecord){ .runner_hash = hash,
                              .outstanding_tokens = sum->outstanding_tokens / sum->runners,
                              .tokens_per_s = sum->tokens_per_s / sum->runners,
                              .age_ms = (uint32_t) (now_ms - MIN (now_ms, sum->received_ms)) };
  return TRUE;
}
