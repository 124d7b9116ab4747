/** @file
 * Version of the programs. */
#pragma once

#ifndef GG_VERSION
#define GG_VERSION "unknown"
#endif
