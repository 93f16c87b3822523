/*
 * Stand-ins for what the system talks to: a model engine, a plain service,
 * the platform's table and object store.  One small program, one role each;
 * faults are switched on by POST /control with a JSON object of numbers and
 * strings.
 */
#ifndef CQ_FAKE_H
#define CQ_FAKE_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/* A request to a stand-in. */
struct fk_req
{
  struct MHD_Connection *conn; /* its connection */
  const char *method;          /* HTTP method */
  char *path;                  /* without query */
  GString *body;               /* whole */
  void *stream;                /* state of a stream, freed at the end */
  void (*stream_free) (void *stream, bool whole);
};

/* A role of the program. */
struct fk_role
{
  const char *name;                             /* on the command line */
  enum MHD_Result (*handle) (struct fk_req *r); /* answers a request */
};

extern const struct fk_role fk_engine;
extern const struct fk_role fk_plain;
extern const struct fk_role fk_table;
extern const struct fk_role fk_store;
extern const struct fk_role fk_rows;

/* For roles that bring their own server. */
void fk_init (void);
void fk_set_port (int port);
void fk_control (const char *text, size_t len);

int fk_serve (const struct fk_role *role, int port);
/* Serve ROLE at one more port, chosen by the kernel; 0 if that fails. */
int fk_serve_also (const struct fk_role *role);
/* The port at which R arrived. */
int fk_port (struct fk_req *r);
enum MHD_Result fk_reply (struct fk_req *r, int status, const char *type,
                          const char *body, size_t len);
enum MHD_Result fk_reply_json (struct fk_req *r, int status, json_t *doc);

/* The same, with the body at KB_S kilobytes a second. */
enum MHD_Result fk_reply_paced (struct fk_req *r, int status, json_t *doc,
                                int64_t kb_s);

/* Close the connection without a reply. */
enum MHD_Result fk_drop (struct fk_req *r);

/* A number that the control path sets, by name. */
int64_t fk_number (const char *key, int64_t fallback);
/* Take one from a number that counts down; whether there was one. */
bool fk_take (const char *key);
void fk_set_string (const char *key, const char *value);
char *fk_string (const char *key, const char *fallback);

void fk_log (const char *event, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
const char *fk_header (struct fk_req *r, const char *name);

#endif
