/*
 * Log: one line of key=value pairs for each event, through log4c.
 *
 * No key, prompt or answer text is ever passed to it.
 */
#ifndef CQ_LOG_H
#define CQ_LOG_H

#include <stdarg.h>
#include <stdint.h>

enum log_level
{
  LOG_LEVEL_DEBUG,
  LOG_LEVEL_INFO,
  LOG_LEVEL_WARNING,
  LOG_LEVEL_ERROR
};

/* Open the log on standard output.  Every line carries VM and DOMAIN.  Lines
   below LEAST are not written.  Once MAX_LINES_S lines were written in a
   second, further debug and info lines of that second are dropped (0: no
   limit). */
void log_open (const char *vm, const char *domain, enum log_level least,
               int max_lines_s);
/* Number of lines lost because standard output could not take them. */
int64_t log_lost_lines (void);
void log_close (void);

/* Write a line with "event=EVENT" and the key=value pairs formatted by FMT.
   Safe to call from any thread. */
void log_event (enum log_level level, const char *event, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
void log_event_v (enum log_level level, const char *event, const char *fmt,
                  va_list ap) __attribute__ ((format (printf, 3, 0)));

#endif
