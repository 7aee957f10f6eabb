/**
 * @file fingerprint.h
 * What two attempts at the same request have in common: method, target, caller and body.
 *
 * Each attempt of a caller bears an id of its own, so an id says nothing of the request's earlier
 * attempts, at this VM or at another one. All VMs work out the same fingerprint.
 */
#ifndef DS_FINGERPRINT_H
#define DS_FINGERPRINT_H

#include <glib.h>
#include <stdint.h>

/* Hexadecimal digits, and the NUL. */
#define FINGERPRINT_TEXT_BYTES 17

/** 0: not known. */
typedef uint64_t fingerprint_t;

/** Of a request by its @p head (request line and headers, each line ended by CRLF) and @p body. */
fingerprint_t fingerprint_of(const GString *head, const GString *body);
void fingerprint_write(fingerprint_t fingerprint, char text[FINGERPRINT_TEXT_BYTES]);
/** 0 when @p text is not what fingerprint_write() writes. */
fingerprint_t fingerprint_read(const char *text);

#endif
