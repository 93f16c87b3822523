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

/* Open the log on standard output; VM and DOMAIN stand in every line, and of
   debug and info lines at most MAX_LINES_S are written a second (0: all). */
void log_open (const char *vm, const char *domain, enum log_level least,
               int max_lines_s);
/* Lines that nobody read in time. */
int64_t log_lost_lines (void);
void log_close (void);

/* Write "event=EVENT" and the pairs formatted by FMT. */
void log_event (enum log_level level, const char *event, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
void log_event_v (enum log_level level, const char *event, const char *fmt,
                  va_list ap) __attribute__ ((format (printf, 3, 0)));

#endif
