/** @file
 * Members in the form of control.x. */
#pragma once

#include "control.h"
#include "core/member.h"

/** Fills @p out, which xdr_free() may free. Names are cut at GG_RPC_NAME_MAX bytes. */
void gg_member_to_wire (const GgMember *member, gg_rpc_member *out);

/** Fills @p out, to be freed by gg_member_clear(); empty names become NULL. */
void gg_member_from_wire (const gg_rpc_member *in, GgMember *out);
