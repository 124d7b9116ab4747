/** @file
 * Conversion of members from and to the types of control.x. */
#pragma once

#include "control.h"
#include "core/member.h"

/** Fills @p out, which can be freed by xdr_free(). Names are truncated to GG_RPC_NAME_MAX bytes. */
void gg_member_to_wire (const GgMember *member, gg_rpc_member *out);

/** Fills @p out, which is freed by gg_member_clear(); empty names other than the id become NULL. */
void gg_member_from_wire (const gg_rpc_member *in, GgMember *out);
