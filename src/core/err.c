/**
 * @file err.c
 * See err.h.
 */
#include "core/err.h"

#include <stdarg.h>

bool err_set(err_t *err, err_code_t code, const char *format, ...)
{
	va_list args;

	err->code = code;
	va_start(args, format);
	g_vsnprintf(err->text, sizeof(err->text), format, args);
	va_end(args);
	return false;
}
