/* Command for operators: queries or changes a running VM through /admin. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd.h"
#include "ctl.h"
#include "server.h"

/* A subcommand of ctl. */
struct subcommand
{
  const char *name;                         /* name on the command line */
  int nargs;                                /* number of arguments */
  const char *method;                       /* HTTP method */
  const char *path;                         /* %s stands for the argument */
  void (*print) (const json_t *reply);      /* prints the reply */
  int (*run) (const struct ctl_options *o); /* used instead, or NULL */
  const char *summary;                      /* one line for --help */
};

/* --- printing -------------------------------------------------------- */

static void
print_value (const json_t *value)
{
  if (json_is_string (value))
    printf ("%s", json_string_value (value));
  else if (json_is_integer (value))
    printf ("%" JSON_INTEGER_FORMAT, json_integer_value (value));
  else
    printf ("%s", json_is_true (value) ? "yes" : "no");
}

static void
print_pairs (const json_t *reply)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)reply, key, value)
  {
    printf ("%s: ", key);
    print_value (value);
    putchar ('\n');
  }
}

/* One line for each item, key=value as in the log. */
static void
print_list (const json_t *reply)
{
  const json_t *item;
  json_t *value;
  const char *key;
  size_t i;

  json_array_foreach (reply, i, item)
  {
    json_object_foreach ((json_t *)item, key, value)
    {
      printf ("%s%s=", strcmp (key, "name") == 0 ? "" : " ", key);
      print_value (value);
    }
    putchar ('\n');
  }
}

/* Description of an event in the history of a request. */
struct event_text
{
  const char *event; /* first word of the history line */
  const char *text;  /* description to print */
};

static const struct event_text event_texts[] = {
  { "accept", "the request was accepted" },
  { "route", "an endpoint was chosen by expected time to first token" },
  { "import", "stored KV cache was imported from a store" },
  { "claim",
    "the claim of the request was read from or written to the table" },
  { "send", "the request was sent" },
  { "attempt_end", "the attempt ended" },
  { "retry", "the request was started again at another endpoint" },
  { "resume", "the broken stream was resumed at another endpoint" },
  { "finish", "the request ended" },
};

static const char *
describe_event (const char *event)
{
  size_t i;

  for (i = 0; i < sizeof event_texts / sizeof event_texts[0]; i++)
    if (strcmp (event_texts[i].event, event) == 0)
      return event_texts[i].text;
  return event;
}

static void
print_event (const char *line)
{
  char event[32] = "";
  long long us = 0;
  int used = 0;

  sscanf (line, "%lld %31s %n", &us, event, &used);
  printf ("  after %lld.%03lld ms %s:\n    %s\n", us / 1000, us % 1000,
          describe_event (event), line + used);
}

static void
print_request (const json_t *reply)
{
  const json_t *event;
  size_t i;

  printf ("request %s of workspace %s to service %s ended as %s (%s)\n",
          json_string_value (json_object_get (reply, "id")),
          json_string_value (json_object_get (reply, "workspace")),
          json_string_value (json_object_get (reply, "service")),
          json_string_value (json_object_get (reply, "outcome")),
          json_string_value (json_object_get (reply, "reason")));
  json_array_foreach (json_object_get (reply, "events"), i, event)
  {
    print_event (json_string_value (event));
  }
}

static const struct subcommand subcommands[] = {
  { "status", 0, "GET", "/admin/v1/status", print_pairs, NULL,
    "state of the VM" },
  { "workspaces", 0, "GET", "/admin/v1/workspaces", print_list, NULL,
    "workspaces, their services and rights" },
  { "services", 0, "GET", "/admin/v1/services", print_list, NULL,
    "services, weight versions and queues" },
  { "endpoints", 0, "GET", "/admin/v1/endpoints", print_list, NULL,
    "endpoints as this VM sees them" },
  { "stores", 0, "GET", "/admin/v1/stores", print_list, NULL,
    "stores of KV cache and their links" },
  { "drain", 1, "POST", "/admin/v1/endpoints/%s/drain", print_pairs, NULL,
    "send no new requests to an endpoint" },
  { "undrain", 1, "POST", "/admin/v1/endpoints/%s/undrain", print_pairs, NULL,
    "send requests to the endpoint again" },
  { "apply", 1, NULL, NULL, NULL, ctl_apply,
    "publish the changes in a file and print where they are in force" },
  { "diff", 1, NULL, NULL, NULL, ctl_diff,
    "print the differences that a file of changes would make" },
  { "history", 0, NULL, NULL, NULL, ctl_history, "accepted changes" },
  { "members", 0, NULL, NULL, NULL, ctl_members,
    "VMs as this one knows them" },
  { "settings", 0, NULL, NULL, NULL, ctl_settings,
    "settings in force, and where each came from" },
  { "explain", 1, "GET", "/admin/v1/requests/%s", print_request, NULL,
    "print the history of a request" },
};

#define NSUBCOMMANDS (sizeof subcommands / sizeof subcommands[0])

/* --- commands -------------------------------------------------------- */

static int
call_and_print (const struct ctl_options *o, const struct subcommand *v)
{
  g_autofree char *target
      = o->nargs > 1 ? g_uri_escape_string (o->args[1], NULL, FALSE) : NULL;
  g_auto (GStrv) parts = g_strsplit (v->path, "%s", 2);
  g_autofree char *path = g_strjoinv (target ? target : "", parts);
  g_autoptr (GString) text = g_string_new (NULL);
  long status = ctl_call (o, v->method, path, NULL, text);
  json_t *reply = json_loadb (text->str, text->len, 0, NULL);
  int code = EXIT_CODE_OK;

  if (status != 200)
    code = ctl_report_error (o, status, reply);
  else if (o->json)
    printf ("%s\n", text->str);
  else
    v->print (reply);
  json_decref (reply);
  return code;
}

static int
run_subcommand (const struct ctl_options *o, const struct subcommand *v)
{
  g_autofree char *key = ctl_read_key (o);

  if (key == NULL)
    {
      fprintf (stderr, "camphorquay ctl: no key: set " CTL_KEY_VARIABLE
                       " or use --key-file\n");
      return EXIT_CODE_USAGE;
    }
  return v->run != NULL ? v->run (o) : call_and_print (o, v);
}

/* --- command line ---------------------------------------------------- */

static const struct argp_option ctl_options[] = {
  { "address", 'a', "IP:PORT", 0, "VM to call", 0 },
  { "key-file", 'k', "FILE", 0,
    "File with the operator's key; else " CTL_KEY_VARIABLE, 0 },
  { "json", 'j', 0, 0, "Print the reply as JSON", 0 },
  { "wait", 'w', "SECONDS", 0,
    "How long apply waits until a change is in force (6)", 0 },
  { "whole-file", 'W', 0, 0,
    "Let apply conflict with any change since, not only with those of the "
    "same groups",
    0 },
  { 0 },
};

static const struct subcommand *
find_subcommand (const struct ctl_options *o)
{
  size_t i;

  for (i = 0; i < NSUBCOMMANDS && o->nargs > 0; i++)
    if (strcmp (subcommands[i].name, o->args[0]) == 0)
      return &subcommands[i];
  return NULL;
}

static void
check_args (struct argp_state *state, const struct ctl_options *o)
{
  const struct subcommand *v = find_subcommand (o);

  if (o->nargs == 0)
    argp_error (state, "a command is required");
  else if (v == NULL)
    argp_error (state, "unknown command: %s", o->args[0]);
  else if (o->nargs - 1 != v->nargs)
    argp_error (state, "%s takes %d argument%s", v->name, v->nargs,
                v->nargs == 1 ? "" : "s");
  if (o->address == NULL)
    argp_error (state, "--address is required");
}

static error_t
parse_ctl (int key, char *arg, struct argp_state *state)
{
  struct ctl_options *o = state->input;

  switch (key)
    {
    case 'a':
      o->address = arg;
      return 0;
    case 'k':
      o->key_file = arg;
      return 0;
    case 'j':
      o->json = true;
      return 0;
    case 'w':
      o->wait_s = atoi (arg);
      return 0;
    case 'W':
      o->whole_file = true;
      return 0;
    case ARGP_KEY_ARG:
      if (o->nargs == 3)
        argp_error (state, "unexpected argument: %s", arg);
      o->args[o->nargs++] = arg;
      return 0;
    case ARGP_KEY_END:
      check_args (state, o);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static char *
format_help (void)
{
  GString *text = g_string_new ("Ask or change a running VM.\vCommands:\n");
  size_t i;

  for (i = 0; i < NSUBCOMMANDS; i++)
    g_string_append_printf (text, "  %s%s%*s %s\n", subcommands[i].name,
                            subcommands[i].nargs ? " NAME" : "",
                            16 - (int)strlen (subcommands[i].name)
                                - (subcommands[i].nargs ? 5 : 0),
                            "", subcommands[i].summary);
  return g_string_free (text, FALSE);
}

int
cmd_ctl (int argc, char **argv)
{
  g_autofree char *doc = format_help ();
  struct argp argp
      = { ctl_options, parse_ctl, "COMMAND [NAME]", doc, 0, 0, 0 };
  struct ctl_options o = { .wait_s = 6 };

  argp_parse (&argp, argc, argv, 0, NULL, &o);
  return run_subcommand (&o, find_subcommand (&o));
}
