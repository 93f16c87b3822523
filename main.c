/* Main program: chooses the command and implements the short ones. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd.h"
#include "server.h"

const char *argp_program_version = "camphorquay " CQ_VERSION;

/* A command of the program. */
struct command
{
  const char *name;                   /* name on the command line */
  int (*run) (int argc, char **argv); /* argv[0]: "camphorquay NAME" */
  const char *summary;                /* one line for --help */
};

static const struct command commands[] = {
  { "serve", cmd_serve, "run one VM of the system" },
  { "check", cmd_check, "check settings and print every fault" },
  { "show", cmd_show, "print the merged settings and where each came from" },
  { "key", cmd_key, "make a key for a workspace or an operator" },
  { "ctl", cmd_ctl, "ask or change a running VM" },
};

#define NCOMMANDS (sizeof commands / sizeof commands[0])

/* Options that several commands share. */
static const struct argp_option file_options[] = {
  { "base", 'b', "FILE", 0, "Base settings, shared by all sites", 0 },
  { "overlay", 'o', "FILE", 0, "Settings of this site, over the base", 0 },
  { 0 },
};

static error_t
parse_file_option (int key, char *arg, struct argp_state *state)
{
  struct cmd_files *files = state->input;

  switch (key)
    {
    case 'b':
      files->base = arg;
      return 0;
    case 'o':
      files->overlay = arg;
      return 0;
    case ARGP_KEY_ARG:
      argp_error (state, "unexpected argument: %s", arg);
      return EINVAL;
    case ARGP_KEY_END:
      if (files->base == NULL)
        argp_error (state, "--base is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

void
cmd_parse_files (int argc, char **argv, const char *doc,
                 struct cmd_files *files)
{
  struct argp argp = { file_options, parse_file_option, NULL, doc, 0, 0, 0 };

  argp_parse (&argp, argc, argv, 0, NULL, files);
}

struct cfg *
cmd_load (const struct cmd_files *files)
{
  GError *err = NULL;
  struct cfg *cfg = cfg_load (files->base, files->overlay, &err);

  if (cfg == NULL)
    {
      fputs (err->message, stderr);
      g_error_free (err);
    }
  return cfg;
}

int
cmd_serve (int argc, char **argv)
{
  struct cmd_files files = { 0 };
  struct cfg *cfg;

  cmd_parse_files (argc, argv, "Run one VM of the system.", &files);
  cfg = cmd_load (&files);
  if (cfg == NULL)
    return EXIT_CODE_SETTINGS;
  return server_run (cfg, files.base, files.overlay);
}

int
cmd_check (int argc, char **argv)
{
  struct cmd_files files = { 0 };
  struct cfg *cfg;

  cmd_parse_files (argc, argv, "Check settings and print every fault.",
                   &files);
  cfg = cmd_load (&files);
  if (cfg == NULL)
    return EXIT_CODE_SETTINGS;
  puts ("settings are correct");
  cfg_free (cfg);
  return EXIT_CODE_OK;
}

int
cmd_show (int argc, char **argv)
{
  struct cmd_files files = { 0 };
  struct cfg *cfg;

  cmd_parse_files (argc, argv,
                   "Print the merged settings and where each came from.",
                   &files);
  cfg = cmd_load (&files);
  if (cfg == NULL)
    return EXIT_CODE_SETTINGS;
  cfg_show (cfg, stdout);
  cfg_free (cfg);
  return EXIT_CODE_OK;
}

static error_t
parse_key_argument (int key, char *arg, struct argp_state *state)
{
  const char **name = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      if (*name != NULL)
        argp_error (state, "unexpected argument: %s", arg);
      *name = arg;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_error (state, "NAME is required");
      return EINVAL;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
cmd_key (int argc, char **argv)
{
  struct argp argp = { NULL,
                       parse_key_argument,
                       "NAME",
                       "Make a key for the workspace or operator NAME.\v"
                       "The first line is the key for its owner, the second "
                       "the salted hash for the settings.",
                       0,
                       0,
                       0 };
  const char *name = NULL;
  char *key, *hash;

  argp_parse (&argp, argc, argv, 0, NULL, &name);
  auth_make_key (name, &key, &hash);
  printf ("%s\n%s\n", key, hash);
  g_free (key);
  g_free (hash);
  return EXIT_CODE_OK;
}

/* --- command dispatch ------------------------------------------------ */

static const struct command *
find_command (const char *name)
{
  size_t i;

  for (i = 0; i < NCOMMANDS; i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}

static error_t
parse_command (int key, char *arg, struct argp_state *state)
{
  const struct command *c;
  char *name;
  int code;

  switch (key)
    {
    case ARGP_KEY_ARG:
      c = find_command (arg);
      if (c == NULL)
        {
          argp_error (state, "unknown command: %s", arg);
          return EINVAL;
        }
      name = g_strdup_printf ("%s %s", state->name, arg);
      state->argv[state->next - 1] = name;
      code = c->run (state->argc - state->next + 1,
                     state->argv + state->next - 1);
      g_free (name);
      exit (code);
    case ARGP_KEY_NO_ARGS:
      argp_error (state, "a command is required");
      return EINVAL;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static char *
format_help (void)
{
  GString *text = g_string_new ("Serving for prompts that return after long "
                                "gaps.\vCommands:\n");
  size_t i;

  for (i = 0; i < NCOMMANDS; i++)
    g_string_append_printf (text, "  %-8s %s\n", commands[i].name,
                            commands[i].summary);
  g_string_append (text, "\nExit codes: 0 done, 1 failed, 2 wrong command "
                         "line, 3 wrong settings.");
  return g_string_free (text, FALSE);
}

int
main (int argc, char **argv)
{
  char *doc = format_help ();
  struct argp argp
      = { NULL, parse_command, "COMMAND [OPTION...]", doc, 0, 0, 0 };

  argp_err_exit_status = EXIT_CODE_USAGE;
  argp_parse (&argp, argc, argv, ARGP_IN_ORDER, NULL, NULL);
  return EXIT_CODE_USAGE;
}
