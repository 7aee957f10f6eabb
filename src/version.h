/**
 * @file version.h
 * The version of the programs.
 */
#ifndef DS_VERSION_H
#define DS_VERSION_H

#define DS_VERSION "0.1.0"

#endif
