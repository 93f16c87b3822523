/* Internal header of changes of settings: conf.c keeps the sequence,
   confpost.c takes new changes into it. */
#ifndef CQ_LIBCONF_H
#define CQ_LIBCONF_H

#include "fresh.h"
#include "libserver.h"

#define CONF_HEAD_KEY "config/head"

struct commit;

/* A change in the sequence. */
struct change
{
  uint64_t revision; /* its number */
  char *text;        /* its row */
  json_t *row;       /* the same, read */
};

struct conf
{
  struct server *server;     /* whose */
  GMutex lock;               /* guards changes, revision and fresh */
  GPtrArray *changes;        /* from revision 1 on */
  uint64_t revision;         /* in force here */
  uint64_t wanted;           /* heard of */
  struct loop_timer timer;   /* next look at the head */
  bool reading;              /* the head, or a change, is being read */
  uint64_t reading_revision; /* number of the change that is being read */
  int64_t asked_us;          /* when other VMs were last asked for changes */
  bool table_read;           /* the head was read at least once */
  int64_t head_asked_us;     /* when the head was asked for */
  struct fresh fresh;        /* until when this is the newest */
  int64_t started_us;        /* when this VM started */
  struct commit *commits;    /* none, or the one under way; others wait */
  GQueue waiting;            /* commits that wait */
};

/* Row of the change of this number. */
char *conf_change_key (uint64_t revision);

/* The files with all changes, and one more if EXTRA is given. */
struct cfg *conf_build (struct conf *c, const json_t *extra, GError **err);

#endif
