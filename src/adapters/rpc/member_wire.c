#include "adapters/rpc/member_wire.h"

#include <string.h>

static char *
to_name (const char *text)
{
  return strndup (text != NULL ? text : "", GG_RPC_NAME_MAX);
}

static char *
from_name (const char *name)
{
  return *name != '\0' ? g_strdup (name) : NULL;
}

void
gg_member_to_wire (const GgMember *member, gg_rpc_member *out)
{
  *out = (gg_rpc_member){ .id = to_name (member->id),
                          .incarnation = member->incarnation,
                          .role = member->role,
                          .state = member->state,
                          .address = to_name (member->address),
                          .control_address = to_name (member->control_address),
                          .entry_rpc_address = to_name (member->entry_rpc_address),
                          .data_centre = to_name (member->data_centre),
                          .service = to_name (member->service),
                          .first_layer = member->first_layer,
                          .end_layer = member->end_layer,
                          .accelerator = to_name (member->accelerator) };
}

void
gg_member_from_wire (const gg_rpc_member *in, GgMember *out)
{
  *out = (GgMember){ .id = g_strdup (in->id),
                     .incarnation = in->incarnation,
                     .role = in->role == GG_MEMBER_RUNNER ? GG_MEMBER_RUNNER : GG_MEMBER_ENTRY,
                     .state = in->state == GG_MEMBER_LEAVING ? GG_MEMBER_LEAVING : GG_MEMBER_LIVE,
                     .address = from_name (in->address),
                     .control_address = from_name (in->control_address),
                     .entry_rpc_address = from_name (in->entry_rpc_address),
                     .data_centre = from_name (in->data_centre),
                     .service = from_name (in->service),
                     .first_layer = in->first_layer,
                     .end_layer = in->end_layer,
                     .accelerator = from_name (in->accelerator) };
}
