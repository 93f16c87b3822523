/*
 * What callers and engines send, read and written: prompts in the published
 * OpenAI format, and streams of server-sent events.  Pure; all input is
 * untrusted and every size is bounded by the caller.
 */
#ifndef CQ_WIRE_H
#define CQ_WIRE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define WIRE_ERROR wire_error_quark ()
GQuark wire_error_quark (void);

enum wire_error
{
  WIRE_ERROR_JSON,  /* not JSON, or not UTF-8 */
  WIRE_ERROR_FIELD, /* a field is missing or of the wrong kind */
  WIRE_ERROR_STREAM /* not a stream of events */
};

#define WIRE_BYTES_PER_TOKEN 4      /* estimate used before an engine counts */
#define WIRE_VERSION_SIZE 40        /* bytes of a weight version's name */
#define WIRE_EVENT_MAX_BYTES 262144 /* bytes of one event */

/* A completion request. */
struct prompt
{
  json_t *doc;           /* the whole request */
  const char *service;   /* its "model", owned by doc */
  GString *text;         /* the text whose prefixes engines cache */
  bool chat;             /* chat completion */
  bool stream;           /* the caller wants events */
  int64_t max_tokens;    /* 0 if the caller names none */
  int64_t prompt_tokens; /* estimated */
};

/* What the system adds to a request for an engine. */
struct prompt_extra
{
  bool urgent;             /* goes before other work */
  const char *cache_salt;  /* keeps cached prefixes of workspaces apart */
  const char *resume_text; /* text generated so far, NULL to start */
  int64_t resume_offset;   /* tokens generated so far */
  int64_t max_tokens;      /* tokens to generate in all */
  json_t *kv_import;       /* what to import first, or NULL; taken over */
};

/* Read a request body; PROMPT is set only on success. */
bool prompt_parse (const char *body, size_t len, bool chat,
                   struct prompt *prompt, GError **err);
void prompt_clear (struct prompt *prompt);

/* The request as sent to an engine; free with g_free. */
char *prompt_to_json (const struct prompt *prompt,
                      const struct prompt_extra *extra);

/* Weight version and cached prompt tokens (-1 if not said) that a whole answer
   names; false if it names no version. */
bool completion_version (const char *body, size_t len, char *version,
                         size_t size, int64_t *cached);

/* Prompt tokens that an answer or event says were cached, -1 if none. */
int64_t completion_cached_tokens (const json_t *doc);

/* --- streams --------------------------------------------------------- */

enum strm_code
{
  STRM_MORE,          /* the stream goes on */
  STRM_DONE,          /* its end was seen */
  STRM_WRONG_VERSION, /* the engine serves another weight version */
  STRM_INVALID,       /* not a stream of events, or an error event */
  STRM_STALE          /* bytes of an attempt that was given up */
};

/* A stream on its way from an engine to a caller, over all attempts. */
struct strm
{
  GString *partial;        /* an event that is not whole yet */
  GString *text;           /* text generated so far, for resuming */
  size_t text_max;         /* bytes of text kept */
  char *version;           /* weight version the stream must come from */
  int64_t tokens;          /* events with text so far */
  int attempt;             /* attempt whose bytes count */
  bool is_version_checked; /* this attempt's version was checked */
  bool resumable;          /* all text so far is kept */
  bool ended;              /* the end was seen */
  int64_t cached_tokens;   /* prompt tokens the engine had, -1 if not said */
};

void strm_init (struct strm *s, const char *version, size_t text_max);
void strm_clear (struct strm *s);

/* From now on only bytes of ATTEMPT count; half an event is forgotten. */
void strm_start_attempt (struct strm *s, int attempt);

/* Take bytes of ATTEMPT; whole events are appended to OUT. */
enum strm_code strm_feed (struct strm *s, int attempt, const char *data,
                          size_t len, GString *out);

#endif
