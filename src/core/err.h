/**
 * @file err.h
 * The error struct that is passed down: a code a program can test and a text for a person.
 */
#ifndef DS_ERR_H
#define DS_ERR_H

#include <glib.h>
#include <stdbool.h>

typedef enum err_code_t {
	ERR_NONE,
	ERR_SYNTAX,   /**< not JSON or not INI at all */
	ERR_VALUE,    /**< a wrong key, type, range or name */
	ERR_CONFLICT, /**< what the change rests on has moved */
	ERR_IO,
} err_code_t;

typedef struct err_t {
	err_code_t code;
	char text[256];
} err_t;

/** Set @p err and return false, so that a check can end with `return err_set(...)`. */
bool err_set(err_t *err, err_code_t code, const char *format, ...) G_GNUC_PRINTF(3, 4);

#endif
