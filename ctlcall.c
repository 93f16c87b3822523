/* HTTP calls of the ctl command to a VM. */
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "cmd.h"
#include "ctl.h"
#include "server.h"

#define CALL_TIMEOUT_S 10L

static size_t
append_reply (char *data, size_t size, size_t n, void *arg)
{
  g_string_append_len (arg, data, (gssize)(size * n));
  return size * n;
}

char *
ctl_read_key (const struct ctl_options *o)
{
  const char *env = g_getenv (CTL_KEY_VARIABLE);
  char *key = NULL;

  if (o->key_file == NULL)
    return g_strdup (env);
  if (!g_file_get_contents (o->key_file, &key, NULL, NULL))
    return NULL;
  return g_strstrip (key);
}

long
ctl_call (const struct ctl_options *o, const char *method, const char *path,
          const char *body, GString *reply)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", o->address, path);
  g_autofree char *key = ctl_read_key (o);
  g_autofree char *auth = g_strdup_printf ("Authorization: Bearer %s", key);
  struct curl_slist *headers = curl_slist_append (NULL, auth);
  CURL *c = curl_easy_init ();
  long status = 0;

  curl_easy_setopt (c, CURLOPT_URL, url);
  curl_easy_setopt (c, CURLOPT_PROXY, "");
  curl_easy_setopt (c, CURLOPT_TIMEOUT, CALL_TIMEOUT_S);
  curl_easy_setopt (c, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (c, CURLOPT_WRITEFUNCTION, append_reply);
  curl_easy_setopt (c, CURLOPT_WRITEDATA, reply);
  if (strcmp (method, "POST") == 0)
    curl_easy_setopt (c, CURLOPT_POSTFIELDS, body ? body : "");
  if (curl_easy_perform (c) == CURLE_OK)
    curl_easy_getinfo (c, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (c);
  curl_slist_free_all (headers);
  return status;
}

int
ctl_report_error (const struct ctl_options *o, long status,
                  const json_t *reply)
{
  const json_t *error = json_object_get (reply, "error");
  const char *message = json_string_value (json_object_get (error, "message"));
  const char *detail = json_string_value (json_object_get (error, "detail"));

  if (status == 0)
    fprintf (stderr, "camphorquay ctl: %s does not answer\n", o->address);
  else
    fprintf (stderr, "camphorquay ctl: %s\n", message ? message : "refused");
  if (detail != NULL && detail[0] != '\0')
    fprintf (stderr, "  %s\n", detail);
  return EXIT_CODE_FAILED;
}
