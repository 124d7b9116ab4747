/** @file
 * Version of the programs; the build defines GG_VERSION. */
#pragma once

#ifndef GG_VERSION
#define GG_VERSION "unknown"
#endif
