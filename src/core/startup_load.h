/** @file
 * Load of runners that an instance does not know yet, since it has just started. When many
 * instances start together, as after a loss of power, none knows what the others send until their
 * first reports arrive: all of them would send what returns to them to the same fast runners. */
#pragma once

#include <stdint.h>

/** Returns how many peers are assumed to send to each runner what this instance sends there, beside
 * what they have reported.
 * @param since_first_send_ms time since the first request was sent to a runner.
 * @param n_instances active instances, this one included; 0 if their number is not known yet. */
double gg_startup_load_get_unseen_peers (uint64_t since_first_send_ms, uint32_t n_instances);
