/*
 * Parses and writes what callers and engines send: completion requests in the
 * published OpenAI format, and streams of server-sent events.  Does no I/O.
 * All input is untrusted, and the caller bounds every size.
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
  WIRE_ERROR_JSON,  /* not a JSON object in UTF-8 */
  WIRE_ERROR_FIELD, /* a field is missing or has the wrong type */
  WIRE_ERROR_STREAM /* not a stream of events */
};

#define WIRE_BYTES_PER_TOKEN 4      /* estimate until an engine counts */
#define WIRE_VERSION_SIZE 40        /* buffer of a weight version's name */
#define WIRE_EVENT_MAX_BYTES 262144 /* of one event */

/* A completion request. */
struct prompt
{
  json_t *doc;           /* the whole request */
  const char *service;   /* its "model", owned by doc */
  GString *text;         /* text of the prompt; engines cache its prefixes */
  bool chat;             /* chat completion */
  bool stream;           /* the caller asked for a stream of events */
  int64_t max_tokens;    /* 0 if the caller sets none */
  int64_t prompt_tokens; /* estimate from the length of text */
};

/* Fields that the system adds to a request for an engine. */
struct prompt_extra
{
  bool urgent;             /* runs before other requests */
  const char *cache_salt;  /* separates the workspaces' cached prefixes */
  const char *resume_text; /* text generated so far, NULL to start */
  int64_t resume_offset;   /* tokens generated so far */
  int64_t max_tokens;      /* tokens to generate in total */
  json_t *kv_import;       /* KV cache to import, or NULL; ownership passes */
};

/* Parses a request body.  PROMPT is set only on success. */
bool prompt_parse (const char *body, size_t len, bool chat,
                   struct prompt *prompt, GError **err);
void prompt_clear (struct prompt *prompt);

/* The request to send to an engine; free with g_free. */
char *prompt_to_json (const struct prompt *prompt,
                      const struct prompt_extra *extra);

/* Reads weight version and cached prompt tokens (-1 if absent) from a complete
   reply.  False if it has no version. */
bool completion_version (const char *body, size_t len, char *version,
                         size_t size, int64_t *cached);

/* Cached prompt tokens in a reply or event, -1 if absent. */
int64_t completion_cached_tokens (const json_t *doc);

/* --- streams --------------------------------------------------------- */

enum strm_code
{
  STRM_MORE,          /* the stream goes on */
  STRM_DONE,          /* its end was received */
  STRM_WRONG_VERSION, /* the engine serves another weight version */
  STRM_INVALID,       /* not a stream of events, or an error event */
  STRM_STALE          /* bytes of an abandoned attempt, or after the end */
};

/* A stream relayed from an engine to a caller, across all attempts. */
struct strm
{
  GString *partial;        /* an event that is not complete yet */
  GString *text;           /* text generated so far, for resuming */
  size_t text_max;         /* bytes of text that are stored at most */
  char *version;           /* weight version the stream must come from */
  int64_t tokens;          /* events with text so far */
  int attempt;             /* attempt whose bytes are relayed */
  bool is_version_checked; /* of this attempt */
  bool resumable;          /* text holds all text so far */
  bool ended;              /* the end was received */
  int64_t cached_tokens;   /* cached prompt tokens, -1 if absent */
};

void strm_init (struct strm *s, const char *version, size_t text_max);
void strm_clear (struct strm *s);

/* Relays only bytes of ATTEMPT from now on; drops an incomplete event. */
void strm_start_attempt (struct strm *s, int attempt);

/* Parses bytes of ATTEMPT and appends complete events to OUT. */
enum strm_code strm_feed (struct strm *s, int attempt, const char *data,
                          size_t len, GString *out);

#endif
