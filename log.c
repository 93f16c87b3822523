/* Log lines of key=value pairs, written through log4c. */
#include "log.h"

#include <glib.h>
#include <limits.h>
#include <log4c.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define CATEGORY "camphorquay"
/* Buffer size for the pairs of a line; together with the identity a line
   stays below PIPE_BUF. */
#define PAIRS_SIZE 2048
#define US_PER_S INT64_C (1000000)

/* Number of lines in the current second; guarded by lock. */
struct window
{
  int64_t second; /* monotonic time in seconds */
  int lines;      /* lines within the limit */
  int dropped;    /* lines over the limit */
};

/* VM and domain, for every line; set once before the threads start. */
static char identity[160];
static log4c_category_t *category;
static int max_lines_per_s; /* limit on lines per second, 0 for none */
static int64_t lost_lines;  /* lines that could not be written; atomic */
static GMutex lock;
static struct window window;

static const int priorities[] = {
  [LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
  [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
  [LOG_LEVEL_WARNING] = LOG4C_PRIORITY_WARN,
  [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
};

static const char *const level_names[] = {
  [LOG_LEVEL_DEBUG] = "debug",
  [LOG_LEVEL_INFO] = "info",
  [LOG_LEVEL_WARNING] = "warning",
  [LOG_LEVEL_ERROR] = "error",
};

/* The message is already a complete line. */
static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  (void)layout;
  return event->evt_msg;
}

/*
 * Requests must go on even if the reader of the log stops reading.  A pipe
 * that polls as writable takes PIPE_BUF bytes without blocking, and no line is
 * longer.  If the pipe is full, the line is lost and counted.
 */
static bool
can_write (void)
{
  struct pollfd p = { .fd = STDOUT_FILENO, .events = POLLOUT };

  return poll (&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0;
}

/* Replaces log4c's stream appender, which writes its name before each line and
   blocks when the pipe is full. */
static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  const char *line = event->evt_rendered_msg;
  size_t len = strlen (line);

  (void)appender;
  if (!can_write () || write (STDOUT_FILENO, line, len) != (ssize_t)len)
    __atomic_fetch_add (&lost_lines, 1, __ATOMIC_RELAXED);
  return 0;
}

static const log4c_appender_type_t line_appender
    = { "cq_stdout", NULL, append_line, NULL };

static const log4c_layout_type_t line_layout = { "cq_line", format_line };

int64_t
log_lost_lines (void)
{
  return __atomic_load_n (&lost_lines, __ATOMIC_RELAXED);
}

void
log_open (const char *vm, const char *domain, enum log_level least,
          int max_lines_s)
{
  log4c_appender_t *appender;
  log4c_layout_t *layout;

  max_lines_per_s = max_lines_s;
  g_snprintf (identity, sizeof identity, "vm=%s domain=%s", vm, domain);
  log4c_init ();
  log4c_layout_type_set (&line_layout);
  layout = log4c_layout_get ("cq_line");
  log4c_layout_set_type (layout, &line_layout);
  log4c_appender_type_set (&line_appender);
  appender = log4c_appender_get ("cq_stdout");
  log4c_appender_set_type (appender, &line_appender);
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get (CATEGORY);
  log4c_category_set_appender (category, appender);
  log4c_category_set_priority (category, priorities[least]);
}

void
log_close (void)
{
  category = NULL;
  log4c_fini ();
}

/* Count a line in SECOND; false if it is over the limit.  The first call in a
   new second sets *DROPPED to the number of lines over the limit in the
   previous window, later calls set it to 0. */
static bool
is_within_limit (int64_t second, int *dropped)
{
  bool within;

  g_mutex_lock (&lock);
  *dropped = 0;
  if (second != window.second)
    {
      *dropped = window.dropped;
      window = (struct window){ .second = second };
    }
  within = max_lines_per_s == 0 || window.lines < max_lines_per_s;
  if (within)
    window.lines++;
  else
    window.dropped++;
  g_mutex_unlock (&lock);
  return within;
}

static void
format_time (char *to, size_t size)
{
  struct timespec ts;
  struct tm tm;
  size_t n;

  clock_gettime (CLOCK_REALTIME, &ts);
  gmtime_r (&ts.tv_sec, &tm);
  n = strftime (to, size, "%Y-%m-%dT%H:%M:%S", &tm);
  g_snprintf (to + n, size - n, ".%06ldZ", ts.tv_nsec / 1000);
}

void
log_event_v (enum log_level level, const char *event, const char *fmt,
             va_list ap)
{
  char when[48];
  char pairs[PAIRS_SIZE];
  int dropped;
  bool within;

  if (category == NULL
      || !log4c_category_is_priority_enabled (category, priorities[level]))
    return;
  /* Limits the log volume under load: debug and info lines over the limit are
     dropped, warnings and errors never. */
  within = is_within_limit (g_get_monotonic_time () / US_PER_S, &dropped);
  format_time (when, sizeof when);
  if (dropped > 0)
    log4c_category_log (category, priorities[LOG_LEVEL_WARNING],
                        "time=%s level=warning %s event=log_dropped "
                        "lines=%d unread=%d\n",
                        when, identity, dropped, (int)log_lost_lines ());
  if (!within && level <= LOG_LEVEL_INFO)
    return;
  g_vsnprintf (pairs, sizeof pairs, fmt, ap);
  log4c_category_log (category, priorities[level],
                      "time=%s level=%s %s event=%s %s\n", when,
                      level_names[level], identity, event, pairs);
}

void
log_event (enum log_level level, const char *event, const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  log_event_v (level, event, fmt, ap);
  va_end (ap);
}
